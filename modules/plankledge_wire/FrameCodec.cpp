#include "plankledge_wire/FrameCodec.h"

#include "plankledge_core/HttpSyntax.h"
#include "plankledge_wire/BoundedArchive.h"
#include <cstring>
#include <exception>

namespace plankledge
{

namespace
{

/** The version is the first field, so that it can be checked before the rest is decoded. */
absl::StatusOr<std::uint16_t> decodeVersion (std::string_view bytes)
{
    std::uint16_t version = 0;

    if (bytes.size() < sizeof (version))
        return toStatus (WireError::truncated);

    std::memcpy (&version, bytes.data(), sizeof (version));

    if (version != protocolVersion)
        return toStatus (WireError::wrongVersion);

    return version;
}

template <class Value> absl::StatusOr<Value> decodeExactly (std::string_view bytes)
{
    try
    {
        Value value;
        BoundedInputArchive archive (bytes);
        archive (value);

        if (archive.remaining() != 0)
            return toStatus (WireError::trailingBytes);

        return value;
    }
    catch (const std::exception&) // cereal and the standard containers throw different types
    {
        return toStatus (WireError::malformed);
    }
}

/** @returns whether the decoded enumerators are in range */
bool isValid (const Member& member) noexcept
{
    return member.m_state <= MemberState::leaving;
}

bool areValid (const std::vector<Member>& members) noexcept
{
    for (const auto& member : members)
        if (! isValid (member))
            return false;

    return true;
}

bool isValid (const CallResult& result) noexcept
{
    const bool isReadable =
        result.m_outcome != Outcome::completed ||
        (isWritableResponse (result.m_status, {}, result.m_body) && isFieldValue (result.m_contentType));
    return result.m_outcome <= Outcome::unknown && result.m_reason < Reason::reasonCount && isReadable;
}

struct Validator
{
    bool operator() (const CallRequest& call) const noexcept { return call.m_rank < admitAll; }

    bool operator() (const CallAnswer& answer) const noexcept
    {
        return isValid (answer.m_result) && answer.m_threshold <= admitAll;
    }

    bool operator() (const InquiryAnswer& answer) const noexcept { return areValid (answer.m_members); }
    bool operator() (const JoinRequest& join) const noexcept { return isValid (join.m_member); }
    bool operator() (const JoinAcknowledgement& join) const noexcept { return areValid (join.m_members); }
    bool operator() (const Heartbeat& heartbeat) const noexcept { return isValid (heartbeat.m_member); }
    bool operator() (const PeerHello& hello) const noexcept { return isValid (hello.m_member); }
    bool operator() (const RelayRequest& request) const noexcept
    {
        return request.m_bodyBytesToFollow <= maxBodyBytesToFollow &&
               (request.m_bodyBytesToFollow == 0 || request.m_content.m_body.empty());
    }
    bool operator() (const RelayBodyPart& part) const noexcept
    {
        return ! part.m_bytes.empty() && part.m_bytes.size() <= maxBodyPartBytes;
    }
    bool operator() (const RelayAnswer& answer) const noexcept
    {
        return answer.m_result.m_outcome <= Outcome::unknown &&
               answer.m_result.m_reason < Reason::reasonCount;
    }
    bool operator() (const LimitAnswer& answer) const noexcept
    {
        return answer.m_verdict <= LimitVerdict::unknown;
    }

    bool operator() (const LeaveNotice& notice) const noexcept { return areValid (notice.m_members); }

    bool operator() (const Handover& handover) const noexcept
    {
        for (const auto& record : handover.m_records)
            if (! isValid (record.m_result))
                return false;

        return true;
    }

    template <class Message> bool operator() (const Message&) const noexcept { return true; }
};

struct Datagram
{
    std::uint16_t m_version = protocolVersion;
    GossipMessage m_gossipMessage;

    template <class Archive> void serialize (Archive& archive) { archive (m_version, m_gossipMessage); }
};

} // namespace

//==============================================================================
std::string encodeFrame (const Frame& frame)
{
    std::string bytes (frameHeaderBytes, '\0');
    StringOutputArchive archive (bytes);
    archive (frame);

    const auto length = static_cast<std::uint32_t> (bytes.size() - frameHeaderBytes);
    std::memcpy (bytes.data(), &length, sizeof (length));
    return bytes;
}

absl::StatusOr<std::uint32_t> decodeFrameLength (std::string_view header)
{
    std::uint32_t length = 0;

    if (header.size() != frameHeaderBytes)
        return toStatus (WireError::truncated);

    std::memcpy (&length, header.data(), sizeof (length));

    if (length > maxFrameBytes)
        return toStatus (WireError::tooLarge);

    return length;
}

absl::StatusOr<Frame> decodeFrame (std::string_view payload, const InstanceName& receiver)
{
    if (const auto version = decodeVersion (payload); ! version.ok())
        return version.status();

    auto frame = decodeExactly<Frame> (payload);

    if (! frame.ok())
        return frame;

    if (frame->m_to != receiver)
        return toStatus (WireError::wrongReceiver);

    if (! std::visit (Validator {}, frame->m_message))
        return toStatus (WireError::malformed);

    return frame;
}

//==============================================================================
std::string encodeGossipMessage (GossipMessage gossip)
{
    auto bytes = encode (Datagram { protocolVersion, gossip });

    while (bytes.size() > maxDatagramBytes && ! gossip.m_memberUpdates.empty())
    {
        gossip.m_memberUpdates.pop_back();
        bytes = encode (Datagram { protocolVersion, gossip });
    }

    return bytes;
}

absl::StatusOr<GossipMessage> decodeGossipMessage (std::string_view datagram)
{
    if (datagram.size() > maxDatagramBytes)
        return toStatus (WireError::tooLarge);

    if (const auto version = decodeVersion (datagram); ! version.ok())
        return version.status();

    auto decoded = decodeExactly<Datagram> (datagram);

    if (! decoded.ok())
        return decoded.status();

    if (! isValid (decoded->m_gossipMessage.m_sender) ||
        ! areValid (decoded->m_gossipMessage.m_memberUpdates))
        return toStatus (WireError::malformed);

    return decoded->m_gossipMessage;
}

} // namespace plankledge
