/*  Which bytes of a server the HTTP clients take for a response. */

#include "plankledge_core/Random.h"
#include "plankledge_runtime/HttpClient.h"
#include "plankledge_runtime/TargetClient.h"
#include "plankledge_runtime/TargetEdge.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cctype>
#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::string_view idHeader = "Id";

std::string_view idOf (const HttpHeaders& headers)
{
    return findHeader (headers, idHeader);
}

//==============================================================================
/** Sends the same bytes to each request and closes the connection in order. */
class RawServer
{
public:
    explicit RawServer (asio::io_context& context)
        : m_acceptor (context, tcp::endpoint (asio::ip::make_address ("127.0.0.1"), 0))
    {
        accept();
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
    void setBytes (std::string bytes) { m_bytes = std::move (bytes); }

private:
    struct Connection
    {
        explicit Connection (tcp::socket socket)
            : m_socket (std::move (socket))
        {
        }

        tcp::socket m_socket;
        std::string m_input;
        std::string m_output;
    };

    void accept()
    {
        m_acceptor.async_accept ([this] (const boost::system::error_code& error, tcp::socket socket) {
            if (error)
                return;

            respond (std::make_shared<Connection> (std::move (socket)));
            accept();
        });
    }

    void respond (const std::shared_ptr<Connection>& connection)
    {
        asio::async_read_until (
            connection->m_socket, asio::dynamic_buffer (connection->m_input), "\r\n\r\n",
            [this, connection] (const boost::system::error_code& error, std::size_t) {
                if (error)
                    return;

                connection->m_output = m_bytes;
                asio::async_write (connection->m_socket, asio::buffer (connection->m_output),
                                   [connection] (const boost::system::error_code&, std::size_t) {
                                       boost::system::error_code ignored;
                                       connection->m_socket.shutdown (tcp::socket::shutdown_send, ignored);
                                   });
            });
    }

    tcp::acceptor m_acceptor;
    std::string m_bytes;
};

//==============================================================================
/** Both clients of a server. */
struct Clients
{
    /** @param hasIds   whether requests have ids

        @returns the response to a call, or what was wrong with it
    */
    std::variant<HttpResponse, ResponseError> call (const std::string& bytes, bool hasIds,
                                                    const std::string& method = "GET")
    {
        m_server.setBytes (bytes);
        std::optional<TargetClient::Result> result;
        TargetClient client (
            m_context, [&result] (CallId, TargetClient::Result done) { result = std::move (done); },
            hasIds ? TargetClient::IdOf (idOf) : nullptr);
        HttpRequest request;
        request.m_method = method;
        request.m_headers.emplace_back (std::string (idHeader), "1");
        client.send (1, m_server.endpoint(), std::move (request));
        runUntil ([&result] { return result.has_value(); });
        REQUIRE (result.has_value());

        if (const auto* failure = std::get_if<CallFailure> (&*result))
            return failure->m_error;

        return std::get<HttpResponse> (*result);
    }

    absl::StatusOr<HttpResponse> request (const std::string& bytes)
    {
        m_server.setBytes (bytes);
        std::optional<absl::StatusOr<HttpResponse>> result;
        HttpClient client (m_context);
        client.send (m_server.endpoint(), HttpRequest(), std::chrono::seconds (5),
                     [&result] (absl::StatusOr<HttpResponse> done) { result = std::move (done); });
        runUntil ([&result] { return result.has_value(); });
        REQUIRE (result.has_value());
        return *std::move (result);
    }

private:
    void runUntil (const std::function<bool()>& condition)
    {
        const auto end = BootClock::now() + std::chrono::seconds (10);

        while (! condition() && BootClock::now() < end)
        {
            m_context.restart();
            m_context.run_one_for (std::chrono::milliseconds (20));
        }
    }

    asio::io_context m_context { 1 };
    RawServer m_server { m_context };
};

/** @returns a response that is complete but for its status line and further fields */
std::string makeResponse (const std::string& statusLine, const std::string& fields = {})
{
    return fmt::format ("{}\r\nId: 1\r\n{}Content-Length: 4\r\n\r\nbody", statusLine, fields);
}

//==============================================================================
bool isTokenCharacter (unsigned char character)
{
    return std::isalnum (character) != 0 ||
           (character != 0 && std::string_view ("!#$%&'*+-.^_`|~").find (static_cast<char> (character)) !=
                                  std::string_view::npos);
}

/** @returns whether a character may stand in a field's value or a reason phrase */
bool isTextCharacter (unsigned char character)
{
    return character == '\t' || (character >= ' ' && character != 0x7F);
}

bool isStatusLine (std::string_view line)
{
    const bool hasVersion = line.starts_with ("HTTP/1.1 ") || line.starts_with ("HTTP/1.0 ");
    return hasVersion && line.size() >= 13 && line[9] >= '2' && line[9] <= '5' &&
           std::isdigit (static_cast<unsigned char> (line[10])) != 0 &&
           std::isdigit (static_cast<unsigned char> (line[11])) != 0 && line[12] == ' ' &&
           std::all_of (line.begin() + 13, line.end(), isTextCharacter);
}

bool isFieldLine (std::string_view line)
{
    const auto colon = line.find (':');
    return colon != std::string_view::npos && colon > 0 &&
           std::all_of (line.begin(), line.begin() + static_cast<std::ptrdiff_t> (colon), isTokenCharacter) &&
           std::all_of (line.begin() + static_cast<std::ptrdiff_t> (colon), line.end(), isTextCharacter);
}

/** @returns whether a text begins with the header section of a final response, by the grammar of RFC 9112,
    sections 4 and 5, without obsolete line folding */
bool hasValidHead (std::string_view text)
{
    for (bool isFirst = true;; isFirst = false)
    {
        const auto end = text.find ("\r\n");

        if (end == std::string_view::npos)
            return false;

        const auto line = text.substr (0, end);
        text.remove_prefix (end + 2);

        if (line.empty())
            return ! isFirst;

        if (isFirst ? ! isStatusLine (line) : ! isFieldLine (line))
            return false;
    }
}

const HttpResponse* responseOf (const std::variant<HttpResponse, ResponseError>& result)
{
    return std::get_if<HttpResponse> (&result);
}

ResponseError errorOf (const std::variant<HttpResponse, ResponseError>& result)
{
    const auto* error = std::get_if<ResponseError> (&result);
    return error != nullptr ? *error : ResponseError::none;
}

} // namespace

//==============================================================================
// Guards against a status that no client can interpret, and against an interim response or a switch of
// protocols that is taken for the answer.
TEST_CASE ("a response has a status from 200 to 599")
{
    Clients clients;

    for (unsigned status = 0; status < 1000; status += status < 195 || status > 605 ? 1 : 23)
    {
        CAPTURE (status);
        const bool isInterim = status >= 100 && status < 200 && status != 101;
        const bool isBodiless = status == 204 || status == 304;

        if (isInterim || isBodiless)
            continue; // below

        for (const bool hasIds : { false, true })
        {
            const auto result =
                clients.call (makeResponse (fmt::format ("HTTP/1.1 {:03} X", status)), hasIds);
            const bool isFinal = status >= 200 && status < 600;
            CHECK ((responseOf (result) != nullptr) == isFinal);
            CHECK ((errorOf (result) == ResponseError::status) == ! isFinal);
        }
    }
}

TEST_CASE ("interim responses are skipped, with and without ids")
{
    Clients clients;
    const std::string hint = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    const std::string proceed = "HTTP/1.1 100 Continue\r\nId: 1\r\n\r\n";
    const auto final = makeResponse ("HTTP/1.1 200 OK");

    for (const bool hasIds : { false, true })
    {
        CAPTURE (hasIds);

        for (const auto& interim : { proceed, hint, proceed + hint + hint + hint + hint })
        {
            const auto result = clients.call (interim + final, hasIds);
            REQUIRE (responseOf (result) != nullptr);
            CHECK (responseOf (result)->m_status == 200);
            CHECK (responseOf (result)->m_body == "body");
        }

        CHECK (errorOf (clients.call (proceed, hasIds)) == ResponseError::incomplete);
        std::string endless;

        for (int number = 0; number < 100; ++number)
            endless += hint;

        CHECK (errorOf (clients.call (endless + final, hasIds)) == ResponseError::syntax);
    }
}

// Guards against a line that is passed on, or dropped together with the one before it, although its target
// has sent no field there.
TEST_CASE ("each byte at each kind of place in a header section is taken as the grammar has it")
{
    const std::string templates[] = {
        "HTTP/1.1 2@0 X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1@200 X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200@X\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 X@Y\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 X\r\n@Id: 1\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 X\r\nId: 1\r\n@Y: 2\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 X\r\nId: 1\r\nY@Y: 2\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 X\r\nId: 1\r\nYY@: 2\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 X\r\nId: 1\r\nYY:@2\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 X\r\nId: 1\r\nYY: 2@2\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 X\r\nId: 1\r\nYY: 2@\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 X\r\nId: 1\r\nYY: 2\r@\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 X\r\nId: 1\r\nYY: 2\r\n@\r\nContent-Length: 4\r\n\r\nbody",
    };
    Clients clients;

    for (const auto& text : templates)
    {
        for (unsigned byte = 0; byte < 256; ++byte)
        {
            auto bytes = text;
            bytes[bytes.find ('@')] = static_cast<char> (byte);
            CAPTURE (text);
            CAPTURE (byte);
            const auto result = clients.call (bytes, false);

            // The byte may make another number of the status, a name that frames the message, or a shorter
            // section.
            if (! hasValidHead (bytes))
                CHECK (errorOf (result) != ResponseError::none);
            else if (const auto* response = responseOf (result))
                CHECK (response->m_body == "body");
            else
                CHECK (errorOf (result) == ResponseError::none);
        }
    }
}

TEST_CASE ("a line that continues the one before is found however the bytes arrive")
{
    Clients clients;

    for (const auto* fold : { " ", "\t", " \t ", " X: 1" })
    {
        CAPTURE (fold);
        const auto folded = fmt::format ("Y: 1\r\n{}2\r\n", fold);
        CHECK (errorOf (clients.call (makeResponse ("HTTP/1.1 200 OK", folded), true)) ==
               ResponseError::lineFolding);
        CHECK (errorOf (clients.call (
                   "HTTP/1.1 103 Hints\r\n" + folded + "\r\n" + makeResponse ("HTTP/1.1 200 OK"), true)) ==
               ResponseError::lineFolding);

        // Lines at the end of the section, and of a long one that is read in several parts.
        const auto last = fmt::format ("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n{}\r\nbody", folded);
        CHECK (errorOf (clients.call (last, true)) == ResponseError::lineFolding);
        const auto filler = fmt::format ("X: {}\r\n", std::string (3000, 'x'));
        CHECK (errorOf (clients.call (makeResponse ("HTTP/1.1 200 OK", filler + folded + filler), true)) ==
               ResponseError::lineFolding);
    }

    // A body may look like anything.
    const auto body =
        clients.call ("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\na\r\n b\r\n c", true);
    REQUIRE (responseOf (body) != nullptr);
    CHECK (responseOf (body)->m_body == "a\r\n b\r\n c");
}

TEST_CASE ("a header section that is changed at random places is discarded unless the grammar allows it")
{
    constexpr std::string_view bytes ("\0\t\n\r \"(),/:;<=>?@[]{}aZ09~\x7f\x80\xff", 29);
    const std::string valid = "HTTP/1.1 200 Fine\r\nId: 1\r\nFirst: one two\r\nSecond:\r\n\r\nbody";
    Clients clients;
    Random random (62);
    std::size_t accepted = 0;

    for (int trial = 0; trial < 4000; ++trial)
    {
        auto text = valid;

        for (auto changes = random.below (3) + 1; changes > 0; --changes)
        {
            const auto place = random.below (text.size() - 4);
            const char byte = bytes[random.below (bytes.size())];

            switch (random.below (3))
            {
            case 0:
                text[place] = byte;
                break;
            case 1:
                text.insert (place, 1, byte);
                break;
            default:
                text.erase (place, 1);
            }
        }

        CAPTURE (text);
        const bool isAccepted = responseOf (clients.call (text, false)) != nullptr;
        accepted += isAccepted ? 1 : 0;
        CHECK ((! isAccepted || hasValidHead (text)));
    }

    CHECK (accepted > 400);
}

// Guards against fields that a client takes for those of the header section, such as a second id.
TEST_CASE ("fields of a trailer section are no header fields")
{
    Clients clients;
    const auto result = clients.call ("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                      "4\r\nbody\r\n0\r\nServer-Stamp: other\r\nId: 2\r\n\r\n",
                                      true);
    REQUIRE (responseOf (result) != nullptr);
    const auto& headers = responseOf (result)->m_headers;
    CHECK (responseOf (result)->m_body == "body");
    CHECK (findHeader (headers, "Server-Stamp").empty());
    CHECK (std::count_if (headers.begin(), headers.end(),
                          [] (const auto& header) { return header.first == "Id"; }) == 1);

    // An id in the trailer section alone does not make it the response to a request.
    CHECK (errorOf (clients.call ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nId: 1\r\n\r\n",
                                  true)) == ResponseError::incomplete);
}

// Guards against coded bytes that are passed on as the body, without the field that names the coding.
TEST_CASE ("a transfer coding other than chunked alone is an error")
{
    struct Row
    {
        std::string m_fields;
        bool m_isAccepted;
    };
    const Row rows[] = {
        { "Transfer-Encoding: chunked\r\n", true },
        { "Transfer-Encoding: Chunked\r\n", true },
        { "Transfer-Encoding: \t chunked \r\n", true },
        { "Transfer-Encoding: gzip\r\n", false },
        { "Transfer-Encoding: gzip, chunked\r\n", false },
        { "Transfer-Encoding: chunked, gzip\r\n", false },
        { "Transfer-Encoding: chunked, chunked\r\n", false },
        { "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", false },
        { "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", false },
        { "Transfer-Encoding: identity\r\n", false },
        { "Transfer-Encoding: xchunked\r\n", false },
        { "Transfer-Encoding: chunked;q=1\r\n", false },
        { "Transfer-Encoding:\r\n", false },
        { "Transfer-Encoding: chunked\r\nContent-Length: 14\r\n", false },
    };
    Clients clients;

    for (const auto& row : rows)
    {
        CAPTURE (row.m_fields);

        for (const std::string version : { "1.1", "1.0" })
        {
            CAPTURE (version);
            const auto result =
                clients.call (fmt::format ("HTTP/{} 200 OK\r\nId: 1\r\n{}\r\n4\r\nbody\r\n0\r\n\r\n", version,
                                           row.m_fields),
                              true);
            const bool isAccepted = row.m_isAccepted && version == "1.1";
            CHECK ((responseOf (result) != nullptr) == isAccepted);

            if (isAccepted)
                CHECK (responseOf (result)->m_body == "body");
        }
    }
}

//==============================================================================
// Guards against an answer of the store, or of a node's admin address, that is no response.
TEST_CASE ("the client for single requests discards the same responses")
{
    Clients clients;
    CHECK (clients.request (makeResponse ("HTTP/1.1 200 OK")).ok());

    for (const auto& bytes :
         { makeResponse ("HTTP/1.1 000 X"), makeResponse ("HTTP/1.1 700 X"), makeResponse ("HTTP/1.1 101 X"),
           makeResponse ("HTTP/1.1 200 OK", " fold\r\n"), makeResponse ("HTTP/1.1 200 OK", "X Y: 1\r\n"),
           std::string ("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody"),
           std::string ("rubbish\r\n\r\n") })
    {
        CAPTURE (bytes);
        CHECK (absl::IsDataLoss (clients.request (bytes).status()));
    }

    CHECK (absl::IsAborted (clients.request ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo").status()));
    const auto interim = clients.request ("HTTP/1.1 100 Continue\r\n\r\n" + makeResponse ("HTTP/1.1 200 OK"));
    REQUIRE (interim.ok());
    CHECK (interim->m_body == "body");
}

// Guards against an empty or short response, made of a header section that never ended.
TEST_CASE ("a response that ends inside its header section is an error for both clients, at whatever byte")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string heads[] = { "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
                                  "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                                  "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
                                  "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n",
                                  "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
                                  interim + "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n" };
    Clients clients;

    for (const auto& head : heads)
    {
        for (std::size_t size = 0; size < head.size(); ++size)
        {
            const auto bytes = head.substr (0, size);
            CAPTURE (bytes);
            CHECK_FALSE (clients.request (bytes).ok());

            for (const auto* method : { "GET", "HEAD" })
                CHECK (errorOf (clients.call (bytes, true, method)) == ResponseError::incomplete);
        }
    }
}

TEST_CASE ("responses beyond the limits are discarded")
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\n";
    const auto fields = head + "X: " + std::string (2 * maxHeaderBytes, 'x') + "\r\n\r\n";
    const auto trailers =
        head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: " + std::string (4 * maxHeaderBytes, 'x') +
        "\r\n\r\n";
    const auto body = head + "\r\n" + std::string (17U << 20U, 'x');
    const auto announced = head + "Content-Length: 99999999999\r\n\r\n";
    Clients clients;

    for (const auto& bytes : { fields, trailers, body, announced })
    {
        CAPTURE (bytes.substr (0, 60));
        CHECK (errorOf (clients.call (bytes, true)) == ResponseError::tooLarge);
        CHECK (clients.request (bytes).status() == absl::DataLossError ("response discarded: too-large"));
    }
}

// Guards against a target that counts as sound, since it answers its health checks with bytes that are no
// response.
TEST_CASE ("a target whose health check is answered by no response is not serving")
{
    asio::io_context context { 1 };
    RawServer server (context);
    Logger logger ("node-1", Severity::error);
    Node node (context,
               std::make_unique<Reducer> (
                   NodeSettings(), RelaySettings(),
                   [] (const std::string&) -> absl::StatusOr<RouteTable> { return RouteTable (1, {}); }),
               logger);
    node.addEdge ([] (const Effect&) { return true; });
    NodeMetrics metrics;
    TargetEdge target (context, node, server.endpoint(), metrics, std::make_shared<ProcessResources>());
    target.start();

    for (const auto& [bytes, isServing] :
         { std::pair { makeResponse ("HTTP/1.1 200 OK"), true },
           std::pair { makeResponse ("HTTP/1.1 000 X"), false },
           std::pair { makeResponse ("HTTP/1.1 200 OK"), true },
           std::pair { makeResponse ("HTTP/1.1 200 OK", " fold\r\n"), false },
           std::pair { makeResponse ("HTTP/1.1 200 OK"), true },
           std::pair { std::string ("HTTP/1.1 200 OK\r\nId: 1\r\n"), false },
           std::pair { makeResponse ("HTTP/1.1 200 OK"), true },
           std::pair { std::string ("HTTP/1.1 200"), false } })
    {
        CAPTURE (bytes);
        server.setBytes (bytes);
        context.restart();
        context.run_for (
            std::chrono::milliseconds (1800)); // a serving target is probed once it is idle for 1 s
        CHECK (target.isServing() == isServing);
    }
}

TEST_CASE ("responses without a body are complete after their header section")
{
    Clients clients;

    for (const auto* status : { "204 No Content", "304 Not Modified" })
    {
        CAPTURE (status);
        const auto result = clients.call (fmt::format ("HTTP/1.1 {}\r\nId: 1\r\n\r\n", status), true);
        REQUIRE (responseOf (result) != nullptr);
        CHECK (responseOf (result)->m_body.empty());
    }

    const auto head = clients.call ("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n", true, "HEAD");
    REQUIRE (responseOf (head) != nullptr);
    CHECK (responseOf (head)->m_body.empty());
}

} // namespace plankledge::test
