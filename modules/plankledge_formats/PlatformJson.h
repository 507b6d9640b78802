#pragma once

#include "plankledge_policy/Events.h"
#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace plankledge
{

/** Why a request to the platform failed or a log record is invalid. */
enum class PlatformError : std::uint8_t
{
    notJson,     /**< the response body is not JSON */
    wrongShape,  /**< JSON, but not an object, or a field is missing, of another type or out of range */
    badRecord,   /**< the data of a log record is not a valid configuration or join record */
    unavailable, /**< no response, or an unexpected HTTP status */
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

/** The platform's list of instances. */
struct InstanceList
{
    std::vector<ListedInstance> m_instances;
    std::size_t m_unreadable = 0; /**< entries that are invalid, as another writer may leave them */

    auto operator<=> (const InstanceList&) const = default;
};

/** Streams of this system in the platform's log. */
inline constexpr std::string_view configurationStream = "plankledge-configuration";
inline constexpr std::string_view joinStream = "plankledge-joins";

//==============================================================================
/** Decodes `{"earliest":E,"next":N,"records":[{"offset":O,"data":"…"}]}`.

    @returns the page, or notJson or wrongShape; the data of the records is not checked
*/
absl::StatusOr<LogPage> decodeLogPage (const std::string& text);

/** Decodes `{"instances":[{"instance","service","zone","address","port","state"}]}`.
    The state is "live" or "leaving".

    @returns the valid entries, and the number of others; notJson if the text is no object with a list
*/
absl::StatusOr<InstanceList> decodeList (const std::string& text);

/** @returns the data of a configuration record, as JSON */
std::string encodeConfigurationRecord (const ConfigurationRecord& record);

/** @returns the record, or badRecord */
absl::StatusOr<ConfigurationRecord> decodeConfigurationRecord (const LogRecord& record);

/** @param leavingTarget   see PublishMember

    @returns the data of a join record, as JSON
*/
std::string encodeJoinRecord (const Member& member,
                              const std::optional<TargetIncarnation>& leavingTarget = std::nullopt);

/** @returns the record, or badRecord */
absl::StatusOr<JoinRecord> decodeJoinRecord (const LogRecord& record);

} // namespace plankledge
