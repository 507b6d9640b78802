/*  What clients get, and where requests go, when targets send bytes that are no response: real processes. */

#include "responses/ResponseScenario.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

/** A response that is not one. */
struct Shape
{
    std::string m_name;
    RawResponse m_response;
};

/** @returns a response with a status line and further fields, which is complete but for these */
RawResponse makeResponse (const std::string& statusLine, const std::string& fields = {})
{
    return { fmt::format (
        "{}\r\nRequest-Id: {{id}}\r\nServer-Stamp: stamp\r\n{}Content-Length: 4\r\n\r\nbody", statusLine,
        fields) };
}

/** Sends one repeatable request and one that isn't for each shape, and checks that none of the bytes reach
   the client. */
void checkShapes (const std::vector<Shape>& shapes)
{
    RawResponse response;
    ResponseScenario scenario ({ [&response] (const std::string&) { return response; } });

    for (const auto& shape : shapes)
    {
        for (const std::string method : { "GET", "POST" })
        {
            CAPTURE (shape.m_name);
            CAPTURE (method);
            response = shape.m_response;
            const auto bytes = scenario.exchange (method, method == "GET" ? "/read/x" : "/write/x");
            CAPTURE (bytes);
            CHECK (isOwnAnswer (bytes, 502));
        }
    }

    response = makeResponse ("HTTP/1.1 200 OK");
    CHECK (scenario.exchange ("GET", "/read/x").ends_with ("\r\n\r\nbody"));
}

} // namespace

//==============================================================================
// Guards against a status that no client can interpret, passed on as the answer of a target.
TEST_CASE ("statuses that end no exchange")
{
    const std::string fields = "Request-Id: {id}\r\nServer-Stamp: stamp\r\n";
    std::vector<Shape> shapes {
        { "chunked",
          { "HTTP/1.1 000 X\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" } },
        { "until the connection is closed", { "HTTP/1.1 000 X\r\n" + fields + "\r\nbody", {}, true } },
        { "empty", { "HTTP/1.1 000 X\r\n" + fields + "Content-Length: 0\r\n\r\n" } },
        { "switching protocols, not asked for",
          { "HTTP/1.1 101 Switching Protocols\r\n" + fields + "Upgrade: x\r\nConnection: upgrade\r\n\r\n" } },
    };

    for (const auto* status : { "000", "001", "099", "600", "700", "999" })
        shapes.push_back ({ status, makeResponse (fmt::format ("HTTP/1.1 {} X", status)) });

    checkShapes (shapes);
}

// Guards against a header section that is passed on, or given another meaning, although its lines are no
// fields.
TEST_CASE ("lines that are no fields")
{
    const auto* const statusLine = "HTTP/1.1 200 OK";
    std::vector<Shape> shapes {
        { "a blank in a name", makeResponse (statusLine, "X Y: 1\r\n") },
        { "a tab in a name", makeResponse (statusLine, "X\tY: 1\r\n") },
        { "a blank before the colon", makeResponse (statusLine, "X : 1\r\n") },
        { "NUL in a name", makeResponse (statusLine, std::string ("X\0Y: 1\r\n", 8)) },
        { "a control byte in a name", makeResponse (statusLine, "X\x01Y: 1\r\n") },
        { "DEL in a name", makeResponse (statusLine, "X\x7fY: 1\r\n") },
        { "no name", makeResponse (statusLine, ": 1\r\n") },
        { "no colon", makeResponse (statusLine, "X\r\n") },
        { "a control byte in a value", makeResponse (statusLine, "X: 1\x01\r\n") },
        { "a line feed in a value", makeResponse (statusLine, "X: 1\n2\r\n") },
        { "a carriage return in a value", makeResponse (statusLine, "X: 1\r2\r\n") },
        { "a continuation of the stamp", makeResponse (statusLine, " more\r\n") },
        { "a continuation with a tab", makeResponse (statusLine, "\tmore\r\n") },
        { "a continuation of the status line", makeResponse (std::string (statusLine) + "\r\n more") },
    };
    checkShapes (shapes);
}

// Guards against coded bytes that are passed on as the body.
TEST_CASE ("transfer codings that nobody asked for")
{
    std::vector<Shape> shapes;

    for (const auto* coding : { "gzip", "gzip, chunked", "chunked, gzip", "identity" })
        shapes.push_back ({ coding,
                            { fmt::format ("HTTP/1.1 200 OK\r\nRequest-Id: {{id}}\r\nServer-Stamp: stamp\r\n"
                                           "Transfer-Encoding: {}\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                                           coding),
                              {},
                              true } });

    checkShapes (shapes);
}

// Guards against an answer that is taken for the client's although it names another request or run as well.
TEST_CASE ("two ids or two stamps")
{
    const auto* const statusLine = "HTTP/1.1 200 OK";
    checkShapes ({ { "two ids", makeResponse (statusLine, "Request-Id: another\r\n") },
                   { "two stamps", makeResponse (statusLine, "Server-Stamp: another\r\n") } });
}

// Guards against a success that no client takes for one, from a target that routing takes for a sound one.
TEST_CASE ("a success without a stamp")
{
    checkShapes (
        { { "no stamp", { "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\nbody" } },
          { "an empty stamp",
            { "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp:\r\n"
              "Content-Length: 4\r\n\r\nbody" } },
          { "a success without a body", { "HTTP/1.1 204 No Content\r\nRequest-Id: {id}\r\n\r\n" } } });
}

// Guards against a node that reads, and holds in memory, whatever a target sends.
TEST_CASE ("bytes without end")
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp\r\n";
    const std::string block (1000, 'x');
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::chrono::milliseconds none { 0 };
    const std::vector<Shape> shapes {
        { "fields", { head, "X: " + block + "\r\n" } },
        { "one field", { head + "X: ", block } },
        { "a name", { head, block } },
        { "a status line", { "HTTP/1.1 200 ", block } },
        { "rubbish", { "\x16\x03\x01", block } },
        { "blank lines", { "", "\r\n\r\n\r\n\r\n" } },
        { "a body without a length", { head + "\r\n", block } },
        { "chunks", { chunked, fmt::format ("{:x}\r\n{}\r\n", block.size(), block) } },
        { "small chunks", { chunked, "1\r\nx\r\n1\r\nx\r\n1\r\nx\r\n" } },
        { "a chunk size", { chunked, std::string (1000, '0') } },
        { "chunk extensions", { chunked + "1;", block } },
        { "trailers", { chunked + "0\r\n", "X: " + block + "\r\n" } },
        { "interim responses", { "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" } },
        { "responses to other requests",
          { "", "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nServer-Stamp: stamp\r\nContent-Length: "
                "4\r\n\r\nbody" } },
        { "a slow section", { head, "X: 1\r\n", false, none, std::chrono::milliseconds (100) } },
        { "a slow body", { head + "\r\n", "x", false, none, std::chrono::milliseconds (100) } },
    };
    RawResponse response;
    ResponseScenario scenario ({ [&response] (const std::string&) { return response; } });

    for (const auto& shape : shapes)
    {
        CAPTURE (shape.m_name);
        response = shape.m_response;
        const bool isSlow = response.m_interval > none;
        const auto bytes = scenario.exchange ("POST", "/write/x");
        CAPTURE (bytes);
        CHECK (isOwnAnswer (bytes, isSlow ? 504 : 502));

        // The connection ends with the request, and so does what the target sends.
        const auto isOver = [&scenario] { return scenario.target (0).sending() == 0; };
        CHECK (scenario.runUntil (isOver, std::chrono::seconds (1)));
    }

    MESSAGE ("memory of the node beside the target: ", scenario.gate (0).peakMemoryBytes());
    CHECK (scenario.gate (0).peakMemoryBytes() < 32U << 20U);
    response = makeResponse ("HTTP/1.1 200 OK");
    CHECK (scenario.exchange ("GET", "/read/x").ends_with ("\r\n\r\nbody"));
}

// Guards against a target that attracts the requests of its service, since it answers at once with bytes that
// are no response.
TEST_CASE ("requests go to the sound one of two targets")
{
    ResponseScenario scenario ({ [] (const std::string&) { return makeResponse ("HTTP/1.1 000 X"); },
                                 [] (const std::string&) {
                                     auto response = makeResponse ("HTTP/1.1 200 OK");
                                     response.m_delay = std::chrono::milliseconds (50);
                                     return response;
                                 } });
    const auto before = scenario.target (0).requests();
    const auto served = scenario.exchangeAtOnce (16, 60);
    MESSAGE ("served ", served, " of 960, sent to the broken target ",
             scenario.target (0).requests() - before);
    CHECK (scenario.target (0).requests() - before < 96);
    CHECK (served > 864);

    // An operator finds the target and the rule.
    CHECK (scenario.counter (scenario.gate (0),
                             "plankledge_target_responses_discarded_total{reason=\"status\"}") ==
           scenario.target (0).requests() - before);
    CHECK (scenario.gate (0).log().find (
               R"("reason":"target-broken","error":"status","target":"gate-0-target")") != std::string::npos);
}

} // namespace plankledge::test
