#pragma once

#include "plankledge_core/CrashMessages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace plankledge
{

/** Whether a request may be sent to a target, by what is known of crashes under it. */
enum class Standing : std::uint8_t
{
    clear,
    held,   /**< too many targets ended while they ran it */
    onTrial /**< it was held for long: one target at a time may try whether it still crashes it */
};

/** What a CrashLedger says of a request. */
struct CrashJudgement
{
    Standing m_standing = Standing::clear;
    Duration m_heldFor {}; /**< how much longer */

    auto operator<=> (const CrashJudgement&) const = default;
};

//==============================================================================
/**
    Remembers which requests ran at targets that ended, by the digest of what they ask.

    The load it answers: a request that crashes each target which begins to run it, and that
    comes again under other ids at other nodes. It is held once three targets have ended under
    it and none has run it to an end since.

    Whoever ran beside it is a suspect, too: each target ends with all that it runs. A good end
    anywhere clears a suspect, and what crashes its targets never has one. One crash or two hold nothing
    back, since a caller's retries may take an innocent request through as many.

    A held request is tried again after five minutes, and after twice as long with each crash more: another
    version of the target may have mended it.

    Nothing enters without a crash, so other requests can't push anything out; of very many
    crashes the oldest are forgotten.

    Not thread-safe.

    @see CrashWatch, CrashGuard
*/
class CrashLedger
{
public:
    //==============================================================================
    /** Targets that end under a request before it is held. */
    static constexpr std::size_t crashesToHold = 3;

    static constexpr Duration firstHold = std::chrono::minutes (5);
    static constexpr Duration longestHold = std::chrono::minutes (60);

    /** Longer than any hold, so that the trial after it begins from what is known. */
    static constexpr Duration rememberedFor = longestHold * 2;

    /** Suspects that are remembered, over all crashes: of targets with a hundred slots some 160 crashes.
       1 MB here, and 128 KB in a message that tells all. */
    static constexpr std::size_t mostSuspects = 16'384;

    //==============================================================================
    /** @returns whether this is news here */
    bool learn (const CrashReport& report, Time now);

    /** @returns whether this is news here */
    bool learn (const CrashAcquittal& acquittal, Time now);

    /** @returns whether a target ended under it, and none has run it to an end since */
    bool isSuspect (ContentDigest content) const { return m_suspects.contains (content); }

    CrashJudgement judge (ContentDigest content, Time now) const;

    /** @returns contents that are held since the last call, each with the crashes under it */
    std::vector<std::pair<ContentDigest, std::size_t>> takeNewlyHeld();

    void forgetOld (Time now);

    /** @returns all that is remembered, to be told to another node */
    CrashNews all (Time now) const;

    /** @returns the same at nodes that remember the same; 0 where that is nothing */
    std::uint64_t digest() const noexcept { return m_digest; }

    std::size_t crashes() const noexcept { return m_crashes.size(); }

    /** @returns contents that may not be sent, those on trial included */
    std::size_t held() const noexcept;

private:
    //==============================================================================
    struct Crash
    {
        Time m_at;
        bool m_isWithdrawn = false;
        std::set<ContentDigest> m_suspects;
    };

    /** Crashes under one content, of which no good end cleared it. */
    using Blames = std::set<CrashId>;

    void blame (const CrashId& id, Crash& crash, ContentDigest content);
    void clear (const CrashId& id, ContentDigest content);
    void withdraw (const CrashId& id, Crash& crash);
    void forget (const CrashId& id);
    void keepBound();
    Time newestOf (const Blames& blames) const;
    void toggle (const CrashId& id, bool isWithdrawn) noexcept;

    std::map<CrashId, Crash> m_crashes;
    std::map<ContentDigest, Blames> m_suspects;
    std::map<ContentDigest, Time> m_acquitted;
    std::vector<std::pair<ContentDigest, std::size_t>> m_newlyHeld;
    std::size_t m_blames = 0; /**< suspects over all crashes */
    std::uint64_t m_digest = 0;
};

} // namespace plankledge
