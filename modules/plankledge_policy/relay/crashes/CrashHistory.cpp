#include "plankledge_policy/relay/crashes/CrashHistory.h"

#include "plankledge_core/Hash.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Acquittals are kept so that delayed reports of earlier crashes are ignored. */
constexpr std::size_t maxAcquittals = CrashHistory::maxSuspects;

Duration holdDuration (std::size_t crashes) noexcept
{
    auto hold = CrashHistory::initialHold;

    for (auto more = crashes; more > CrashHistory::holdThreshold && hold < CrashHistory::maxHold; --more)
        hold *= 2;

    return std::min (hold, CrashHistory::maxHold);
}

} // namespace

//==============================================================================
bool CrashHistory::add (const CrashReport& report, Time now)
{
    if (report.m_age >= retentionPeriod)
        return false;

    const auto [found, isNew] = m_crashes.try_emplace (report.m_id);
    auto& crash = found->second;

    if (isNew)
    {
        crash.m_at = now - report.m_age;
        toggleInDigest (report.m_id, false);
    }

    if (crash.m_isWithdrawn)
        return false;

    if (report.m_isWithdrawn)
    {
        withdraw (report.m_id, crash);
        return true;
    }

    const auto before = m_suspectCount;

    for (const auto content : report.m_suspects)
        addSuspect (report.m_id, crash, content);

    const bool hasChanged = isNew || m_suspectCount != before;
    enforceSuspectLimit();
    return hasChanged;
}

void CrashHistory::addSuspect (const CrashId& id, Crash& crash, ContentDigest content)
{
    const auto acquitted = m_acquitted.find (content);
    const bool isCleared = acquitted != m_acquitted.end() && crash.m_at <= acquitted->second;

    if (isCleared || ! crash.m_suspects.insert (content).second)
        return;

    ++m_suspectCount;
    auto& crashIds = m_suspects[content];
    crashIds.insert (id);

    if (crashIds.size() >= holdThreshold)
        m_newlyHeld.emplace_back (content, crashIds.size());
}

void CrashHistory::withdraw (const CrashId& id, Crash& crash)
{
    const auto suspects = crash.m_suspects;

    for (const auto content : suspects)
        removeSuspect (id, content);

    toggleInDigest (id, false);
    crash.m_isWithdrawn = true;
    toggleInDigest (id, true);
}

void CrashHistory::removeSuspect (const CrashId& id, ContentDigest content)
{
    m_suspectCount -= m_crashes.at (id).m_suspects.erase (content);
    const auto suspect = m_suspects.find (content);

    if (suspect == m_suspects.end())
        return;

    suspect->second.erase (id);

    if (suspect->second.empty())
        m_suspects.erase (suspect);
}

//==============================================================================
bool CrashHistory::add (const CrashAcquittal& acquittal, Time now)
{
    if (acquittal.m_age >= retentionPeriod)
        return false;

    const auto at = now - acquittal.m_age;
    const auto [found, isNew] = m_acquitted.try_emplace (acquittal.m_content, at);

    if (isNew)
        m_digest ^= rendezvousWeight (acquittal.m_content, "acquitted");

    found->second = std::max (found->second, at);
    bool hasChanged = isNew;

    if (const auto suspect = m_suspects.find (acquittal.m_content); suspect != m_suspects.end())
    {
        const auto crashIds = suspect->second;

        for (const auto& id : crashIds)
        {
            if (m_crashes.at (id).m_at > at)
                continue;

            removeSuspect (id, acquittal.m_content);
            hasChanged = true;
        }
    }

    while (m_acquitted.size() > maxAcquittals)
    {
        const auto oldest =
            std::min_element (m_acquitted.begin(), m_acquitted.end(),
                              [] (const auto& one, const auto& other) { return one.second < other.second; });
        m_digest ^= rendezvousWeight (oldest->first, "acquitted");
        m_acquitted.erase (oldest);
    }

    return hasChanged;
}

//==============================================================================
HoldStatus CrashHistory::holdStatus (ContentDigest content, Time now) const
{
    const auto found = m_suspects.find (content);

    if (found == m_suspects.end() || found->second.size() < holdThreshold)
        return {};

    const auto until = newestCrashTime (found->second) + holdDuration (found->second.size());

    if (now < until)
        return { HoldState::held, until - now };

    return { HoldState::onTrial, {} };
}

Time CrashHistory::newestCrashTime (const CrashIds& crashIds) const
{
    Time newest;

    for (const auto& id : crashIds)
        newest = std::max (newest, m_crashes.at (id).m_at);

    return newest;
}

std::vector<std::pair<ContentDigest, std::size_t>> CrashHistory::takeNewlyHeld()
{
    return std::exchange (m_newlyHeld, {});
}

std::size_t CrashHistory::held() const noexcept
{
    return static_cast<std::size_t> (
        std::count_if (m_suspects.begin(), m_suspects.end(),
                       [] (const auto& entry) { return entry.second.size() >= holdThreshold; }));
}

//==============================================================================
void CrashHistory::removeExpired (Time now)
{
    std::vector<CrashId> expired;

    for (const auto& [id, crash] : m_crashes)
        if (now - crash.m_at >= retentionPeriod)
            expired.push_back (id);

    for (const auto& id : expired)
        remove (id);

    std::erase_if (m_acquitted, [&] (const auto& entry) {
        if (now - entry.second < retentionPeriod)
            return false;

        m_digest ^= rendezvousWeight (entry.first, "acquitted");
        return true;
    });
}

void CrashHistory::remove (const CrashId& id)
{
    auto& crash = m_crashes.at (id);
    const auto suspects = crash.m_suspects;

    for (const auto content : suspects)
        removeSuspect (id, content);

    toggleInDigest (id, crash.m_isWithdrawn);
    m_crashes.erase (id);
}

void CrashHistory::enforceSuspectLimit()
{
    while (m_suspectCount > maxSuspects)
    {
        const auto oldest =
            std::min_element (m_crashes.begin(), m_crashes.end(), [] (const auto& one, const auto& other) {
                return one.second.m_at < other.second.m_at;
            });
        remove (CrashId (oldest->first));
    }
}

CrashUpdate CrashHistory::snapshot (Time now) const
{
    CrashUpdate update;

    for (const auto& [id, crash] : m_crashes)
        update.m_crashes.push_back ({ id,
                                      now - crash.m_at,
                                      crash.m_isWithdrawn,
                                      { crash.m_suspects.begin(), crash.m_suspects.end() } });

    for (const auto& [content, at] : m_acquitted)
        update.m_acquittals.push_back ({ content, now - at });

    return update;
}

/** Adds a crash in the given state to the digest, or removes it if it is included already. */
void CrashHistory::toggleInDigest (const CrashId& id, bool isWithdrawn) noexcept
{
    const auto weight = rendezvousWeight (id.m_number, id.m_reporter.m_instance);
    m_digest ^= rendezvousWeight (weight + id.m_reporter.m_incarnation, isWithdrawn ? "withdrawn" : "ended");
}

} // namespace plankledge
