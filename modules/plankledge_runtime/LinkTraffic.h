#pragma once

#include "plankledge_core/PeerMessages.h"
#include "plankledge_policy/Counters.h"

#include <string_view>

namespace plankledge
{

/** The purpose of a frame between nodes. */
enum class FrameKind : std::uint8_t
{
    hello,
    status,
    request,
    answer,
    cancel,
    routes,
    members,
    proof,
    limit,
    crashes,
    keyed, /**< all frames of keyed requests */
    frameKindCount
};

std::string_view nameOf (FrameKind kind) noexcept;

/** @returns the kind of a frame that carries this message */
FrameKind kindOf (const PeerMessage& message) noexcept;

/** Bytes of the frames that a node has sent since its start, by kind. Received frames are not counted,
    so that sums over all nodes count each frame once. */
struct LinkTraffic
{
    using ByKind = Counters::By<FrameKind, FrameKind::frameKindCount>;

    ByKind m_ownZone;
    ByKind m_otherZone;
};

} // namespace plankledge
