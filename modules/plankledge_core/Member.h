#pragma once

#include "plankledge_core/Identity.h"

#include <compare>
#include <cstdint>

namespace plankledge
{

//==============================================================================
enum class MemberState : std::uint8_t
{
    joining, /**< serves repeatable work only */
    serving,
    leaving /**< takes no new work */
};

/** A node as others know it. */
struct Member
{
    NodeId m_id;
    ServiceName m_service;
    ZoneName m_zone;
    Endpoint m_endpoint;
    MemberState m_state = MemberState::joining;
    std::uint32_t m_stateVersion =
        0; /**< counts the member's own changes of state; the higher is the newer */

    auto operator<=> (const Member&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_id, m_service, m_zone, m_endpoint, m_state, m_stateVersion);
    }
};

} // namespace plankledge
