#pragma once

#include "plankledge_core/Time.h"

#include <cstdint>

namespace plankledge
{

/** How the nodes keep to an organisation's limit together. */
enum class LimitSharing : std::uint8_t
{
    fixedShares, /**< each node admits an equal part by itself */
    homes        /**< a few nodes count for all, each some of the organisations */
};

//==============================================================================
/** What decisions about relayed requests depend on besides events; the operators' figures. */
struct RelaySettings
{
    double m_retryRatio = 0.2;       /**< retries for each request of a service */
    std::uint32_t m_retrySlack = 50; /**< retries beyond the ratio, of all nodes in a window */
    Duration m_retryWindow = std::chrono::seconds (10);  /**< in which retries are counted */
    Duration m_stopGrace = std::chrono::seconds (6);     /**< from the request to stop until the kill */
    Duration m_announcementPeriod = Milliseconds (1500); /**< between a target's announcements */
    Duration
        m_revocationBound {}; /**< a key that was taken away is used nowhere later than this; 0: no bound */
    Duration m_limitWindow = std::chrono::seconds (5); /**< in which organisations' requests are counted */
    double m_limitOverage = 0.1;     /**< part of a limit that may be exceeded in a window */
    std::uint32_t m_limitSlack = 20; /**< requests beyond that, of all nodes in a window */
    LimitSharing m_limitSharing = LimitSharing::homes;
    bool m_isFirstStart = false; /**< all nodes start for the first time: none is in the store yet */

    auto operator<=> (const RelaySettings&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_retryRatio, m_retrySlack, m_retryWindow, m_stopGrace, m_announcementPeriod,
                 m_revocationBound, m_limitWindow, m_limitOverage, m_limitSlack, m_limitSharing,
                 m_isFirstStart);
    }
};

} // namespace plankledge
