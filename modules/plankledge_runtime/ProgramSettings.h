#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Logger.h"
#include <optional>
#include <string>
#include <vector>

/** Helps programs to check their flags: all faults at once. */
namespace plankledge
{

/** What is wrong with a setting. */
enum class SettingError : std::uint8_t
{
    missing,
    notAnAddress,
    notAPort,
    badName,
    notOneOf,
    outOfRange
};

/** @returns the error's text for an operator */
std::string_view nameOf (SettingError error) noexcept;

//==============================================================================
/** Checks settings one by one and collects what is wrong with them. */
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

    /** @returns the endpoint that "IP:PORT" names */
    Endpoint endpoint (const std::string& setting, const std::string& value);

    /** @returns the endpoint of an IP number and a port */
    Endpoint endpoint (const std::string& setting, const std::string& ip, int port);

    /** A name is letters, digits, '-', '_' and '.', at most 64 of them. */
    const std::string& name (const std::string& setting, const std::string& value);

    void oneOf (const std::string& setting, const std::string& value,
                const std::vector<std::string>& choices);
    void inRange (const std::string& setting, std::int64_t value, std::int64_t lowest, std::int64_t highest);

    const std::vector<Fault>& faults() const noexcept { return m_faults; }

    /** Prints one line for each fault to standard error.

        @returns whether there was any
    */
    bool reportFaults() const;

private:
    //==============================================================================
    void fault (const std::string& setting, SettingError error) { m_faults.push_back ({ setting, error }); }

    std::vector<Fault> m_faults;
};

/** @returns the severity that a --log_level names; info where it names none */
Severity parseSeverity (std::string_view name) noexcept;

/** @returns the wall clock in microseconds, which a restarted node has higher */
Incarnation newIncarnation();

/** The exit code for settings or declarations that are not valid. */
inline constexpr int exitBadSettings = 2;

/** Lets flags take their values from FLAGS_… environment variables; the command line goes before them.

    @param names   of the flags
*/
void readFlagsFromEnvironment (const std::vector<std::string>& names);

} // namespace plankledge
