/*  Contract of frames and datagrams between nodes: decoding restores what was encoded, and hostile
    bytes are rejected with a typed error. */

#include "plankledge_wire/BoundedArchive.h"
#include "plankledge_wire/FrameCodec.h"
#include <cstring>
#include <doctest/doctest.h>
#include <random>

namespace plankledge::test
{

namespace
{

Frame sample()
{
    CallRequest call;
    call.m_callId = 7;
    call.m_content = {
        "plans", "deliver", "POST", "/plans/deliver?q=1", "text/plain", std::string (300, 'x')
    };
    call.m_idempotency = { "key", 2, Milliseconds (40) };
    call.m_rank = 300;
    call.m_timeLeft = Milliseconds (1500);
    return { protocolVersion, { "n1", 42 }, "n2", call };
}

std::string payloadOf (const Frame& frame)
{
    return encodeFrame (frame).substr (frameHeaderBytes);
}

template <class Number> std::string overwrite (std::string bytes, std::size_t at, Number value)
{
    std::memcpy (bytes.data() + at, &value, sizeof (value));
    return bytes;
}

/** @returns a frame with a list whose length field claims this number of elements */
std::string claimElements (std::uint32_t count)
{
    const auto bytes = payloadOf ({ protocolVersion, { "n1", 42 }, "n2", InquiryAnswer {} });

    // The number of members precedes the number of LostMemory entries at the end of the frame.
    return overwrite (bytes, bytes.size() - 8, count);
}

struct Row
{
    std::string m_name;
    std::string m_payload;
    WireError m_error;
};

std::vector<Row> hostileFrames()
{
    const auto good = payloadOf (sample());
    auto wrongRank = sample();
    std::get<CallRequest> (wrongRank.m_message).m_rank = admitAll;
    CallAnswer answer;
    answer.m_result.m_reason = static_cast<Reason> (200);
    CallAnswer unreadable;
    unreadable.m_result = { Outcome::completed, Reason::none, 0, "text/plain", "body" };
    CallAnswer withField;
    withField.m_result = { Outcome::completed, Reason::none, 200, "text/plain\r\nX: 1", "body" };
    CallAnswer withBody;
    withBody.m_result = { Outcome::completed, Reason::none, 204, "text/plain", "body" };
    Heartbeat heartbeat;
    heartbeat.m_member.m_state = static_cast<MemberState> (9);

    return {
        { "empty", "", WireError::truncated },
        { "one byte", "x", WireError::truncated },
        { "wrong version", overwrite<std::uint16_t> (good, 0, 99), WireError::wrongVersion },
        { "half a frame", good.substr (0, good.size() / 2), WireError::malformed },
        { "trailing byte", good + "x", WireError::trailingBytes },
        { "addressed to another instance",
          payloadOf ({ protocolVersion, { "n1", 42 }, "n9", sample().m_message }), WireError::wrongReceiver },
        { "unknown message type", overwrite<std::int32_t> (good, 24, 500), WireError::malformed },
        { "list with a claimed length of 2^32-1", claimElements (0xffffffffU), WireError::malformed },
        { "list with a claimed length of a million", claimElements (1000000), WireError::malformed },
        { "string with a claimed length of 4 GB", overwrite<std::uint32_t> (good, 2, 0xffffffffU),
          WireError::malformed },
        { "rank out of range", payloadOf (wrongRank), WireError::malformed },
        { "unknown reason", payloadOf ({ protocolVersion, { "n1", 42 }, "n2", answer }),
          WireError::malformed },
        { "a status that no client can read", payloadOf ({ protocolVersion, { "n1", 42 }, "n2", unreadable }),
          WireError::malformed },
        { "a content type of two lines", payloadOf ({ protocolVersion, { "n1", 42 }, "n2", withField }),
          WireError::malformed },
        { "a body where none is allowed", payloadOf ({ protocolVersion, { "n1", 42 }, "n2", withBody }),
          WireError::malformed },
        { "unknown member state", payloadOf ({ protocolVersion, { "n1", 42 }, "n2", heartbeat }),
          WireError::malformed },
    };
}

} // namespace

//==============================================================================
TEST_CASE ("encoding and decoding a frame yields the same frame")
{
    const auto frame = decodeFrame (payloadOf (sample()), "n2");
    REQUIRE (frame.ok());
    CHECK (*frame == sample());
}

TEST_CASE ("hostile frames are rejected with a typed error")
{
    for (const auto& row : hostileFrames())
    {
        CAPTURE (row.m_name);
        const auto frame = decodeFrame (row.m_payload, "n2");
        REQUIRE_FALSE (frame.ok());
        CHECK (nameOf (wireErrorOf (frame.status())) == nameOf (row.m_error));
    }

    CHECK_FALSE (decodeFrameLength (std::string_view ("\xff\xff\xff\xff", 4)).ok());
    CHECK_FALSE (decodeFrameLength ("abc").ok());
}

TEST_CASE ("decoding mutated or truncated bytes does not crash")
{
    std::mt19937_64 random (5);
    const auto good = payloadOf (sample());

    for (int round = 0; round < 20000; ++round)
    {
        auto bytes = good;

        for (auto flips = 1 + random() % 4; flips > 0; --flips)
            bytes[random() % bytes.size()] = static_cast<char> (random());

        bytes.resize (random() % (bytes.size() + 1));
        (void)decodeFrame (bytes, "n2");
        (void)decodeGossipMessage (bytes);
    }
}

TEST_CASE ("a gossip message fits a datagram, and hostile datagrams are rejected with a typed error")
{
    GossipMessage gossip;
    gossip.m_sender = { { "n1", 42 }, "plans", "a", { "127.0.0.1", 7001 }, MemberState::serving, 1 };
    gossip.m_version = 3;

    for (int number = 0; number < 100; ++number)
        gossip.m_memberUpdates.push_back (gossip.m_sender);

    const auto bytes = encodeGossipMessage (gossip);
    CHECK (bytes.size() <= maxDatagramBytes);
    const auto decoded = decodeGossipMessage (bytes);
    REQUIRE (decoded.ok());
    CHECK (decoded->m_sender == gossip.m_sender);
    CHECK (! decoded->m_memberUpdates.empty());

    CHECK (wireErrorOf (decodeGossipMessage (std::string (2000, 'x')).status()) == WireError::tooLarge);
    CHECK (wireErrorOf (decodeGossipMessage ("").status()) == WireError::truncated);
    CHECK (wireErrorOf (decodeGossipMessage (overwrite<std::uint16_t> (bytes, 0, 9)).status()) ==
           WireError::wrongVersion);
    CHECK (wireErrorOf (decodeGossipMessage (bytes.substr (0, 20)).status()) == WireError::malformed);
    CHECK (wireErrorOf (decodeGossipMessage (bytes + "x").status()) == WireError::trailingBytes);
}

} // namespace plankledge::test
