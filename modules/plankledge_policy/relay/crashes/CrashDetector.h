#pragma once

#include "plankledge_core/RelayMessages.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Detects crashes of the local target from the events at its gate, and determines the suspects
    among the requests that were running.

    A broken connection alone does not prove a crash, since answers get lost and connections get reset. It
    counts as a crash unless the target shows soon afterwards that it is still running, with another complete
    answer or an announcement. A refused connection or a new incarnation of the target confirms the crash. A
    target that has announced that it is leaving may exit at any time, which is not a crash.

    A request that the same incarnation of the target has completed before is not a suspect, since a request
    that crashes its target never completes. This excludes popular requests, which are running at almost any
    time.

    Not thread-safe.
*/
class CrashDetector
{
public:
    //==============================================================================
    /** A complete answer that arrives this soon after a broken connection may have been sent before the
        crash. */
    static constexpr Duration answerGrace = Milliseconds (50);

    /** A broken connection counts as a crash after this time. Long enough for a busy target that is still
        running to answer another request. */
    static constexpr Duration confirmationDelay = Milliseconds (300);

    /** An announcement that arrives this soon after a broken connection may have been sent before the
        crash. */
    static constexpr Duration announcementGrace = std::chrono::seconds (2);

    /** New information about a crash. */
    struct Finding
    {
        std::uint64_t m_number = 0; /**< identifies the crash; equal in all findings about it */
        Time m_at;                  /**< when the first connection broke */
        bool m_isWithdrawn = false; /**< the target turned out to be still running */
        std::vector<ContentDigest> m_suspects;

        auto operator<=> (const Finding&) const = default;
    };

    CrashDetector();

    //==============================================================================
    /** The connection of a running request broke before its answer was complete. */
    void onConnectionBroken (ContentDigest content, Time now);

    /** The target answered a request completely. */
    void onAnswered (ContentDigest content, Time now);

    /** The target refused a connection. */
    void onConnectionRefused() noexcept;

    /** A new incarnation of the target has started.

        @param running   requests that were still running in the previous incarnation
    */
    void onNewIncarnation (const std::vector<ContentDigest>& running, Time now);

    /** The known incarnation of the target announced itself. */
    void onAnnounced (Time now);

    /** The target announced that it is leaving. */
    void onLeaving() noexcept { m_isLeaving = true; }

    /** @returns the findings since the last call; called every 100 ms */
    std::vector<Finding> takeFindings (Time now);

private:
    //==============================================================================
    /** A crash that is confirmed, reported or still in doubt. */
    struct SuspectedCrash
    {
        std::uint64_t m_number = 0;
        Time m_at;
        std::vector<ContentDigest> m_suspects;
        bool m_isConfirmed = false; /**< the target refused a connection since */
        bool m_isReported = false;
        bool m_hasUnreported = true; /**< the crash itself, or suspects found since its last report */
    };

    void withdraw();
    void report();
    bool hasCompleted (ContentDigest content) const noexcept;
    bool canWithdraw() const noexcept;

    std::optional<SuspectedCrash> m_suspectedCrash; /**< of the current incarnation */
    std::vector<Finding> m_findings;
    /** Of the current incarnation. A hash table in which a newer content replaces an older one in its slot.
     */
    std::vector<ContentDigest> m_completedContents;

    std::uint64_t m_nextNumber = 1;
    bool m_isLeaving = false;
};

} // namespace plankledge
