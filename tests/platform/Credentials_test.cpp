/*  Sends malformed and forged credentials and organisation headers over a socket: none may be forwarded to a
    target, and only a single well-formed key may be accepted. */

#include "plankledge_runtime/HttpServer.h"
#include "platform/HttpCodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <thread>

namespace plankledge::test
{

using namespace plankledge::platform;

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

Endpoint freeEndpoint()
{
    asio::io_context context;
    tcp::acceptor acceptor (context, { asio::ip::make_address ("127.0.0.1"), 0 });
    return { "127.0.0.1", acceptor.local_endpoint().port() };
}

/** Responds to each request with its key and the headers that would be forwarded to a target; the status is
    200 plus the CredentialKind. */
struct EchoServer
{
    EchoServer()
        : m_server (m_context, { [] (HttpRequest request, const HttpServer::Respond& respond) {
                                    respond (echo (std::move (request)));
                                    return std::function<void()>();
                                },
                                 [] (HttpServerError) {
                                     HttpResponse response;
                                     response.m_status = 400;
                                     return response;
                                 } })
        , m_endpoint (freeEndpoint())
    {
        REQUIRE (m_server.listen (m_endpoint).ok());
        m_thread = std::thread ([this] { m_context.run_for (std::chrono::seconds (20)); });
    }

    ~EchoServer()
    {
        m_context.stop();
        m_thread.join();
    }

    static HttpResponse echo (HttpRequest request)
    {
        auto decoded = decodeRequest (std::move (request));

        if (auto* rejection = std::get_if<HttpResponse> (&decoded))
            return *rejection;

        const auto& received = std::get<RelayRequestReceived> (decoded);
        HttpResponse response;
        response.m_status =
            static_cast<std::uint16_t> (200 + static_cast<int> (received.m_credential.m_kind));
        response.m_body = received.m_credential.m_key + "\n";
        const auto sent = encodeTargetRequest (
            { 1, received.m_content, "web", "i-1", { "10.0.0.1", 1 }, Milliseconds (9), "org" });

        for (const auto& [name, value] : sent.m_headers)
            response.m_body += name + ": " + value + "\n";

        return response;
    }

    std::string exchange (const std::string& bytes) const
    {
        asio::io_context context;
        tcp::socket socket (context);
        socket.connect ({ asio::ip::make_address (m_endpoint.m_ip), m_endpoint.m_port });
        boost::system::error_code error;
        asio::write (socket, asio::buffer (bytes), error);
        socket.shutdown (tcp::socket::shutdown_send, error);
        std::string response;
        asio::read (socket, asio::dynamic_buffer (response), error);
        return response;
    }

    asio::io_context m_context { 1 };
    HttpServer m_server;
    Endpoint m_endpoint;
    std::thread m_thread;
};

constexpr const char* key = "28m82thhkmgjqnirth5m";
const int keyAccepted = 201;
const int malformed = 202;
const int noKey = 200;
const int badHttp = 400;

std::string withHeaders (const std::string& headers)
{
    return "GET /a/b HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\nConnection: close\r\n" + headers +
           "\r\n";
}

struct Row
{
    const char* m_name;
    std::string m_bytes;
    std::vector<int> m_statuses; /**< all that are allowed */
};

int statusOf (const std::string& response)
{
    return response.size() > 12 ? std::stoi (response.substr (9, 3)) : 0;
}

} // namespace

TEST_CASE ("malformed and forged credentials are neither accepted nor forwarded")
{
    const EchoServer server;
    const std::string bearer = std::string ("Authorization: Bearer ") + key;
    const std::string chunked =
        "POST /a/b HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\nConnection: close\r\n" + bearer +
        "\r\nTransfer-Encoding: chunked\r\nTrailer: Tenant-Id\r\n\r\n1\r\nx\r\n0\r\nTenant-Id: liar\r\n\r\n";

    const std::vector<Row> rows {
        { "valid key", withHeaders (bearer + "\r\n"), { keyAccepted } },
        { "lower-case scheme",
          withHeaders (std::string ("authorization: bearer ") + key + "\r\n"),
          { keyAccepted } },
        { "spaces around the key",
          withHeaders (std::string ("Authorization:   Bearer    ") + key + "  \r\n"),
          { keyAccepted } },
        { "no Authorization header", withHeaders (""), { noKey } },
        { "two identical headers", withHeaders (bearer + "\r\n" + bearer + "\r\n"), { malformed } },
        { "two headers, different case",
          withHeaders (bearer + "\r\nAUTHORIZATION: Bearer other\r\n"),
          { malformed } },
        { "two credentials in one header", withHeaders (bearer + ", Bearer other\r\n"), { malformed } },
        { "wrong scheme", withHeaders (std::string ("Authorization: Basic ") + key + "\r\n"), { malformed } },
        { "no scheme", withHeaders (std::string ("Authorization: ") + key + "\r\n"), { malformed } },
        { "scheme without a key", withHeaders ("Authorization: Bearer \r\n"), { malformed } },
        { "empty value", withHeaders ("Authorization:\r\n"), { malformed } },
        { "space within the key", withHeaders (bearer + " x\r\n"), { malformed } },
        { "non-ASCII bytes", withHeaders ("Authorization: Bearer \x80\xff\xfe\r\n"), { malformed, badHttp } },
        { "600-character key",
          withHeaders ("Authorization: Bearer " + std::string (600, 'k') + "\r\n"),
          { malformed } },
        { "16 KiB key",
          withHeaders ("Authorization: Bearer " + std::string (16384, 'k') + "\r\n"),
          { badHttp } },
        { "folded header line",
          withHeaders (std::string ("Authorization: Bearer\r\n ") + key + "\r\n"),
          { keyAccepted, malformed, badHttp } },
        { "forged organisation", withHeaders (bearer + "\r\nTenant-Id: liar\r\n"), { keyAccepted } },
        { "forged organisation twice, different case",
          withHeaders (bearer + "\r\ntenant-id: liar\r\nTENANT-ID: liar\r\n"),
          { keyAccepted } },
        { "forged organisation, folded header line",
          withHeaders (bearer + "\r\nTenant-Id:\r\n liar\r\n"),
          { keyAccepted, badHttp } },
        { "forged organisation in a trailer", chunked, { keyAccepted, badHttp } },
        { "forged organisation listed in Connection",
          withHeaders (bearer + "\r\nConnection: Tenant-Id\r\nTenant-Id: liar\r\n"),
          { keyAccepted } },
    };

    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        const auto response = server.exchange (row.m_bytes);
        const auto status = statusOf (response);
        CHECK (std::find (row.m_statuses.begin(), row.m_statuses.end(), status) != row.m_statuses.end());
        const auto body = response.find ("\r\n\r\n");
        REQUIRE (body != std::string::npos);

        if (status == badHttp)
            continue;

        const auto headers = response.substr (response.find ('\n', body + 4));
        CHECK (headers.find (key) == std::string::npos);
        CHECK (headers.find ("liar") == std::string::npos);
        CHECK (headers.find ("uthorization") == std::string::npos);
        CHECK (headers.find ("Tenant-Id: org") != std::string::npos);
    }
}

TEST_CASE ("all 401 responses are identical, whatever the reason")
{
    const auto responseFor = [] (Reason reason) {
        return encodeResponse ("id", { Outcome::notRun, reason, {}, {} });
    };

    const auto unknown = responseFor (Reason::keyUnknown);
    CHECK (unknown.m_status == 401);
    CHECK (findHeader (unknown.m_headers, "WWW-Authenticate") == "Bearer");

    for (const auto reason : { Reason::keyMissing, Reason::keyMalformed })
    {
        CHECK (responseFor (reason).m_status == 401);
        CHECK (responseFor (reason).m_body == unknown.m_body);
    }

    CHECK (encodeResponse ("id", { Outcome::notRun, Reason::keyUnproven, {}, Milliseconds (700) }).m_status ==
           503);
    const auto beyond =
        encodeResponse ("id", { Outcome::notRun, Reason::beyondLimit, {}, Milliseconds (250) });
    CHECK (beyond.m_status == 429);
    CHECK (findHeader (beyond.m_headers, "Retry-After") == "0.250");
    CHECK (encodeResponse ("id", { Outcome::notRun, Reason::limitUnknown, {}, {} }).m_status == 503);
}

} // namespace plankledge::test
