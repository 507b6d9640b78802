/*  Large bodies of relayed requests on a connection between two nodes. */

#include "plankledge_runtime/PeerLinks.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <optional>

namespace plankledge::test
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t largeBody = 8U << 20U;

/** How long a condition may take to hold; far more than it takes. */
constexpr auto maxWait = std::chrono::seconds (20);

Endpoint freeEndpoint()
{
    asio::io_context context;
    tcp::acceptor acceptor (context, { asio::ip::make_address ("127.0.0.1"), 0 });
    return { "127.0.0.1", acceptor.local_endpoint().port() };
}

RelayRequest makeRequest (CallId call, std::size_t bodyBytes)
{
    std::string body (bodyBytes, '\0');

    for (std::size_t index = 0; index < bodyBytes; ++index)
        body[index] = static_cast<char> ('a' + index % 23);

    RelayRequest request;
    request.m_callId = call;
    request.m_content.m_body = std::move (body);
    return request;
}

/** The connections of a node, and what they report. */
struct LinkNode
{
    LinkNode (asio::io_context& context, const InstanceName& name, std::size_t memory)
        : m_id { name, 1 }
        , m_resources (std::make_shared<ProcessResources> (ProcessLimits { memory }))
        , m_links (context, m_id,
                   { [this] (LinkId link, const NodeId&, PeerMessage message) {
                        m_link = link;
                        m_messages.push_back (std::move (message));
                    },
                     [this] (const InstanceName&, std::vector<CallId> unsent) {
                         m_unsent.insert (m_unsent.end(), unsent.begin(), unsent.end());
                     },
                     [this] (const InstanceName&, CallId call) { m_notQueued.push_back (call); },
                     [this] (LinkId, const NodeId&, const RelayRequest& request) {
                         m_refused.push_back (request.m_callId);
                     },
                     [this] (const InstanceName&) { ++m_lost; }, [] (LinkId) {},
                     [this] (WireError error) { m_error = error; },
                     [] (const InstanceName&, const PeerMessage&, std::size_t) {} },
                   m_resources)
    {
        REQUIRE (m_links.listen (m_endpoint).ok());
    }

    /** @returns the place of the first message of a type among those received; nullopt if there is none */
    template <class Message> std::optional<std::size_t> placeOf() const
    {
        const auto found = std::find_if (m_messages.begin(), m_messages.end(), [] (const auto& message) {
            return std::holds_alternative<Message> (message);
        });

        return found == m_messages.end() ? std::nullopt
                                         : std::optional<std::size_t> (found - m_messages.begin());
    }

    /** @returns the ids of the requests received, in order */
    std::vector<CallId> requests() const
    {
        std::vector<CallId> calls;

        for (const auto& message : m_messages)
            if (const auto* request = std::get_if<RelayRequest> (&message))
                calls.push_back (request->m_callId);

        return calls;
    }

    const NodeId m_id;
    const Endpoint m_endpoint = freeEndpoint();
    ProcessResourcesPointer m_resources;
    std::vector<PeerMessage> m_messages;
    std::vector<CallId> m_unsent;
    std::vector<CallId> m_notQueued;
    std::vector<CallId> m_refused;
    std::optional<WireError> m_error;
    LinkId m_link = 0;
    int m_lost = 0;
    PeerLinks m_links;
};

/** Two nodes in the same thread. */
struct LinkPair
{
    explicit LinkPair (std::size_t memory = 64U << 20U)
        : m_receiver (m_context, "receiver", memory)
    {
    }

    void send (const PeerMessage& message)
    {
        m_sender.m_links.send ("receiver", m_receiver.m_endpoint, message);
    }

    bool runUntil (const std::function<bool()>& condition)
    {
        const auto until = std::chrono::steady_clock::now() + maxWait;

        while (! condition() && std::chrono::steady_clock::now() < until)
            m_context.run_one_for (std::chrono::milliseconds (100));

        return condition();
    }

    asio::io_context m_context { 1 };
    LinkNode m_sender { m_context, "sender", 64U << 20U };
    LinkNode m_receiver;
};

} // namespace

//==============================================================================
TEST_CASE ("a large body arrives whole, and other messages are sent between its parts")
{
    LinkPair pair;
    const auto request = makeRequest (7, largeBody);
    pair.send (request);
    pair.send (MembersPull { { 1, 12 } });
    REQUIRE (pair.runUntil ([&] { return ! pair.m_receiver.requests().empty(); }));
    CHECK (pair.m_receiver.placeOf<MembersPull>() == 0U);
    CHECK (std::get<RelayRequest> (pair.m_receiver.m_messages.at (1)) == request);
}

TEST_CASE ("a body does not wait for the end of a longer one")
{
    LinkPair pair;
    pair.send (makeRequest (1, largeBody));
    pair.send (makeRequest (2, 3 * maxBodyPartBytes));
    REQUIRE (pair.runUntil ([&] { return pair.m_receiver.requests().size() == 2; }));
    CHECK (pair.m_receiver.requests() == std::vector<CallId> { 2, 1 });
}

TEST_CASE ("sizes around that of a part")
{
    for (const std::size_t size :
         { maxBodyPartBytes - 1, maxBodyPartBytes, maxBodyPartBytes + 1, 2 * maxBodyPartBytes })
    {
        CAPTURE (size);
        LinkPair pair;
        const auto request = makeRequest (1, size);
        pair.send (request);
        REQUIRE (pair.runUntil ([&] { return ! pair.m_receiver.m_messages.empty(); }));
        CHECK (std::get<RelayRequest> (pair.m_receiver.m_messages.front()) == request);
    }
}

//==============================================================================
// Guards against a request that runs although its sender has cancelled it and gone on.
TEST_CASE ("a request that is cancelled before it is whole is dropped")
{
    LinkPair pair;
    pair.send (makeRequest (1, largeBody));
    REQUIRE (pair.runUntil (
        [&] { return pair.m_receiver.m_resources->m_memory.held (MemoryUse::peerCalls) == largeBody; }));
    pair.send (RelayCancel { 1 });
    pair.send (makeRequest (2, largeBody));
    REQUIRE (pair.runUntil ([&] { return ! pair.m_receiver.requests().empty(); }));
    CHECK (pair.m_receiver.requests() == std::vector<CallId> { 2 });
    CHECK (pair.m_receiver.placeOf<RelayCancel>() == 0U);
    CHECK (pair.m_receiver.m_resources->m_memory.held (MemoryUse::peerCalls) == largeBody);
}

// Guards against a closed connection, which would lose the calls of others.
TEST_CASE ("a request for which there is no room is refused when it is announced")
{
    LinkPair pair (largeBody); // large requests may use half of it
    pair.send (makeRequest (1, largeBody));
    REQUIRE (pair.runUntil ([&] { return ! pair.m_receiver.m_refused.empty(); }));
    pair.send (makeRequest (2, 1));
    REQUIRE (pair.runUntil ([&] { return ! pair.m_receiver.requests().empty(); }));
    pair.m_receiver.m_links.reply (
        pair.m_receiver.m_link, "sender",
        RelayAnswer { 1, { Outcome::notRun, Reason::queueFull, {}, {} }, {}, {}, 0 });
    REQUIRE (pair.runUntil ([&] { return ! pair.m_sender.m_messages.empty(); }));
    CHECK (pair.m_receiver.m_refused == std::vector<CallId> { 1 });
    CHECK (pair.m_receiver.requests() == std::vector<CallId> { 2 });
    CHECK (pair.m_sender.m_lost == 0);
}

// Guards against an unknown outcome of a request that can't have run.
TEST_CASE ("a request is not sent if its connection is lost before it is whole")
{
    LinkPair pair;
    tcp::acceptor acceptor (pair.m_context, { asio::ip::make_address ("127.0.0.1"), 0 });
    pair.m_sender.m_links.send ("receiver", { "127.0.0.1", acceptor.local_endpoint().port() },
                                makeRequest (1, 8 * largeBody));
    std::optional<tcp::socket> accepted;
    acceptor.async_accept ([&] (const boost::system::error_code&, tcp::socket socket) {
        accepted.emplace (std::move (socket));
    });
    REQUIRE (pair.runUntil ([&] { return accepted.has_value() && accepted->available() > 0; }));
    accepted.reset();
    REQUIRE (pair.runUntil ([&] { return pair.m_sender.m_lost == 1; }));
    CHECK (pair.m_sender.m_unsent == std::vector<CallId> { 1 });
    CHECK (pair.m_sender.m_notQueued.empty());
}

//==============================================================================
TEST_CASE ("a body that is longer than announced is a malformed frame")
{
    LinkPair pair;
    tcp::socket socket (pair.m_context);
    socket.connect ({ asio::ip::make_address ("127.0.0.1"), pair.m_receiver.m_endpoint.m_port });
    auto request = makeRequest (1, 0);
    request.m_bodyBytesToFollow = 100;

    for (const PeerMessage& message :
         { PeerMessage (request), PeerMessage (RelayBodyPart { 1, std::string (60, 'a') }),
           PeerMessage (RelayBodyPart { 1, std::string (60, 'a') }) })
        asio::write (socket,
                     asio::buffer (encodeFrame ({ protocolVersion, { "x", 1 }, "receiver", message })));

    REQUIRE (pair.runUntil ([&] { return pair.m_receiver.m_error.has_value(); }));
    CHECK (pair.m_receiver.m_error == WireError::malformed);
    CHECK (pair.m_receiver.requests().empty());
}

TEST_CASE ("parts and announcements out of bounds are malformed frames")
{
    auto both = makeRequest (1, 1);
    both.m_bodyBytesToFollow = 1;
    auto tooLong = makeRequest (1, 0);
    tooLong.m_bodyBytesToFollow = maxBodyBytesToFollow + 1;
    const PeerMessage messages[] = { both, tooLong, RelayBodyPart { 1, {} },
                                     RelayBodyPart { 1, std::string (maxBodyPartBytes + 1, 'a') } };

    for (const auto& message : messages)
    {
        CAPTURE (message.index());
        const auto bytes = encodeFrame ({ protocolVersion, { "x", 1 }, "receiver", message });
        const auto frame = decodeFrame (std::string_view (bytes).substr (frameHeaderBytes), "receiver");
        REQUIRE_FALSE (frame.ok());
        CHECK (wireErrorOf (frame.status()) == WireError::malformed);
    }
}

} // namespace plankledge::test
