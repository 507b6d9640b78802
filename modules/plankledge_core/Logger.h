#pragma once

#include "plankledge_core/LineSink.h"
#include "plankledge_core/Time.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace plankledge
{

enum class Severity : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

/** One named value of a log line. */
struct LogField
{
    std::string m_name;
    std::string m_value;
};

//==============================================================================
/**
    Writes log events as JSON lines, by default to standard output, without blocking on a slow
    reader.

    Each event is limited to maxLinesPerSecond lines per second; the next line that is written states the
    number of omitted lines. Lines of sampled requests have a separate limit, so that the trace
    of such a request is complete on all nodes. Request bodies, keys and secrets must not be logged.
    Not thread-safe.

    @see LineSink
*/
class Logger
{
public:
    //==============================================================================
    /** @param instance     name of this instance, included in every line
        @param descriptor   where to write; not owned
    */
    explicit Logger (std::string instance, Severity minSeverity = Severity::info, int descriptor = 1);

    ~Logger() { flush(); }

    Logger (const Logger&) = delete;
    Logger& operator= (const Logger&) = delete;

    /** Sets the minimum severity of the lines that are written. */
    void setMinSeverity (Severity minSeverity) noexcept { m_minSeverity = minSeverity; }

    /** Writes one line.

        @param event       the event's name, lower case with dashes
        @param fields      named values in their order
        @param isSampled   whether the line belongs to a sampled request, whose trace must be complete
    */
    void write (Severity severity, std::string_view event, const std::vector<LogField>& fields = {},
                bool isSampled = false);

    /** Writes as much of the buffer as possible without blocking. To be called periodically. */
    void flush() noexcept { m_sink.flush(); }

    /** @returns the number of lines dropped because the buffer was full */
    std::uint64_t dropped() const noexcept { return m_sink.dropped(); }

    /** Maximum number of lines per second and event. */
    static constexpr unsigned maxLinesPerSecond = 50;

    /** Maximum number of lines of sampled requests per second, over all events. */
    static constexpr unsigned maxSampledLinesPerSecond = 500;

private:
    //==============================================================================
    /** Number of lines written in the current second, and of lines omitted since the last written one. */
    struct RateLimit
    {
        long long m_second = 0;
        unsigned m_written = 0;
        unsigned m_omitted = 0;
    };

    /** Counts a line.

        @returns whether it may be written
    */
    static bool count (RateLimit& rateLimit, long long second, unsigned maxLines) noexcept;

    std::string m_instance;
    Severity m_minSeverity;
    LineSink m_sink;
    RateLimit m_sampledRateLimit;
    std::map<std::string, RateLimit, std::less<>> m_rateLimits;
};

/** @returns the text with quotes, backslashes and control characters escaped for JSON */
std::string escapeJson (std::string_view text);

} // namespace plankledge
