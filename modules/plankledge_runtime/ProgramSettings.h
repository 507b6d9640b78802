#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Logger.h"
#include "plankledge_runtime/ProcessResources.h"
#include <optional>
#include <string>
#include <vector>

/** Validates the flags of programs, reporting all faults at once. */
namespace plankledge
{

/** Reasons for which a setting is invalid. */
enum class SettingError : std::uint8_t
{
    missing,
    notAnAddress,
    notAPort,
    badName,
    notOneOf,
    outOfRange
};

/** @returns the message shown to operators, after the setting's name */
std::string_view nameOf (SettingError error) noexcept;

//==============================================================================
/** Validates settings and collects the faults. */
class SettingsCheck
{
public:
    //==============================================================================
    struct Fault
    {
        std::string m_setting;
        SettingError m_error = SettingError::missing;

        auto operator<=> (const Fault&) const = default;
    };

    /** Parses "IP:PORT". */
    Endpoint endpoint (const std::string& setting, const std::string& value);

    /** Validates an IP address and a port. */
    Endpoint endpoint (const std::string& setting, const std::string& ip, int port);

    /** Validates a name: 1 to 64 letters, digits, '-', '_' or '.'. */
    const std::string& name (const std::string& setting, const std::string& value);

    void oneOf (const std::string& setting, const std::string& value,
                const std::vector<std::string>& choices);
    void inRange (const std::string& setting, std::int64_t value, std::int64_t minimum, std::int64_t maximum);

    const std::vector<Fault>& faults() const noexcept { return m_faults; }

    /** Prints one line per fault to standard error.

        @returns whether there were any faults
    */
    bool reportFaults() const;

private:
    //==============================================================================
    void fault (const std::string& setting, SettingError error) { m_faults.push_back ({ setting, error }); }

    std::vector<Fault> m_faults;
};

/** Reads the limits of this process.

    @param memoryMegabytes   --memory_mb, in units of 2^20 bytes
    @param descriptors       --max_descriptors; 0: the process's own limit, which applies in any case
*/
ProcessLimits readProcessLimits (SettingsCheck& check, std::int64_t memoryMegabytes,
                                 std::int64_t descriptors);

/** @returns the severity for a --log_level, or info if the name is unknown */
Severity parseSeverity (std::string_view name) noexcept;

/** @returns the wall clock in microseconds, so that a restarted node has a higher incarnation */
Incarnation newIncarnation();

/** The exit code for invalid settings or declarations. */
inline constexpr int exitBadSettings = 2;

/** Reads flags from FLAGS_… environment variables. The command line takes precedence.

    @param names   the flags to read
*/
void readFlagsFromEnvironment (const std::vector<std::string>& names);

} // namespace plankledge
