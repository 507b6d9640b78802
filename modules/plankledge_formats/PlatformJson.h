#pragma once

#include "plankledge_policy/Events.h"
#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace plankledge
{

/** Errors in the platform's responses. */
enum class PlatformError : std::uint8_t
{
    notJson,
    wrongShape,
    badRecord,
    unavailable,
    platformErrorCount
};

/** @returns the name used in logs and metrics */
std::string_view nameOf (PlatformError error) noexcept;

absl::Status toStatus (PlatformError error);

//==============================================================================
/** A record of a stream in the platform's log. */
struct LogRecord
{
    LogOffset m_offset = -1;
    std::string m_data;

    auto operator<=> (const LogRecord&) const = default;
};

/** The log's response to a read request. */
struct LogPage
{
    LogOffset m_earliest = 0;
    LogOffset m_next = 0;
    std::vector<LogRecord> m_records;

    auto operator<=> (const LogPage&) const = default;
};

/** Streams of this system in the platform's log. */
inline constexpr std::string_view configurationStream = "plankledge-configuration";
inline constexpr std::string_view joinStream = "plankledge-joins";

//==============================================================================
/** Decodes `{"earliest":E,"next":N,"records":[{"offset":O,"data":"…"}]}`. */
absl::StatusOr<LogPage> decodeLogPage (const std::string& text);

/** Decodes `{"instances":[{"instance","service","zone","address","port","state"}]}`.
    The state is "live" or "leaving". */
absl::StatusOr<std::vector<ListedInstance>> decodeList (const std::string& text);

/** @returns the data of a configuration record, as JSON */
std::string encodeConfigurationRecord (const ConfigurationRecord& record);
absl::StatusOr<ConfigurationRecord> decodeConfigurationRecord (const LogRecord& record);

/** @returns the data of a join record, as JSON */
std::string encodeJoinRecord (const Member& member);
absl::StatusOr<JoinRecord> decodeJoinRecord (const LogRecord& record);

} // namespace plankledge
