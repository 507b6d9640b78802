/*  Contract of all listeners of a running node: missing, malformed, oversized and hostile input is rejected
    with a typed error and counted, and later requests are served. */

#include "plankledge_wire/FrameCodec.h"
#include "support/Cluster.h"
#include <boost/asio.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

namespace asio = boost::asio;

constexpr const char* path = "/plans/deliver";

/** Sends bytes over TCP and reads until the peer closes the connection. */
std::string sendRaw (const Endpoint& endpoint, const std::string& bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket (context);
    boost::system::error_code error;
    socket.connect ({ asio::ip::make_address (endpoint.m_ip), endpoint.m_port }, error);
    asio::write (socket, asio::buffer (bytes), error);
    socket.shutdown (asio::ip::tcp::socket::shutdown_send, error);
    std::string answer;
    asio::read (socket, asio::dynamic_buffer (answer), error);
    return answer;
}

void sendDatagram (const Endpoint& endpoint, const std::string& bytes)
{
    asio::io_context context;
    asio::ip::udp::socket socket (context, asio::ip::udp::v4());
    socket.send_to (asio::buffer (bytes), { asio::ip::make_address (endpoint.m_ip), endpoint.m_port });
}

struct HeaderRow
{
    std::string m_name;
    std::string m_path;
    HttpHeaders m_headers;
    std::string m_body;
    unsigned m_status;
    std::string m_reason;
};

std::vector<HeaderRow> badRequests()
{
    return {
        { "no operation", "/plans", {}, "", 400, "bad-path" },
        { "no service", "//deliver", {}, "", 400, "bad-path" },
        { "service name too long", "/" + std::string (100, 'x') + "/deliver", {}, "", 400, "bad-path" },
        { "unknown service", "/nothing/deliver", {}, "", 404, "unknown-service" },
        { "unknown operation", "/plans/nothing", {}, "", 404, "unknown-operation" },
        { "missing key of an operation that is not repeatable",
          "/lodgement/lodge",
          {},
          "",
          400,
          "missing-idempotency-key" },
        { "key too long",
          "/lodgement/lodge",
          { { "Idempotency-Key", std::string (300, 'k') } },
          "",
          400,
          "bad-idempotency-key" },
        { "key with a space",
          "/lodgement/lodge",
          { { "Idempotency-Key", "a b" } },
          "",
          400,
          "bad-idempotency-key" },
        { "attempt 0", path, { { "Plankledge-Attempt", "0" } }, "", 400, "bad-attempt" },
        { "attempt not a number", path, { { "Plankledge-Attempt", "first" } }, "", 400, "bad-attempt" },
        { "negative age", path, { { "Plankledge-Age-Ms", "-5" } }, "", 400, "bad-age" },
        { "age out of range", path, { { "Plankledge-Age-Ms", "99999999999999999999" } }, "", 400, "bad-age" },
        { "timeout 0", path, { { "Plankledge-Timeout-Ms", "0" } }, "", 400, "bad-timeout" },
        { "body too large", path, {}, std::string (maxBodyBytes + 1, 'b'), 413, "request-too-large" },
        { "headers too large",
          path,
          { { "X-Large", std::string (maxHeaderBytes, 'h') } },
          "",
          413,
          "request-too-large" },
    };
}

struct RawRow
{
    std::string m_name;
    std::string m_bytes;
    WireError m_error;
};

/** @returns the encoded protocol version, with which frames and datagrams begin */
std::string versionBytes()
{
    return { static_cast<char> (protocolVersion & 0xFF), static_cast<char> (protocolVersion >> 8) };
}

std::vector<RawRow> badFrames()
{
    const Frame good { protocolVersion, { "stranger", 1 }, "n1", CallRequest {} };
    auto wrongVersion = good;
    wrongVersion.m_version = 77;
    auto otherReceiver = good;
    otherReceiver.m_to = "n2";
    return {
        { "length out of range", std::string ("\xff\xff\xff\x7f", 4) + "x", WireError::tooLarge },
        { "HTTP request", "GET / HTTP/1.1\r\n\r\n", WireError::tooLarge },
        { "wrong version", encodeFrame (wrongVersion), WireError::wrongVersion },
        { "addressed to another instance", encodeFrame (otherReceiver), WireError::wrongReceiver },
        { "zeros", std::string (64, '\0'), WireError::truncated },
        { "frame with a malformed payload", std::string ("\x08\0\0\0", 4) + versionBytes() + "noise!",
          WireError::malformed },
    };
}

struct Fixture
{
    Fixture()
    {
        m_cluster.propose (landRegistryDeclarations, 0, "first");
        m_cluster.addPair ("n1", "plans");
        m_cluster.addPair ("n2", "plans");
        m_cluster.waitUntilReady();
    }

    void checkStillServes()
    {
        CHECK (outcomeOf (m_cluster.call ("n1", path)) == "completed");
        CHECK (m_cluster.isNodeRunning ("n1"));
    }

    int count (const std::string& family, const std::string& reason)
    {
        const auto text =
            m_cluster.metric ("n1", fmt::format ("plankledge_{}{{reason=\"{}\"}}", family, reason));
        return text.empty() ? -1 : std::stoi (text);
    }

    Cluster m_cluster;
};

} // namespace

//==============================================================================
TEST_CASE ("callers and targets: bad requests are rejected")
{
    Fixture fixture;

    for (const auto& row : badRequests())
    {
        CAPTURE (row.m_name);
        const auto answer = fixture.m_cluster.call ("n1", row.m_path, row.m_headers, row.m_body);
        REQUIRE (answer.ok());
        CHECK (answer->m_status == row.m_status);
        CHECK (reasonOf (answer) == row.m_reason);
        CHECK (outcomeOf (answer) == "not-run");
        CHECK (answer->m_contentType == "application/problem+json");
        CHECK (findHeader (answer->m_headers, "Retry-After").empty());
    }

    const auto outbound = fixture.m_cluster.endpoint ("n1", 7002);
    CHECK (sendRaw (outbound, "POST /plans/deliver HTTP/1.1\r\nPlankledge-Request-Id: nobody\r\n\r\n")
               .find ("parent-gone") != std::string::npos);

    for (const std::uint16_t port : { 7000, 7002, 7003 })
    {
        const auto answer = sendRaw (fixture.m_cluster.endpoint ("n1", port), "this is not HTTP\r\n\r\n");
        CHECK (answer.starts_with ("HTTP/1.1 400"));
    }

    CHECK (fixture.count ("bad_requests_total", "bad-attempt") == 2);
    CHECK (fixture.count ("bad_http_total", "body-too-large") == 1);
    CHECK (fixture.count ("bad_http_total", "header-too-large") == 1);
    CHECK (fixture.count ("bad_http_total", "malformed") == 3);
    fixture.checkStillServes();
}

TEST_CASE ("node to node: a bad frame closes only its own connection")
{
    Fixture fixture;
    auto slow = fixture.m_cluster.callAsync ("n2", path);

    for (const auto& row : badFrames())
    {
        CAPTURE (row.m_name);
        const std::string reason (nameOf (row.m_error));
        const auto before = fixture.count ("bad_frames_total", reason);
        (void)sendRaw (fixture.m_cluster.endpoint ("n1", 7001), row.m_bytes);
        CHECK (fixture.count ("bad_frames_total", reason) == before + 1);
    }

    CHECK (outcomeOf (slow.get()) == "completed");
    fixture.checkStillServes();
}

TEST_CASE ("node to node: bad datagrams are dropped")
{
    Fixture fixture;
    const auto endpoint = fixture.m_cluster.endpoint ("n1", 7001);
    sendDatagram (endpoint, "noise");
    sendDatagram (endpoint, std::string (1900, 'x'));
    sendDatagram (endpoint, versionBytes());
    CHECK (waitFor ([&] { return fixture.count ("bad_datagrams_total", "wrong-version") == 1; }));
    CHECK (waitFor ([&] { return fixture.count ("bad_datagrams_total", "too-large") == 1; }));
    CHECK (waitFor ([&] { return fixture.count ("bad_datagrams_total", "malformed") == 1; }));
    fixture.checkStillServes();
}

TEST_CASE ("the platform: malformed records and list entries are counted and ignored")
{
    Fixture fixture;
    const auto put = [&] (const std::string& method, const std::string& target, const std::string& body) {
        HttpRequest request;
        request.m_method = method;
        request.m_target = target;
        request.m_body = body;
        (void)HttpClient::sendAndWait (fixture.m_cluster.platform(), request, Milliseconds (1000));
    };
    put ("POST", "/streams/plankledge-configuration", "not json");
    put ("POST", "/streams/plankledge-configuration", R"({"kind":"proposal","id":5})");
    put ("POST", "/streams/plankledge-configuration",
         R"({"kind":"other","id":"x","version":1,"as_of":-1,"text":""})");
    CHECK (waitFor ([&] { return fixture.count ("platform_errors_total", "bad-record") >= 3; }));

    put ("PUT", "/instances/odd", R"({"instance":"odd","service":5})");
    CHECK (waitFor ([&] { return fixture.count ("platform_errors_total", "wrong-shape") >= 1; }));
    CHECK (fixture.m_cluster.version ("n1") == 1);
    fixture.checkStillServes();
}

TEST_CASE ("admin and plankctl: unknown paths, invalid arguments and invalid declarations")
{
    Fixture fixture;
    CHECK (sendRaw (fixture.m_cluster.endpoint ("n1", 7003), "GET /nothing HTTP/1.1\r\n\r\n")
               .starts_with ("HTTP/1.1 404"));
    CHECK (fixture.m_cluster.plankctl ({}) == 2);
    CHECK (fixture.m_cluster.plankctl ({ "publish" }) == 2);
    CHECK (fixture.m_cluster.plankctl ({ "--platform=nowhere", "history" }) == 2);
    CHECK (fixture.m_cluster.plankctl ({ "check", fixture.m_cluster.writeFile ("bad.json", "{}") }) == 2);
    CHECK (fixture.m_cluster.plankctl (
               { "check", fixture.m_cluster.writeFile ("good.json", landRegistryDeclarations) }) == 0);
    fixture.checkStillServes();
}

} // namespace plankledge::test
