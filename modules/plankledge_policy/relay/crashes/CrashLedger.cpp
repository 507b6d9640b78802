#include "plankledge_policy/relay/crashes/CrashLedger.h"

#include "plankledge_core/Hash.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Acquittals that are remembered: without one a late report of an older crash would count again. */
constexpr std::size_t mostAcquittals = CrashLedger::mostSuspects;

Duration holdAfter (std::size_t crashes) noexcept
{
    auto hold = CrashLedger::firstHold;

    for (auto more = crashes; more > CrashLedger::crashesToHold && hold < CrashLedger::longestHold; --more)
        hold *= 2;

    return std::min (hold, CrashLedger::longestHold);
}

} // namespace

//==============================================================================
bool CrashLedger::learn (const CrashReport& report, Time now)
{
    if (report.m_age >= rememberedFor)
        return false;

    const auto [found, isNew] = m_crashes.try_emplace (report.m_id);
    auto& crash = found->second;

    if (isNew)
    {
        crash.m_at = now - report.m_age;
        toggle (report.m_id, false);
    }

    if (crash.m_isWithdrawn)
        return false;

    if (report.m_isWithdrawn)
    {
        withdraw (report.m_id, crash);
        return true;
    }

    const auto before = m_blames;

    for (const auto content : report.m_suspects)
        blame (report.m_id, crash, content);

    const bool isNews = isNew || m_blames != before;
    keepBound();
    return isNews;
}

void CrashLedger::blame (const CrashId& id, Crash& crash, ContentDigest content)
{
    const auto acquitted = m_acquitted.find (content);
    const bool isCleared = acquitted != m_acquitted.end() && crash.m_at <= acquitted->second;

    if (isCleared || ! crash.m_suspects.insert (content).second)
        return;

    ++m_blames;
    auto& blames = m_suspects[content];
    blames.insert (id);

    if (blames.size() >= crashesToHold)
        m_newlyHeld.emplace_back (content, blames.size());
}

void CrashLedger::withdraw (const CrashId& id, Crash& crash)
{
    const auto suspects = crash.m_suspects;

    for (const auto content : suspects)
        clear (id, content);

    toggle (id, false);
    crash.m_isWithdrawn = true;
    toggle (id, true);
}

/** The crash speaks against the content no more. */
void CrashLedger::clear (const CrashId& id, ContentDigest content)
{
    m_blames -= m_crashes.at (id).m_suspects.erase (content);
    const auto suspect = m_suspects.find (content);

    if (suspect == m_suspects.end())
        return;

    suspect->second.erase (id);

    if (suspect->second.empty())
        m_suspects.erase (suspect);
}

//==============================================================================
bool CrashLedger::learn (const CrashAcquittal& acquittal, Time now)
{
    if (acquittal.m_age >= rememberedFor)
        return false;

    const auto at = now - acquittal.m_age;
    const auto [found, isNew] = m_acquitted.try_emplace (acquittal.m_content, at);

    if (isNew)
        m_digest ^= rendezvousWeight (acquittal.m_content, "acquitted");

    found->second = std::max (found->second, at);
    bool isNews = isNew;

    if (const auto suspect = m_suspects.find (acquittal.m_content); suspect != m_suspects.end())
    {
        const auto blames = suspect->second;

        for (const auto& id : blames)
        {
            if (m_crashes.at (id).m_at > at)
                continue;

            clear (id, acquittal.m_content);
            isNews = true;
        }
    }

    while (m_acquitted.size() > mostAcquittals)
    {
        const auto oldest =
            std::min_element (m_acquitted.begin(), m_acquitted.end(),
                              [] (const auto& one, const auto& other) { return one.second < other.second; });
        m_digest ^= rendezvousWeight (oldest->first, "acquitted");
        m_acquitted.erase (oldest);
    }

    return isNews;
}

//==============================================================================
CrashJudgement CrashLedger::judge (ContentDigest content, Time now) const
{
    const auto found = m_suspects.find (content);

    if (found == m_suspects.end() || found->second.size() < crashesToHold)
        return {};

    const auto until = newestOf (found->second) + holdAfter (found->second.size());

    if (now < until)
        return { Standing::held, until - now };

    return { Standing::onTrial, {} };
}

Time CrashLedger::newestOf (const Blames& blames) const
{
    Time newest;

    for (const auto& id : blames)
        newest = std::max (newest, m_crashes.at (id).m_at);

    return newest;
}

std::vector<std::pair<ContentDigest, std::size_t>> CrashLedger::takeNewlyHeld()
{
    return std::exchange (m_newlyHeld, {});
}

std::size_t CrashLedger::held() const noexcept
{
    return static_cast<std::size_t> (
        std::count_if (m_suspects.begin(), m_suspects.end(),
                       [] (const auto& entry) { return entry.second.size() >= crashesToHold; }));
}

//==============================================================================
void CrashLedger::forgetOld (Time now)
{
    std::vector<CrashId> old;

    for (const auto& [id, crash] : m_crashes)
        if (now - crash.m_at >= rememberedFor)
            old.push_back (id);

    for (const auto& id : old)
        forget (id);

    std::erase_if (m_acquitted, [&] (const auto& entry) {
        if (now - entry.second < rememberedFor)
            return false;

        m_digest ^= rendezvousWeight (entry.first, "acquitted");
        return true;
    });
}

void CrashLedger::forget (const CrashId& id)
{
    auto& crash = m_crashes.at (id);
    const auto suspects = crash.m_suspects;

    for (const auto content : suspects)
        clear (id, content);

    toggle (id, crash.m_isWithdrawn);
    m_crashes.erase (id);
}

void CrashLedger::keepBound()
{
    while (m_blames > mostSuspects)
    {
        const auto oldest =
            std::min_element (m_crashes.begin(), m_crashes.end(), [] (const auto& one, const auto& other) {
                return one.second.m_at < other.second.m_at;
            });
        forget (CrashId (oldest->first));
    }
}

CrashNews CrashLedger::all (Time now) const
{
    CrashNews news;

    for (const auto& [id, crash] : m_crashes)
        news.m_crashes.push_back ({ id,
                                    now - crash.m_at,
                                    crash.m_isWithdrawn,
                                    { crash.m_suspects.begin(), crash.m_suspects.end() } });

    for (const auto& [content, at] : m_acquitted)
        news.m_acquittals.push_back ({ content, now - at });

    return news;
}

/** Adds a crash in this state to the digest, or takes it out. */
void CrashLedger::toggle (const CrashId& id, bool isWithdrawn) noexcept
{
    const auto weight = rendezvousWeight (id.m_number, id.m_reporter.m_instance);
    m_digest ^= rendezvousWeight (weight + id.m_reporter.m_incarnation, isWithdrawn ? "withdrawn" : "ended");
}

} // namespace plankledge
