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

/** A pipe with a non-blocking read end. */
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

    int writeEnd() const { return m_ends[1]; }

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
TEST_CASE ("a log line is one line of JSON")
{
    Pipe pipe;
    Logger logger ("node-1", Severity::info, pipe.writeEnd());
    logger.write (Severity::info, "request-refused", { { "reason", "a \"quoted\"\nline" } });
    logger.write (Severity::debug, "not-written");
    logger.flush();
    const auto text = pipe.readAll();
    CHECK (
        text.find (R"("event":"request-refused","instance":"node-1","reason":"a \"quoted\"\u000aline"})") !=
        std::string::npos);
    CHECK (std::count (text.begin(), text.end(), '\n') == 1);
}

TEST_CASE ("a full pipe does not block the writer, and dropped lines are counted")
{
    Pipe pipe;
    LineSink sink (pipe.writeEnd());
    const std::string line (1000, 'x');

    // Exceeds the capacity of the pipe and the sink.
    for (int index = 0; index < 2000; ++index)
        sink.append (line);

    CHECK (sink.dropped() > 0);
    CHECK (sink.pending() <= LineSink::maxPendingBytes);

    // No line is truncated.
    std::string text;

    for (int index = 0; index < 100; ++index)
    {
        text += pipe.readAll();
        sink.flush();
    }

    CHECK (text.size() % (line.size() + 1) == 0);
    CHECK (sink.pending() == 0);
}

TEST_CASE ("the rate of an event is limited, and lines of sampled requests have a separate limit")
{
    Pipe pipe;
    Logger logger ("node-1", Severity::info, pipe.writeEnd());

    for (unsigned index = 0; index < 3 * Logger::maxLinesPerSecond; ++index)
        logger.write (Severity::info, "flood");

    logger.write (Severity::info, "flood", { { "request", "sampled" } }, true);
    logger.flush();
    const auto text = pipe.readAll();

    // The loop may span two of the one-second intervals in which lines are counted.
    CHECK (std::count (text.begin(), text.end(), '\n') <= 2 * Logger::maxLinesPerSecond + 1);
    CHECK (text.find ("\"sampled\"") != std::string::npos);
}

/*  Guards against decisions that lack a name, whose lines would have an empty event. */
TEST_CASE ("each decision has a unique, non-empty event name")
{
    std::set<std::string_view> names;

    for (std::size_t index = 0; index < static_cast<std::size_t> (Decision::decisionCount); ++index)
        names.insert (nameOf (static_cast<Decision> (index)));

    CHECK (names.size() == static_cast<std::size_t> (Decision::decisionCount));
    CHECK (! names.contains (std::string_view()));
}

} // namespace plankledge::test
