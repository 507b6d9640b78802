#include "plankledge_policy/relay/crashes/CrashDetector.h"

#include <algorithm>
#include <utility>

namespace plankledge
{

namespace
{

/** Slots of the table of completed contents: 32 KB, about a minute of traffic at 70 calls per second. */
constexpr std::size_t completedTableSize = 4096;

} // namespace

//==============================================================================
CrashDetector::CrashDetector()
    : m_completedContents (completedTableSize)
{
}

bool CrashDetector::hasCompleted (ContentDigest content) const noexcept
{
    return m_completedContents[content % completedTableSize] == content;
}

void CrashDetector::onConnectionBroken (ContentDigest content, Time now)
{
    if (m_isLeaving)
        return;

    if (! m_suspectedCrash.has_value())
        m_suspectedCrash = SuspectedCrash { m_nextNumber++, now, {}, false, false, true };

    auto& suspects = m_suspectedCrash->m_suspects;

    if (hasCompleted (content) || std::find (suspects.begin(), suspects.end(), content) != suspects.end())
        return;

    suspects.push_back (content);
    m_suspectedCrash->m_hasUnreported = true;
}

void CrashDetector::onAnswered (ContentDigest content, Time now)
{
    m_completedContents[content % completedTableSize] = content;

    if (canWithdraw() && now - m_suspectedCrash->m_at >= answerGrace)
        withdraw();
}

/** Once a connection was refused the process is gone: any later answer comes from a new incarnation, which
    may announce itself only seconds later. */
bool CrashDetector::canWithdraw() const noexcept
{
    return m_suspectedCrash.has_value() && ! m_suspectedCrash->m_isConfirmed;
}

void CrashDetector::onConnectionRefused() noexcept
{
    if (m_suspectedCrash.has_value())
        m_suspectedCrash->m_isConfirmed = true;
}

void CrashDetector::onAnnounced (Time now)
{
    if (canWithdraw() && now - m_suspectedCrash->m_at >= announcementGrace)
        withdraw();
}

void CrashDetector::onNewIncarnation (const std::vector<ContentDigest>& running, Time now)
{
    for (const auto content : running)
        onConnectionBroken (content, now);

    if (m_suspectedCrash.has_value() && ! m_isLeaving)
        report();

    m_suspectedCrash.reset();
    m_isLeaving = false;
    std::fill (m_completedContents.begin(), m_completedContents.end(), 0);
}

/** Drops the suspected crash, since the target is still running. */
void CrashDetector::withdraw()
{
    if (m_suspectedCrash->m_isReported)
        m_findings.push_back ({ m_suspectedCrash->m_number, m_suspectedCrash->m_at, true, {} });

    m_suspectedCrash.reset();
}

void CrashDetector::report()
{
    if (! std::exchange (m_suspectedCrash->m_hasUnreported, false))
        return;

    m_suspectedCrash->m_isReported = true;
    m_findings.push_back (
        { m_suspectedCrash->m_number, m_suspectedCrash->m_at, false, m_suspectedCrash->m_suspects });
}

std::vector<CrashDetector::Finding> CrashDetector::takeFindings (Time now)
{
    if (m_suspectedCrash.has_value() &&
        (m_suspectedCrash->m_isConfirmed || now - m_suspectedCrash->m_at >= confirmationDelay))
        report();

    return std::exchange (m_findings, {});
}

} // namespace plankledge
