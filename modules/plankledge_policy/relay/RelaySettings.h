#pragma once

#include "plankledge_core/Time.h"

#include <cstdint>

namespace plankledge
{

/** How nodes share the enforcement of an organisation's rate limit. */
enum class LimitSharing : std::uint8_t
{
    fixedShares, /**< each node enforces an equal share on its own */
    homes        /**< each organisation's requests are counted centrally, on a few nodes */
};

//==============================================================================
/** Settings of the relay, configured by operators. */
struct RelaySettings
{
    double m_retryRatio = 0.2;       /**< maximum ratio of retries to requests of a service */
    std::uint32_t m_retrySlack = 50; /**< retries allowed beyond the ratio, over all nodes in a window */
    Duration m_retryWindow = std::chrono::seconds (10); /**< in which retries are counted */
    Duration m_stopGrace = std::chrono::seconds (6); /**< from the stop request until the process is killed */
    Duration m_announcementPeriod = Milliseconds (1500); /**< between announcements of a target */
    Duration m_revocationBound {}; /**< how long a revoked API key may still be accepted; 0: unbounded */
    Duration m_limitWindow = std::chrono::seconds (5); /**< over which requests are counted */
    double m_limitOverage = 0.1;     /**< fraction by which a limit may be exceeded in a window */
    std::uint32_t m_limitSlack = 20; /**< requests allowed beyond the overage, over all nodes in a window */
    LimitSharing m_limitSharing = LimitSharing::homes;
    Duration m_tolerantObjective {}; /**< routes with at least this latency objective are latency-tolerant:
                                        their requests can wait for a slot, or be offered to another target,
                                        for some tens of milliseconds; 0: none are */
    bool m_isFirstStart = false;     /**< first start of the whole cluster: the store holds no members yet */

    auto operator<=> (const RelaySettings&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_retryRatio, m_retrySlack, m_retryWindow, m_stopGrace, m_announcementPeriod,
                 m_revocationBound, m_limitWindow, m_limitOverage, m_limitSlack, m_limitSharing,
                 m_tolerantObjective, m_isFirstStart);
    }

    /** @returns whether a route with this latency objective is latency-tolerant */
    bool isTolerant (Duration latencyObjective) const noexcept
    {
        return m_tolerantObjective > Duration::zero() && latencyObjective >= m_tolerantObjective;
    }
};

} // namespace plankledge
