#pragma once

#include "plankledge_core/PeerMessages.h"
#include "plankledge_wire/WireError.h"
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace plankledge
{

/** The version of the protocol between nodes; a peer of another version is refused. */
inline constexpr std::uint16_t protocolVersion = 3;

/** No frame is longer; a longer claim ends the connection. */
inline constexpr std::uint32_t maximumFrameBytes = 4U << 20U;

/** No datagram is longer; fits one Ethernet packet. */
inline constexpr std::size_t maximumDatagramBytes = 1400;

/** A frame's length comes first, in 4 bytes. */
inline constexpr std::size_t frameHeaderBytes = 4;

//==============================================================================
/** A message with who sent it and whom it is for. */
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

/** @returns the frame's bytes, its length in front */
std::string encodeFrame (const Frame& frame);

/** @returns the length of the frame's payload, or WireError::tooLarge */
absl::StatusOr<std::uint32_t> decodeFrameLength (std::string_view header);

/** Decodes a payload.

    @param receiver   this node's instance; a frame for another is refused
    @returns the frame, or a WireError as a status
*/
absl::StatusOr<Frame> decodeFrame (std::string_view payload, const InstanceName& receiver);

/** @returns the datagram's bytes; news that does not fit is left out */
std::string encodeRumour (Rumour rumour);

/** @returns the rumour, or a WireError as a status */
absl::StatusOr<Rumour> decodeRumour (std::string_view datagram);

} // namespace plankledge
