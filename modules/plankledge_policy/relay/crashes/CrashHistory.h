#pragma once

#include "plankledge_core/CrashMessages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace plankledge
{

/** Whether a request may be sent to a target, given the crashes it is suspected of. */
enum class HoldState : std::uint8_t
{
    clear,
    held,   /**< too many targets crashed while running it */
    onTrial /**< its hold has expired: one target at a time may run it, to see whether it still crashes */
};

/** Whether a request is held, and for how long. */
struct HoldStatus
{
    HoldState m_holdState = HoldState::clear;
    Duration m_holdRemaining {}; /**< remaining time of the hold */

    auto operator<=> (const HoldStatus&) const = default;
};

//==============================================================================
/**
    Records which requests were running when targets crashed, by the digest of their content.

    Guards against a request that crashes every target that runs it and that is sent repeatedly, under
    different ids and through different nodes. A request is held once three targets have crashed while
    running it and none has completed it since.

    All requests that were running at a crashed target become suspects. A suspect is cleared when any target
    completes it, which never happens to a request that always crashes its target. Fewer than three crashes
    hold nothing, since the retries of a caller may expose an unrelated request to two of them.

    A held request goes on trial after five minutes, in case the target has been fixed. Each further crash
    doubles that time, up to an hour.

    Only crashes add entries, so ordinary traffic can't evict any. When the number of suspects exceeds its
    limit, the oldest crashes are removed.

    Not thread-safe.

    @see CrashDetector, CrashGuard
*/
class CrashHistory
{
public:
    //==============================================================================
    /** Number of targets that crash while running a request before it is held. */
    static constexpr std::size_t holdThreshold = 3;

    static constexpr Duration initialHold = std::chrono::minutes (5);
    static constexpr Duration maxHold = std::chrono::minutes (60);

    /** Longer than any hold, so that the crashes are still known when the request goes on trial. */
    static constexpr Duration retentionPeriod = maxHold * 2;

    /** Limit on the suspects of all crashes together: about 160 crashes of targets with 100 slots. About 1 MB
        in memory, and 128 KB in a message with the complete history. */
    static constexpr std::size_t maxSuspects = 16'384;

    //==============================================================================
    /** @returns whether the report added anything to the history */
    bool add (const CrashReport& report, Time now);

    /** @returns whether the acquittal added anything to the history */
    bool add (const CrashAcquittal& acquittal, Time now);

    /** @returns whether a target crashed while running the request and none has completed it since */
    bool isSuspect (ContentDigest content) const { return m_suspects.contains (content); }

    HoldStatus holdStatus (ContentDigest content, Time now) const;

    /** @returns contents that have become held since the last call, each with its number of crashes */
    std::vector<std::pair<ContentDigest, std::size_t>> takeNewlyHeld();

    /** Removes crashes and acquittals that are older than retentionPeriod. */
    void removeExpired (Time now);

    /** @returns the complete history, as a message to another node */
    CrashUpdate snapshot (Time now) const;

    /** @returns a digest that is equal for equal histories; 0 if the history is empty */
    std::uint64_t digest() const noexcept { return m_digest; }

    std::size_t crashes() const noexcept { return m_crashes.size(); }

    /** @returns the number of contents that are held or on trial */
    std::size_t held() const noexcept;

private:
    //==============================================================================
    struct Crash
    {
        Time m_at;
        bool m_isWithdrawn = false;
        std::set<ContentDigest> m_suspects;
    };

    /** Crashes that one content is still suspected of. */
    using CrashIds = std::set<CrashId>;

    void addSuspect (const CrashId& id, Crash& crash, ContentDigest content);
    void removeSuspect (const CrashId& id, ContentDigest content);
    void withdraw (const CrashId& id, Crash& crash);
    void remove (const CrashId& id);
    void enforceSuspectLimit();
    Time newestCrashTime (const CrashIds& crashIds) const;
    void toggleInDigest (const CrashId& id, bool isWithdrawn) noexcept;

    std::map<CrashId, Crash> m_crashes;
    std::map<ContentDigest, CrashIds> m_suspects;
    std::map<ContentDigest, Time> m_acquitted;
    std::vector<std::pair<ContentDigest, std::size_t>> m_newlyHeld;
    std::size_t m_suspectCount = 0; /**< total over all crashes */
    std::uint64_t m_digest = 0;
};

} // namespace plankledge
