#include "plankledge_runtime/ProgramSettings.h"

#include <algorithm>
#include <sys/resource.h>

#include <absl/strings/numbers.h>
#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

namespace plankledge
{

namespace
{

constexpr std::size_t maxNameLength = 64;
constexpr int maxPort = 65535;

bool isNameCharacter (char character) noexcept
{
    const auto byte = static_cast<unsigned char> (character);
    return std::isalnum (byte) != 0 || character == '-' || character == '_' || character == '.';
}

} // namespace

//==============================================================================
std::string_view nameOf (SettingError error) noexcept
{
    constexpr std::array<std::string_view, 6> names { "must be set",
                                                      "is not an IP number",
                                                      "has no port from 1 to 65535",
                                                      "must be 1 to 64 letters, digits, '-', '_' or '.'",
                                                      "is none of the choices",
                                                      "is out of range" };
    return names.at (static_cast<std::size_t> (error));
}

Endpoint SettingsCheck::endpoint (const std::string& setting, const std::string& value)
{
    if (value.empty())
    {
        fault (setting, SettingError::missing);
        return {};
    }

    const auto colon = value.rfind (':');
    int port = 0;

    if (colon == std::string::npos || ! absl::SimpleAtoi (value.substr (colon + 1), &port))
    {
        fault (setting, SettingError::notAPort);
        return {};
    }

    return endpoint (setting, value.substr (0, colon), port);
}

Endpoint SettingsCheck::endpoint (const std::string& setting, const std::string& ip, int port)
{
    boost::system::error_code error;
    boost::asio::ip::make_address (ip, error);

    if (error)
        fault (setting, SettingError::notAnAddress);

    if (port < 1 || port > maxPort)
        fault (setting, SettingError::notAPort);

    return { ip, static_cast<std::uint16_t> (port) };
}

const std::string& SettingsCheck::name (const std::string& setting, const std::string& value)
{
    if (value.empty())
        fault (setting, SettingError::missing);
    else if (value.size() > maxNameLength || ! std::all_of (value.begin(), value.end(), isNameCharacter))
        fault (setting, SettingError::badName);

    return value;
}

void SettingsCheck::oneOf (const std::string& setting, const std::string& value,
                           const std::vector<std::string>& choices)
{
    if (std::find (choices.begin(), choices.end(), value) == choices.end())
        fault (setting, SettingError::notOneOf);
}

void SettingsCheck::inRange (const std::string& setting, std::int64_t value, std::int64_t minimum,
                             std::int64_t maximum)
{
    if (value < minimum || value > maximum)
        fault (setting, SettingError::outOfRange);
}

bool SettingsCheck::reportFaults() const
{
    for (const auto& fault : m_faults)
        fmt::print (stderr, "--{} {}\n", fault.m_setting, nameOf (fault.m_error));

    return ! m_faults.empty();
}

//==============================================================================
ProcessLimits readProcessLimits (SettingsCheck& check, std::int64_t memoryMegabytes, std::int64_t descriptors)
{
    constexpr std::int64_t minMegabytes = 32;
    constexpr std::int64_t maxMegabytes = 1 << 20;
    constexpr std::int64_t minDescriptors = 64;
    constexpr std::int64_t maxDescriptors = 1 << 20;
    check.inRange ("memory_mb", memoryMegabytes, minMegabytes, maxMegabytes);

    if (descriptors != 0)
        check.inRange ("max_descriptors", descriptors, minDescriptors, maxDescriptors);

    ProcessLimits limits;
    limits.m_memoryBytes = static_cast<std::size_t> (std::max (memoryMegabytes, minMegabytes)) << 20U;

    if (descriptors > 0)
        limits.m_descriptors = static_cast<std::size_t> (descriptors);

    rlimit own {};

    if (::getrlimit (RLIMIT_NOFILE, &own) == 0 && own.rlim_cur != RLIM_INFINITY)
        limits.m_descriptors = std::min<std::size_t> (limits.m_descriptors, own.rlim_cur);

    return limits;
}

//==============================================================================
Severity parseSeverity (std::string_view name) noexcept
{
    if (name == "debug")
        return Severity::debug;

    if (name == "warning")
        return Severity::warning;

    return name == "error" ? Severity::error : Severity::info;
}

Incarnation newIncarnation()
{
    return static_cast<Incarnation> (
        std::chrono::duration_cast<Duration> (std::chrono::system_clock::now().time_since_epoch()).count());
}

void readFlagsFromEnvironment (const std::vector<std::string>& names)
{
    gflags::SetCommandLineOption ("tryfromenv", fmt::format ("{}", fmt::join (names, ",")).c_str());
}

} // namespace plankledge
