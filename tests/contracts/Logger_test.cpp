#include "plankledge_core/Logger.h"
#include "plankledge_runtime/NoticeLog.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <set>
#include <string>
#include <unistd.h>

namespace plankledge::test
{

namespace
{

/** A pipe; its reading end never waits. */
class Pipe
{
public:
    Pipe()
    {
        REQUIRE (::pipe (m_ends.data()) == 0);
        ::fcntl (m_ends[0], F_SETFL, O_NONBLOCK);
    }

    ~Pipe()
    {
        ::close (m_ends[0]);
        ::close (m_ends[1]);
    }

    int writingEnd() const { return m_ends[1]; }

    std::string readAll() const
    {
        std::string text;
        std::array<char, 65536> buffer {};

        for (auto size = ::read (m_ends[0], buffer.data(), buffer.size()); size > 0;
             size = ::read (m_ends[0], buffer.data(), buffer.size()))
            text.append (buffer.data(), static_cast<std::size_t> (size));

        return text;
    }

private:
    std::array<int, 2> m_ends {};
};

} // namespace

//==============================================================================
TEST_CASE ("a line is JSON and comes out whole")
{
    Pipe pipe;
    Logger logger ("node-1", Severity::info, pipe.writingEnd());
    logger.write (Severity::info, "request-refused", { { "reason", "a \"quoted\"\nline" } });
    logger.write (Severity::debug, "not-written");
    logger.flush();
    const auto text = pipe.readAll();
    CHECK (
        text.find (R"("event":"request-refused","instance":"node-1","reason":"a \"quoted\"\u000aline"})") !=
        std::string::npos);
    CHECK (std::count (text.begin(), text.end(), '\n') == 1);
}

TEST_CASE ("a pipe that nobody reads holds nothing up, and what is dropped is counted")
{
    Pipe pipe;
    LineSink sink (pipe.writingEnd());
    const std::string line (1000, 'x');

    // Far more than a pipe and the sink hold together.
    for (int index = 0; index < 2000; ++index)
        sink.append (line);

    CHECK (sink.dropped() > 0);
    CHECK (sink.pending() <= LineSink::mostPendingBytes);

    // Once it is read, whole lines come and none is cut.
    std::string text;

    for (int index = 0; index < 100; ++index)
    {
        text += pipe.readAll();
        sink.flush();
    }

    CHECK (text.size() % (line.size() + 1) == 0);
    CHECK (sink.pending() == 0);
}

TEST_CASE ("a flood of one event is bounded, and sampled requests have room of their own")
{
    Pipe pipe;
    Logger logger ("node-1", Severity::info, pipe.writingEnd());

    for (unsigned index = 0; index < 3 * Logger::floodLimit; ++index)
        logger.write (Severity::info, "flood");

    logger.write (Severity::info, "flood", { { "request", "sampled" } }, true);
    logger.flush();
    const auto text = pipe.readAll();

    // The clock may pass a second meanwhile, but hardly two.
    CHECK (std::count (text.begin(), text.end(), '\n') <= 2 * Logger::floodLimit + 1);
    CHECK (text.find ("\"sampled\"") != std::string::npos);
}

/*  Lines about keys that were closed and opened, and about the homes of limits, had an empty event: three
   names were missing from the table, and nothing asked for them. */
TEST_CASE ("each event has a name of its own")
{
    std::set<std::string_view> names;

    for (std::size_t index = 0; index < static_cast<std::size_t> (Decision::decisionCount); ++index)
        names.insert (nameOf (static_cast<Decision> (index)));

    CHECK (names.size() == static_cast<std::size_t> (Decision::decisionCount));
    CHECK (! names.contains (std::string_view()));
}

} // namespace plankledge::test
