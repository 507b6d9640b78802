/*  Guards against responses that answer another request of their connection, requests that run beside one
   that changes something, reading without bounds, and requests that are cancelled twice or not at all. */

#include "plankledge_runtime/ResponseOrder.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using Ids = std::vector<ResponseOrder::Id>;

constexpr ResponseOrder::Limits readAhead { 4, 100 };
constexpr bool isSafe = true;
constexpr bool isUnsafe = false;

HttpResponse makeResponse (std::size_t bytes = 1, bool closes = false)
{
    HttpResponse response;
    response.m_body = std::string (bytes, 'a');
    response.m_closesConnection = closes;
    return response;
}

/** Adds a request that does not ask for the connection to close. */
ResponseOrder::Id accept (ResponseOrder& order, bool mayRunAhead)
{
    return order.accept (mayRunAhead, false, 0);
}

/** Starts all requests that may run now. */
Ids startAll (ResponseOrder& order)
{
    Ids started;

    while (const auto id = order.startNext())
        started.push_back (*id);

    return started;
}

/** Writes all responses that may be written now. */
Ids writeAll (ResponseOrder& order, bool isDraining = false)
{
    Ids written;

    while (const auto next = order.release (isDraining))
    {
        written.push_back (next->m_id);
        order.onWritten();
    }

    return written;
}

} // namespace

TEST_CASE ("responses are released in the order of the requests")
{
    ResponseOrder order (readAhead);
    const Ids ids { accept (order, isSafe), accept (order, isSafe), accept (order, isSafe) };
    CHECK (startAll (order) == ids);

    CHECK (order.complete (ids[2], makeResponse()).empty());
    CHECK (order.complete (ids[1], makeResponse()).empty());
    CHECK (writeAll (order).empty());
    CHECK (order.complete (ids[0], makeResponse()).empty());
    CHECK (writeAll (order) == ids);
    CHECK (order.size() == 0);
    CHECK (order.isOpen());
}

TEST_CASE ("one response is written at a time")
{
    ResponseOrder order (readAhead);
    const Ids ids { accept (order, isSafe), accept (order, isSafe) };
    startAll (order);
    order.complete (ids[0], makeResponse());
    order.complete (ids[1], makeResponse());
    CHECK (order.release (false)->m_id == ids[0]);
    CHECK_FALSE (order.release (false).has_value());
    order.onWritten();
    CHECK (order.release (false)->m_id == ids[1]);
}

TEST_CASE (
    "a request that may not run ahead starts when all before it are answered, and holds those behind it")
{
    ResponseOrder order (readAhead);
    const Ids before { accept (order, isSafe), accept (order, isSafe) };
    CHECK (startAll (order) == before);
    const auto unsafe = accept (order, isUnsafe);
    CHECK (startAll (order).empty());
    CHECK_FALSE (order.mayRead (false)); // what is behind it could not run either

    order.complete (before[1], makeResponse());
    order.complete (before[0], makeResponse());
    CHECK (order.release (false)->m_id == before[0]);
    CHECK (startAll (order).empty());
    order.onWritten();
    CHECK (startAll (order).empty());
    CHECK (order.release (false)->m_id == before[1]);
    CHECK (startAll (order).empty()); // its response is being written
    order.onWritten();
    CHECK (startAll (order) == Ids { unsafe });

    CHECK (order.mayRead (false));
    const auto after = accept (order, isSafe);
    CHECK (startAll (order).empty());
    order.complete (unsafe, makeResponse());
    CHECK (startAll (order).empty());
    CHECK (writeAll (order) == Ids { unsafe });
    CHECK (startAll (order) == Ids { after });
}

TEST_CASE ("reading ahead is bounded by requests and by bytes that wait")
{
    SUBCASE ("requests")
    {
        ResponseOrder order (readAhead);
        Ids ids;

        while (order.mayRead (false))
        {
            ids.push_back (accept (order, isSafe));
            startAll (order);
        }

        CHECK (ids.size() == readAhead.m_requests);
        order.complete (ids[1], makeResponse());
        CHECK_FALSE (order.mayRead (false));
        order.complete (ids[0], makeResponse());
        writeAll (order);
        CHECK (order.mayRead (false));
    }

    SUBCASE ("bytes")
    {
        ResponseOrder order (readAhead);
        const Ids ids { accept (order, isSafe), accept (order, isSafe) };
        startAll (order);
        order.complete (ids[1], makeResponse (readAhead.m_bodyBytes - 1));
        CHECK (order.mayRead (false));
        order.complete (ids[0], makeResponse (1));
        CHECK_FALSE (order.mayRead (false));
        CHECK (order.release (false).has_value());
        CHECK_FALSE (order.mayRead (false)); // the released one still waits to be written
        order.onWritten();
        CHECK (order.mayRead (false));
        writeAll (order);
        CHECK (order.mayRead (false));
    }

    SUBCASE ("bytes of requests and responses together")
    {
        ResponseOrder order (readAhead);
        const auto first = order.accept (isSafe, false, readAhead.m_bodyBytes - 2);
        const auto second = order.accept (isSafe, false, 1);
        startAll (order);
        CHECK (order.mayRead (false));
        order.complete (second, makeResponse (2));
        CHECK_FALSE (order.mayRead (false));
        order.complete (first, makeResponse (3));
        CHECK (order.mayRead (false)); // the request's body is no longer counted
        writeAll (order);
        const auto third = order.accept (isSafe, false, readAhead.m_bodyBytes);
        startAll (order);
        CHECK_FALSE (order.mayRead (false));
        order.complete (third, makeResponse());
        CHECK (order.mayRead (false));
    }

    SUBCASE ("the default: one at a time")
    {
        ResponseOrder order { ResponseOrder::Limits() };
        CHECK (order.mayRead (false));
        const auto id = accept (order, isUnsafe);
        startAll (order);
        CHECK_FALSE (order.mayRead (false));
        order.complete (id, makeResponse());
        CHECK (order.release (false).has_value());
        CHECK_FALSE (order.mayRead (false));
        order.onWritten();
        CHECK (order.mayRead (false));
    }
}

TEST_CASE ("a response that closes is the last one and cancels the running requests behind it")
{
    ResponseOrder order (readAhead);
    const Ids ids { accept (order, isSafe), accept (order, isSafe), accept (order, isSafe),
                    accept (order, isUnsafe) };
    startAll (order);
    CHECK (order.complete (ids[1], makeResponse (1, true)) == Ids { ids[2] });
    CHECK_FALSE (order.isOpen());
    CHECK_FALSE (order.mayRead (false));
    CHECK (order.complete (ids[2], makeResponse()).empty());
    CHECK (startAll (order).empty()); // the held one is dropped

    CHECK (order.complete (ids[0], makeResponse()).empty());
    const auto first = order.release (false);
    REQUIRE (first.has_value());
    CHECK_FALSE (first->m_isLast);
    order.onWritten();
    const auto last = order.release (false);
    REQUIRE (last.has_value());
    CHECK (last->m_id == ids[1]);
    CHECK (last->m_isLast);
    order.onWritten();
    CHECK (order.isFinished());
}

TEST_CASE ("a response before one that closes, and closing itself, keeps the earliest end")
{
    ResponseOrder order (readAhead);
    const Ids ids { accept (order, isSafe), accept (order, isSafe), accept (order, isSafe) };
    startAll (order);
    CHECK (order.complete (ids[2], makeResponse (1, true)).empty());
    CHECK (order.complete (ids[0], makeResponse (1, true)) == Ids { ids[1] });
    CHECK (writeAll (order) == Ids { ids[0] });
    CHECK (order.isFinished());
}

TEST_CASE ("nothing is read behind a request that asks to close, and its response is the last")
{
    ResponseOrder order (readAhead);
    const Ids ids { order.accept (isSafe, false, 0), order.accept (isSafe, true, 0) };
    CHECK (startAll (order) == ids);
    CHECK_FALSE (order.mayRead (false));
    order.complete (ids[0], makeResponse());
    order.complete (ids[1], makeResponse());
    CHECK_FALSE (order.release (false)->m_isLast);
    order.onWritten();
    CHECK (order.release (false)->m_isLast);
    order.onWritten();
    CHECK (order.isFinished());
}

TEST_CASE ("a connection that drains answers what was read, held requests too, and closes with the last")
{
    ResponseOrder order (readAhead);
    const Ids ids { accept (order, isSafe), accept (order, isUnsafe) };
    CHECK (startAll (order) == Ids { ids[0] });
    constexpr bool isDraining = true;
    CHECK_FALSE (order.mayRead (isDraining));
    order.complete (ids[0], makeResponse());
    CHECK_FALSE (order.release (isDraining)->m_isLast);
    order.onWritten();
    CHECK (startAll (order) == Ids { ids[1] });
    order.complete (ids[1], makeResponse());
    CHECK (order.release (isDraining)->m_isLast);
    order.onWritten();
    CHECK (order.isFinished());
}

TEST_CASE ("a connection that drains and has no request reads one more")
{
    ResponseOrder order (readAhead);
    CHECK (order.mayRead (true));
    const auto id = accept (order, isSafe);
    CHECK_FALSE (order.mayRead (true));
    startAll (order);
    order.complete (id, makeResponse());
    CHECK (order.release (true)->m_isLast);
}

TEST_CASE ("a client that disconnects cancels each running request once")
{
    ResponseOrder order (readAhead);
    const Ids ids { accept (order, isSafe), accept (order, isSafe), accept (order, isSafe),
                    accept (order, isUnsafe) };
    startAll (order);
    CHECK (order.hasRunning());

    SUBCASE ("while all run")
    {
        CHECK (order.disconnect() == Ids { ids[0], ids[1], ids[2] });
        CHECK (order.isFinished());
    }

    SUBCASE ("responses that wait for no running request are still written")
    {
        order.complete (ids[0], makeResponse());
        order.complete (ids[2], makeResponse());
        CHECK (order.disconnect() == Ids { ids[1] });
        CHECK_FALSE (order.isFinished());
        CHECK (writeAll (order) == Ids { ids[0] });
        CHECK (order.isFinished());
    }

    SUBCASE ("while a response is being written")
    {
        order.complete (ids[0], makeResponse());
        REQUIRE (order.release (false).has_value());
        CHECK (order.disconnect() == Ids { ids[1], ids[2] });
        order.onWritten();
        CHECK (order.isFinished());
    }

    CHECK (order.disconnect().empty());
    CHECK (order.complete (ids[1], makeResponse()).empty());
    CHECK (startAll (order).empty());
    CHECK (order.isFinished());
}

TEST_CASE ("a request that is held or answered does not run")
{
    ResponseOrder order (readAhead);
    const Ids ids { accept (order, isSafe), accept (order, isUnsafe) };
    CHECK_FALSE (order.hasRunning());
    startAll (order);
    CHECK (order.hasRunning());
    order.complete (ids[0], makeResponse());
    CHECK_FALSE (order.hasRunning());
    writeAll (order);
    CHECK (startAll (order) == Ids { ids[1] });
    CHECK (order.hasRunning());
}

} // namespace plankledge::test
