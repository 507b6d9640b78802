#pragma once

#include "plankledge_core/PeerMessages.h"
#include "plankledge_wire/WireError.h"
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace plankledge
{

/** Version of the protocol between nodes. Frames and datagrams of other versions are rejected. */
inline constexpr std::uint16_t protocolVersion = 6;

/** Maximum size of a frame's payload, in bytes; a larger encoded length closes the connection. */
inline constexpr std::uint32_t maxFrameBytes = 4U << 20U;

/** Bodies of relayed requests above this size, in bytes, are sent in parts of at most this size. */
inline constexpr std::size_t maxBodyPartBytes = 64U << 10U;

/** Maximum size of a body that is sent in parts, in bytes. */
inline constexpr std::uint32_t maxBodyBytesToFollow = 1U << 30U;

/** Maximum size of a datagram, in bytes; fits into one Ethernet frame. */
inline constexpr std::size_t maxDatagramBytes = 1400;

/** Size of the header in front of a frame, in bytes: the payload's length. */
inline constexpr std::size_t frameHeaderBytes = 4;

//==============================================================================
/** A message with its sender and receiver. */
struct Frame
{
    std::uint16_t m_version = protocolVersion;
    NodeId m_from;
    InstanceName m_to;
    PeerMessage m_message;

    auto operator<=> (const Frame&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_version, m_from, m_to, m_message);
    }
};

/** @returns the encoded frame, with its header */
std::string encodeFrame (const Frame& frame);

/** @returns the length of the frame's payload, or WireError::tooLarge */
absl::StatusOr<std::uint32_t> decodeFrameLength (std::string_view header);

/** Decodes a payload.

    @param receiver   this node's instance; frames for other instances are rejected
    @returns the frame, or a WireError as a status
*/
absl::StatusOr<Frame> decodeFrame (std::string_view payload, const InstanceName& receiver);

/** @returns the encoded datagram; updates that exceed maxDatagramBytes are omitted */
std::string encodeGossipMessage (GossipMessage gossip);

/** @returns the message, or a WireError as a status */
absl::StatusOr<GossipMessage> decodeGossipMessage (std::string_view datagram);

} // namespace plankledge
