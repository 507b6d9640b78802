#pragma once

#include "plankledge_core/Identity.h"

#include <compare>
#include <cstdint>

namespace plankledge
{

//==============================================================================
enum class MemberState : std::uint8_t
{
    joining, /**< runs repeatable requests only */
    serving,
    leaving /**< accepts no new requests */
};

/** Description of a node that is shared with other nodes. */
struct Member
{
    NodeId m_id;
    ServiceName m_service;
    ZoneName m_zone;
    Endpoint m_endpoint;
    MemberState m_state = MemberState::joining;
    std::uint32_t m_stateVersion =
        0; /**< incremented by the member at each change of its state; the highest is the latest */

    auto operator<=> (const Member&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_id, m_service, m_zone, m_endpoint, m_state, m_stateVersion);
    }
};

} // namespace plankledge
