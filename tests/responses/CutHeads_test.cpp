/*  What clients get when a target's response ends inside its header section: real processes. */

#include "responses/ResponseScenario.h"

#include <boost/beast/http.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

namespace http = boost::beast::http;

/** A header section; the response is cut before its end. */
struct Head
{
    const char* m_name;
    std::string m_bytes;
};

const std::string fields = "Request-Id: {id}\r\nServer-Stamp: stamp\r\n";

const Head heads[] = {
    { "with a length", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n" },
    { "in chunks", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" },
    { "until the connection is closed", "HTTP/1.1 200 OK\r\n" + fields + "\r\n" },
    { "of HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + "\r\n" },
    { "without a body", "HTTP/1.1 204 No Content\r\n" + fields + "\r\n" },
    { "behind an interim response",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n" },
};

/** How the connection ends, and how often a place is tried. */
struct End
{
    const char* m_name;
    RawResponse m_response;
    std::size_t m_step = 1;      /**< bytes between two places */
    bool m_isUsedBefore = false; /**< the connection has carried a response */
};

const End ends[] = {
    { "closed", { .m_closes = true }, 1, false },
    { "closed, on a connection that has been used", { .m_closes = true }, 3, true },
    { "closed by the target for its own bytes only", { .m_halfCloses = true }, 5, false },
    { "byte by byte, then closed", { .m_closes = true, .m_isByteByByte = true }, 5, true },
};

/** @returns whether a client's bytes are an answer of the system that promises nothing, or none */
bool isUnknown (const std::string& bytes, bool isHead = false)
{
    return bytes.empty() || isOwnAnswer (bytes, 502, isHead) || isOwnAnswer (bytes, 504, isHead);
}

struct Method
{
    const char* m_name;
    const char* m_path;
    bool m_isRepeatable = true;
};

const Method methods[] = { { "GET", "/read/" }, { "POST", "/write/", false }, { "HEAD", "/read/" } };

/** @returns the number of bytes of an answer that a client takes for complete; nullopt if it isn't one */
std::optional<std::size_t> completeBody (const std::string& bytes)
{
    http::response_parser<http::string_body> parser;
    parser.eager (true);
    boost::beast::error_code error;
    parser.put (boost::asio::buffer (bytes), error);

    if (error || ! parser.is_done())
        return std::nullopt;

    return parser.get().body().size();
}

} // namespace

//==============================================================================
// Guards against a success with an empty or short body, made of a response whose header section never ended.
TEST_CASE ("a response that ends inside its header section is no answer, at whatever byte")
{
    RawResponse response;
    std::size_t places = 0;

    for (const auto& end : ends)
    {
        // A scenario of its own, so that a target that fails often isn't avoided for long.
        ResponseScenario scenario ({ [&response] (const std::string&) { return response; } });

        for (const auto& head : heads)
        {
            for (std::size_t size = 0; size < head.m_bytes.size(); size += end.m_step)
            {
                const auto& method = methods[places % std::size (methods)];
                CAPTURE (std::string (end.m_name));
                CAPTURE (std::string (head.m_name));
                CAPTURE (std::string (method.m_name));
                CAPTURE (size);

                if (end.m_isUsedBefore)
                    scenario.exchange ("GET", "/read/usual");

                response = end.m_response;
                response.m_bytes = head.m_bytes.substr (0, size);
                const auto before = scenario.target (0).requests();
                const auto bytes =
                    scenario.exchange (method.m_name, method.m_path + fmt::format ("{}", ++places));
                CAPTURE (bytes);
                CHECK (isUnknown (bytes, method.m_name == std::string ("HEAD")));

                if (! method.m_isRepeatable)
                    CHECK (scenario.target (0).requests() == before + 1);
            }
        }
    }

    CHECK (places > 700);
}

// Guards against an answer that looks complete although the node that passed it on was killed meanwhile.
TEST_CASE ("an answer whose node is killed while it passes it on is whole or none")
{
    unsigned whole = 0;
    unsigned none = 0;

    for (int delayMs = 0; delayMs < 15; ++delayMs)
    {
        CAPTURE (delayMs);
        ResponseScenario scenario ({ [] (const std::string&) { return std::nullopt; } });
        const auto bytes = scenario.exchange (
            "GET", "/read/large", [&] { scenario.gate (0).kill(); }, Milliseconds (delayMs));
        const auto size = completeBody (bytes);
        const bool isWhole = size == StubTarget::largeBytes;
        CHECK ((isWhole || ! size.has_value() || isUnknown (bytes) || isOwnAnswer (bytes, 503)));
        ++(isWhole ? whole : none);
    }

    MESSAGE (whole << " whole, " << none << " none");
    CHECK (none > 0);
}

} // namespace plankledge::test
