#include "plankledge_policy/configuration/ConfigurationJudge.h"

#include <algorithm>
#include <utility>

namespace plankledge
{

namespace
{

constexpr std::size_t mostWaiting = 1000;

} // namespace

//==============================================================================
std::vector<JudgedProposal> ConfigurationJudge::apply (const ConfigurationRead& read)
{
    std::vector<JudgedProposal> judged;

    if (read.m_from != m_next || read.m_next < read.m_from)
        return judged;

    if (read.m_earliest > m_next)
    {
        m_coveredFrom = read.m_earliest;
        m_waiting.clear();
    }

    for (const auto& record : read.m_records)
    {
        if (record.m_offset < m_next || record.m_offset <= m_state.m_asOfOffset)
            continue;

        m_next = record.m_offset; // all before it were seen
        take (record, judged);
    }

    m_next = std::max (m_next, read.m_next);
    judgeWaiting (judged);

    if (canJudge())
        m_state.m_asOfOffset = std::max (m_state.m_asOfOffset, m_next - 1);

    return judged;
}

void ConfigurationJudge::take (const ConfigurationRecord& record, std::vector<JudgedProposal>& judged)
{
    if (record.m_kind == ConfigurationRecordKind::checkpoint)
    {
        takeCheckpoint (record, judged);
        return;
    }

    if (m_waiting.size() < mostWaiting)
        m_waiting.push_back (record);

    judgeWaiting (judged);
}

void ConfigurationJudge::takeCheckpoint (const ConfigurationRecord& record,
                                         std::vector<JudgedProposal>& judged)
{
    if (record.m_version >= m_state.m_version)
        m_lastRestated = record.m_offset;

    const bool coversTheGap = record.m_asOfOffset + 1 >= m_coveredFrom;

    if (! coversTheGap || record.m_asOfOffset <= m_state.m_asOfOffset)
        return;

    if (! bringInForce ({ record.m_version, record.m_asOfOffset, record.m_text }) &&
        record.m_version == m_state.m_version)
        m_state.m_asOfOffset = record.m_asOfOffset;

    judgeWaiting (judged);
}

void ConfigurationJudge::judgeWaiting (std::vector<JudgedProposal>& judged)
{
    if (! canJudge())
        return;

    for (const auto& proposal : std::exchange (m_waiting, {}))
        if (proposal.m_offset > m_state.m_asOfOffset)
            judged.push_back (judge (proposal));
}

JudgedProposal ConfigurationJudge::judge (const ConfigurationRecord& proposal)
{
    m_state.m_asOfOffset = proposal.m_offset;

    if (proposal.m_version != m_state.m_version)
        return { proposal.m_id, Verdict::conflict, m_state.m_version };

    auto declarations = m_parser (proposal.m_text);

    if (! declarations.has_value())
        return { proposal.m_id, Verdict::invalid, m_state.m_version };

    m_declarations = *std::move (declarations);
    m_state = { proposal.m_version + 1, proposal.m_offset, proposal.m_text };
    m_lastRestated = proposal.m_offset;
    return { proposal.m_id, Verdict::accepted, m_state.m_version };
}

bool ConfigurationJudge::adopt (const ConfigurationState& state)
{
    const auto before = m_state.m_version;
    bringInForce (state);

    // Proposals that were read before may be judged by now.
    std::vector<JudgedProposal> judged;
    judgeWaiting (judged);
    return m_state.m_version > before;
}

bool ConfigurationJudge::bringInForce (const ConfigurationState& state)
{
    if (state.m_version == m_state.m_version && ! canJudge())
    {
        // The same version, known further into the log than here: the gap does not matter any more.
        if (state.m_asOfOffset + 1 >= m_coveredFrom)
            m_state.m_asOfOffset = state.m_asOfOffset;

        return false;
    }

    if (state.m_version <= m_state.m_version)
        return false;

    auto declarations = m_parser (state.m_text);

    if (! declarations.has_value())
        return false;

    m_declarations = *std::move (declarations);
    m_state = state;

    if (m_next <= state.m_asOfOffset)
    {
        m_next = state.m_asOfOffset + 1;
        m_coveredFrom = m_next;
        m_waiting.clear();
    }

    return true;
}

} // namespace plankledge
