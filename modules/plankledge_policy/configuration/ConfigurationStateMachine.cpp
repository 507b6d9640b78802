#include "plankledge_policy/configuration/ConfigurationStateMachine.h"

#include <algorithm>
#include <utility>

namespace plankledge
{

namespace
{

constexpr std::size_t maxPendingProposals = 1000;

} // namespace

//==============================================================================
std::vector<DecidedProposal> ConfigurationStateMachine::apply (const ConfigurationRead& read)
{
    std::vector<DecidedProposal> decided;

    if (read.m_from != m_next || read.m_next < read.m_from)
        return decided;

    if (read.m_earliest > m_next)
    {
        m_coveredFrom = read.m_earliest;
        m_pendingProposals.clear();
    }

    for (const auto& record : read.m_records)
    {
        if (record.m_offset < m_next || record.m_offset <= m_state.m_asOfOffset)
            continue;

        m_next = record.m_offset; // all records before it were read
        applyRecord (record, decided);
    }

    m_next = std::max (m_next, read.m_next);
    decidePending (decided);

    if (canDecide())
        m_state.m_asOfOffset = std::max (m_state.m_asOfOffset, m_next - 1);

    return decided;
}

void ConfigurationStateMachine::applyRecord (const ConfigurationRecord& record,
                                             std::vector<DecidedProposal>& decided)
{
    if (record.m_kind == ConfigurationRecordKind::checkpoint)
    {
        applyCheckpoint (record, decided);
        return;
    }

    if (m_pendingProposals.size() < maxPendingProposals)
        m_pendingProposals.push_back (record);

    decidePending (decided);
}

void ConfigurationStateMachine::applyCheckpoint (const ConfigurationRecord& record,
                                                 std::vector<DecidedProposal>& decided)
{
    if (record.m_version >= m_state.m_version)
        m_lastVersionOffset = record.m_offset;

    const bool coversGap = record.m_asOfOffset + 1 >= m_coveredFrom;

    if (! coversGap || record.m_asOfOffset <= m_state.m_asOfOffset)
        return;

    if (! putInForce ({ record.m_version, record.m_asOfOffset, record.m_text }) &&
        record.m_version == m_state.m_version)
        m_state.m_asOfOffset = record.m_asOfOffset;

    decidePending (decided);
}

void ConfigurationStateMachine::decidePending (std::vector<DecidedProposal>& decided)
{
    if (! canDecide())
        return;

    for (const auto& proposal : std::exchange (m_pendingProposals, {}))
        if (proposal.m_offset > m_state.m_asOfOffset)
            decided.push_back (decideProposal (proposal));
}

DecidedProposal ConfigurationStateMachine::decideProposal (const ConfigurationRecord& proposal)
{
    m_state.m_asOfOffset = proposal.m_offset;

    if (proposal.m_version != m_state.m_version)
        return { proposal.m_id, ProposalVerdict::conflict, m_state.m_version };

    auto declarations = m_parser (proposal.m_text);

    if (! declarations.has_value())
        return { proposal.m_id, ProposalVerdict::invalid, m_state.m_version };

    m_declarations = *std::move (declarations);
    m_state = { proposal.m_version + 1, proposal.m_offset, proposal.m_text };
    m_lastVersionOffset = proposal.m_offset;
    return { proposal.m_id, ProposalVerdict::accepted, m_state.m_version };
}

bool ConfigurationStateMachine::adopt (const ConfigurationState& state)
{
    const auto before = m_state.m_version;
    putInForce (state);

    // The new state may allow decisions on pending proposals.
    std::vector<DecidedProposal> decided;
    decidePending (decided);
    return m_state.m_version > before;
}

bool ConfigurationStateMachine::putInForce (const ConfigurationState& state)
{
    if (state.m_version == m_state.m_version && ! canDecide())
    {
        // The same version at a later offset closes the gap in the records that this node has read.
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
        m_pendingProposals.clear();
    }

    return true;
}

} // namespace plankledge
