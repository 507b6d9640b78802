#pragma once

#include "plankledge_core/RelayMessages.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Tells from what the gate sees whether the own target has ended with requests running,
    and which of them are to blame for it.

    A connection that breaks off is no crash by itself: answers are lost, and connections are
    reset. It is one unless the target shows within a while that it lives, by another whole answer
    or by announcing itself; a refused connection or another life of the target settles it. A target that
   has said that it leaves may end at any time, and what runs there then is not to blame.

    Not to blame is a request of which the same life of the target ran one to its end before: what crashes
    a target never has a good end. So popular requests, of which some run at any time, are
    not blamed for each crash of a bad hour.

    Not thread-safe.
*/
class CrashWatch
{
public:
    //==============================================================================
    /** Whole answers that come so soon after a break may have been under way when the target ended. */
    static constexpr Duration underWay = Milliseconds (50);

    /** A break that nothing refutes counts as a crash after this: other answers of a busy target come sooner.
     */
    static constexpr Duration settling = Milliseconds (300);

    /** An announcement may have been under way for so long. */
    static constexpr Duration announcedLate = std::chrono::seconds (2);

    /** What became known of a crash. */
    struct Finding
    {
        std::uint64_t m_number = 0; /**< the crash; the same in all findings about it */
        Time m_at;                  /**< when the first request broke off */
        bool m_isWithdrawn = false; /**< the target lives */
        std::vector<ContentDigest> m_suspects;

        auto operator<=> (const Finding&) const = default;
    };

    CrashWatch();

    //==============================================================================
    /** A request that ran at the target broke off without a whole answer. */
    void onBroken (ContentDigest content, Time now);

    /** The target gave its whole answer. */
    void onAnswered (ContentDigest content, Time now);

    /** The target refused a connection. */
    void onRefusedConnection() noexcept;

    /** Another life of the target began.

        @param running   what still ran in the life before
    */
    void onNewLife (const std::vector<ContentDigest>& running, Time now);

    /** The target announced itself, in the life that is known. */
    void onAnnounced (Time now);

    /** The target said that it leaves. */
    void onLeaving() noexcept { m_isLeaving = true; }

    /** @returns what became known since the last call; called every 100 ms */
    std::vector<Finding> takeFindings (Time now);

private:
    //==============================================================================
    /** Requests that broke off in one life of the target. */
    struct Break
    {
        std::uint64_t m_number = 0;
        Time m_at;
        std::vector<ContentDigest> m_suspects;
        bool m_isCertain = false; /**< connections are refused */
        bool m_isTold = false;
        bool m_hasMore = true; /**< than was told */
    };

    void refute();
    void conclude();
    bool hasEndedWell (ContentDigest content) const noexcept;
    bool mayBeRefuted() const noexcept;

    std::optional<Break> m_break; /**< of the present life */
    std::vector<Finding> m_findings;
    std::vector<ContentDigest> m_endedWell; /**< of the present life, the newest that has its place */
    std::uint64_t m_next = 1;
    bool m_isLeaving = false;
};

} // namespace plankledge
