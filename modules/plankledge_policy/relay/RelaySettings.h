#pragma once

#include "plankledge_core/Time.h"

#include <cstdint>

namespace plankledge
{

//==============================================================================
/** What decisions about relayed requests depend on besides events; the operators' figures. */
struct RelaySettings
{
    double m_retryRatio = 0.2;       /**< retries for each request of a service */
    std::uint32_t m_retrySlack = 50; /**< retries beyond the ratio, of all nodes in a window */
    Duration m_retryWindow = std::chrono::seconds (10);  /**< in which retries are counted */
    Duration m_stopGrace = std::chrono::seconds (6);     /**< from the request to stop until the kill */
    Duration m_announcementPeriod = Milliseconds (1500); /**< between a target's announcements */
    bool m_isFirstStart = false; /**< all nodes start for the first time: none is in the store yet */

    auto operator<=> (const RelaySettings&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_retryRatio, m_retrySlack, m_retryWindow, m_stopGrace, m_announcementPeriod,
                 m_isFirstStart);
    }
};

} // namespace plankledge
