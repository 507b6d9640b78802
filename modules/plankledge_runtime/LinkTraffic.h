#pragma once

#include "plankledge_core/PeerMessages.h"
#include "plankledge_policy/Counters.h"

#include <string_view>

namespace plankledge
{

/** What a frame between nodes is for. */
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
    keyed, /**< of requests that are named by a key */
    frameKindCount
};

std::string_view nameOf (FrameKind kind) noexcept;

/** @returns what a frame with this message is for */
FrameKind kindOf (const PeerMessage& message) noexcept;

/** Bytes of the frames that a node sent since its start, by what they were for. What all nodes sent is what
   all received, so nothing is counted twice. */
struct LinkTraffic
{
    using ByKind = Counters::By<FrameKind, FrameKind::frameKindCount>;

    ByKind m_ownZone;
    ByKind m_otherZone;
};

} // namespace plankledge
