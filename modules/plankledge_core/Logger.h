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
    Writes JSON lines to standard output with fmt, and never waits for whoever reads them.

    A flood of the same event is counted: at most floodLimit lines of a name each second,
    then one line with how many were left out. Lines of sampled requests have a bound of
    their own, so that such a request is whole on all nodes. Bodies, keys and secrets never
    belong in a field. Not thread-safe.

    @see LineSink
*/
class Logger
{
public:
    //==============================================================================
    /** @param instance     put into every line
        @param descriptor   where to write; not owned
    */
    explicit Logger (std::string instance, Severity lowest = Severity::info, int descriptor = 1);

    ~Logger() { flush(); }

    Logger (const Logger&) = delete;
    Logger& operator= (const Logger&) = delete;

    /** Changes the lowest severity that is written, while running. */
    void setLowest (Severity lowest) noexcept { m_lowest = lowest; }

    /** Writes one line.

        @param event       the event's name, lower case with dashes
        @param fields      named values in their order
        @param isSampled   about a request whose lines are to be whole
    */
    void write (Severity severity, std::string_view event, const std::vector<LogField>& fields = {},
                bool isSampled = false);

    /** Writes out what is kept, as far as it can be taken now. To be called now and then. */
    void flush() noexcept { m_sink.flush(); }

    /** @returns lines that nobody took in time */
    std::uint64_t dropped() const noexcept { return m_sink.dropped(); }

    /** Lines of one event in a second. */
    static constexpr unsigned floodLimit = 50;

    /** Lines of sampled requests in a second, of all events together. */
    static constexpr unsigned sampledLimit = 500;

private:
    //==============================================================================
    struct Flood
    {
        long long m_second = 0;
        unsigned m_written = 0;
        unsigned m_omitted = 0;
    };

    /** Counts a line.

        @returns whether it may be written
    */
    static bool count (Flood& flood, long long second, unsigned limit) noexcept;

    std::string m_instance;
    Severity m_lowest;
    LineSink m_sink;
    Flood m_sampled;
    std::map<std::string, Flood, std::less<>> m_floods;
};

/** @returns the text with quotes, backslashes and control characters escaped for JSON */
std::string escapeJson (std::string_view text);

} // namespace plankledge
