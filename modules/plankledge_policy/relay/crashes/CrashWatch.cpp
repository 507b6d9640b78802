#include "plankledge_policy/relay/crashes/CrashWatch.h"

#include <algorithm>
#include <utility>

namespace plankledge
{

namespace
{

/** Contents that ended well, of which the newest are remembered: those of a minute at 70 calls a second, in
    32 KB. */
constexpr std::size_t mostEndedWell = 4096;

} // namespace

//==============================================================================
CrashWatch::CrashWatch()
    : m_endedWell (mostEndedWell)
{
}

bool CrashWatch::hasEndedWell (ContentDigest content) const noexcept
{
    return m_endedWell[content % mostEndedWell] == content;
}

void CrashWatch::onBroken (ContentDigest content, Time now)
{
    if (m_isLeaving)
        return;

    if (! m_break.has_value())
        m_break = Break { m_next++, now, {}, false, false, true };

    auto& suspects = m_break->m_suspects;

    if (hasEndedWell (content) || std::find (suspects.begin(), suspects.end(), content) != suspects.end())
        return;

    suspects.push_back (content);
    m_break->m_hasMore = true;
}

void CrashWatch::onAnswered (ContentDigest content, Time now)
{
    m_endedWell[content % mostEndedWell] = content;

    if (mayBeRefuted() && now - m_break->m_at >= underWay)
        refute();
}

/** Where connections were refused nobody listened any more: whoever answers after that is another life, and
   may announce itself seconds later. */
bool CrashWatch::mayBeRefuted() const noexcept
{
    return m_break.has_value() && ! m_break->m_isCertain;
}

void CrashWatch::onRefusedConnection() noexcept
{
    if (m_break.has_value())
        m_break->m_isCertain = true;
}

void CrashWatch::onAnnounced (Time now)
{
    if (mayBeRefuted() && now - m_break->m_at >= announcedLate)
        refute();
}

void CrashWatch::onNewLife (const std::vector<ContentDigest>& running, Time now)
{
    for (const auto content : running)
        onBroken (content, now);

    if (m_break.has_value() && ! m_isLeaving)
        conclude();

    m_break.reset();
    m_isLeaving = false;
    std::fill (m_endedWell.begin(), m_endedWell.end(), 0);
}

/** The target lives. */
void CrashWatch::refute()
{
    if (m_break->m_isTold)
        m_findings.push_back ({ m_break->m_number, m_break->m_at, true, {} });

    m_break.reset();
}

void CrashWatch::conclude()
{
    if (! std::exchange (m_break->m_hasMore, false))
        return;

    m_break->m_isTold = true;
    m_findings.push_back ({ m_break->m_number, m_break->m_at, false, m_break->m_suspects });
}

std::vector<CrashWatch::Finding> CrashWatch::takeFindings (Time now)
{
    if (m_break.has_value() && (m_break->m_isCertain || now - m_break->m_at >= settling))
        conclude();

    return std::exchange (m_findings, {});
}

} // namespace plankledge
