#include "plankledge_core/Logger.h"

#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <utility>

namespace plankledge
{

namespace
{

std::string_view nameOf (Severity severity) noexcept
{
    switch (severity)
    {
    case Severity::debug:
        return "debug";
    case Severity::info:
        return "info";
    case Severity::warning:
        return "warning";
    case Severity::error:
        break;
    }

    return "error";
}

} // namespace

//==============================================================================
std::string escapeJson (std::string_view text)
{
    std::string escaped;
    escaped.reserve (text.size());

    for (const char character : text)
    {
        if (character == '"' || character == '\\')
            escaped += '\\';

        if (static_cast<unsigned char> (character) < 0x20)
            escaped += fmt::format ("\\u{:04x}", static_cast<unsigned char> (character));
        else
            escaped += character;
    }

    return escaped;
}

//==============================================================================
Logger::Logger (std::string instance, Severity minSeverity, int descriptor)
    : m_instance (std::move (instance))
    , m_minSeverity (minSeverity)
    , m_sink (descriptor)
{
}

bool Logger::count (RateLimit& rateLimit, long long second, unsigned maxLines) noexcept
{
    if (rateLimit.m_second != second)
        rateLimit = { second, 0, rateLimit.m_omitted };

    if (rateLimit.m_written >= maxLines)
    {
        ++rateLimit.m_omitted;
        return false;
    }

    ++rateLimit.m_written;
    return true;
}

void Logger::write (Severity severity, std::string_view event, const std::vector<LogField>& fields,
                    bool isSampled)
{
    if (severity < m_minSeverity)
        return;

    const auto now = std::chrono::system_clock::now();
    const auto second = std::chrono::duration_cast<std::chrono::seconds> (now.time_since_epoch()).count();
    auto& rateLimit =
        isSampled ? m_sampledRateLimit : m_rateLimits.try_emplace (std::string (event)).first->second;

    if (! count (rateLimit, second, isSampled ? maxSampledLinesPerSecond : maxLinesPerSecond))
        return;

    const auto omitted = std::exchange (rateLimit.m_omitted, 0);
    const auto milliseconds =
        std::chrono::duration_cast<Milliseconds> (now.time_since_epoch()).count() % 1000;

    auto line =
        fmt::format (R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","severity":"{}","event":"{}","instance":"{}")",
                     fmt::gmtime (std::chrono::system_clock::to_time_t (now)), milliseconds,
                     nameOf (severity), escapeJson (event), escapeJson (m_instance));

    for (const auto& field : fields)
        line += fmt::format (R"(,"{}":"{}")", field.m_name, escapeJson (field.m_value));

    if (omitted > 0)
        line += fmt::format (R"(,"omitted":{})", omitted);

    line += '}';
    m_sink.append (line);
}

} // namespace plankledge
