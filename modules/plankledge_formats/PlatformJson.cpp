#include "plankledge_formats/PlatformJson.h"

#include "plankledge_formats/JsonElements.h"

#include <array>
#include <boost/json.hpp>
#include <charconv>

namespace plankledge
{

namespace json = boost::json;

namespace
{

constexpr std::size_t maxNameLength = 128;

absl::StatusOr<json::object> parseObject (const std::string& text)
{
    boost::system::error_code error;
    auto value = json::parse (text, error);

    if (error)
        return toStatus (PlatformError::notJson);

    if (! value.is_object())
        return toStatus (PlatformError::wrongShape);

    return std::move (value.as_object());
}

/** Reads fields of an object. A missing field or one of another type makes it invalid. */
class Fields
{
public:
    explicit Fields (const json::object& object)
        : m_object (object)
    {
    }

    std::int64_t integer (std::string_view name)
    {
        const auto* value = find (name);

        if (value == nullptr || ! value->is_int64() || value->as_int64() < -1)
        {
            m_isValid = false;
            return 0;
        }

        return value->as_int64();
    }

    std::string text (std::string_view name, std::size_t maxLength)
    {
        const auto* value = find (name);

        if (value == nullptr || ! value->is_string() || value->as_string().size() > maxLength)
        {
            m_isValid = false;
            return {};
        }

        return std::string (value->as_string());
    }

    std::uint16_t port (std::string_view name)
    {
        const auto number = integer (name);
        m_isValid = m_isValid && number > 0 && number <= 65535;
        return static_cast<std::uint16_t> (number);
    }

    const json::array* array (std::string_view name)
    {
        const auto* value = find (name);
        m_isValid = m_isValid && value != nullptr && value->is_array();
        return m_isValid ? &value->as_array() : nullptr;
    }

    bool isValid() const noexcept { return m_isValid; }

private:
    const json::value* find (std::string_view name) const
    {
        return m_object.if_contains (json::string_view (name.data(), name.size()));
    }

    const json::object& m_object;
    bool m_isValid = true;
};

absl::StatusOr<ListedInstance> decodeListedInstance (const json::value& value)
{
    if (! value.is_object())
        return toStatus (PlatformError::wrongShape);

    Fields fields (value.as_object());
    ListedInstance listed;
    listed.m_instance = fields.text ("instance", maxNameLength);
    listed.m_service = fields.text ("service", maxNameLength);
    listed.m_zone = fields.text ("zone", maxNameLength);
    listed.m_endpoint = { fields.text ("address", maxNameLength), fields.port ("port") };
    listed.m_isLeaving = fields.text ("state", maxNameLength) == "leaving";

    if (! fields.isValid() || listed.m_instance.empty())
        return toStatus (PlatformError::wrongShape);

    return listed;
}

} // namespace

//==============================================================================
std::string_view nameOf (PlatformError error) noexcept
{
    constexpr std::array<std::string_view, 4> names { "not-json", "wrong-shape", "bad-record",
                                                      "unavailable" };
    return names.at (static_cast<std::size_t> (error));
}

absl::Status toStatus (PlatformError error)
{
    const auto code = error == PlatformError::unavailable ? absl::StatusCode::kUnavailable
                                                          : absl::StatusCode::kInvalidArgument;
    auto status = absl::Status (code, std::string (nameOf (error)));
    status.SetPayload ("plankledge/platform-error", absl::Cord (std::string (1, static_cast<char> (error))));
    return status;
}

//==============================================================================
absl::StatusOr<LogPage> decodeLogPage (const std::string& text)
{
    const auto object = parseObject (text);

    if (! object.ok())
        return object.status();

    Fields fields (*object);
    LogPage page;
    page.m_earliest = fields.integer ("earliest");
    page.m_next = fields.integer ("next");
    const auto* records = fields.array ("records");

    if (! fields.isValid() || page.m_next < page.m_earliest)
        return toStatus (PlatformError::wrongShape);

    for (const auto& value : *records)
    {
        if (! value.is_object())
            return toStatus (PlatformError::wrongShape);

        Fields recordFields (value.as_object());
        LogRecord record { recordFields.integer ("offset"), recordFields.text ("data", std::string::npos) };

        if (! recordFields.isValid())
            return toStatus (PlatformError::wrongShape);

        page.m_records.push_back (std::move (record));
    }

    return page;
}

absl::StatusOr<InstanceList> decodeList (const std::string& text)
{
    const auto entries = findJsonElements (text, "instances");

    if (! entries.has_value())
        return toStatus (PlatformError::notJson);

    InstanceList list;
    list.m_instances.reserve (entries->size());

    for (const auto entry : *entries)
    {
        boost::system::error_code error;
        const auto value = json::parse (json::string_view (entry.data(), entry.size()), error);
        auto listed = decodeListedInstance (error ? json::value() : value);

        if (listed.ok())
            list.m_instances.push_back (*std::move (listed));
        else
            ++list.m_unreadable;
    }

    return list;
}

//==============================================================================
std::string encodeConfigurationRecord (const ConfigurationRecord& record)
{
    const bool isProposal = record.m_kind == ConfigurationRecordKind::proposal;
    return json::serialize (json::object { { "kind", isProposal ? "proposal" : "checkpoint" },
                                           { "id", record.m_id },
                                           { "version", record.m_version },
                                           { "as_of", record.m_asOfOffset },
                                           { "text", record.m_text } });
}

absl::StatusOr<ConfigurationRecord> decodeConfigurationRecord (const LogRecord& record)
{
    const auto object = parseObject (record.m_data);

    if (! object.ok())
        return toStatus (PlatformError::badRecord);

    Fields fields (*object);
    const auto kind = fields.text ("kind", maxNameLength);
    ConfigurationRecord decoded;
    decoded.m_offset = record.m_offset;
    decoded.m_kind =
        kind == "proposal" ? ConfigurationRecordKind::proposal : ConfigurationRecordKind::checkpoint;
    decoded.m_id = fields.text ("id", maxNameLength);
    const auto version = fields.integer ("version");
    decoded.m_version = static_cast<ConfigurationVersion> (version);
    decoded.m_asOfOffset = fields.integer ("as_of");
    decoded.m_text = fields.text ("text", std::string::npos);

    if (! fields.isValid() || version < 0 || (kind != "proposal" && kind != "checkpoint"))
        return toStatus (PlatformError::badRecord);

    return decoded;
}

namespace
{

constexpr std::string_view leavingTargetField = "leaving_target";
constexpr std::string_view startTimeField = "started_at_us"; // microseconds since the Unix epoch

json::object encodeIncarnation (const TargetIncarnation& target)
{
    json::object encoded { { "id", target.m_target } };

    if (target.m_startedAt.has_value())
        encoded[startTimeField] = target.m_startedAt->count();

    return encoded;
}

/** @returns nullopt if the value is no incarnation */
std::optional<TargetIncarnation> decodeIncarnation (const json::value& value)
{
    if (! value.is_object())
        return std::nullopt;

    Fields fields (value.as_object());
    TargetIncarnation decoded { fields.text ("id", std::string::npos) };

    if (value.as_object().contains (startTimeField))
        decoded.m_startedAt = Duration (fields.integer (startTimeField));

    return fields.isValid() ? std::optional (decoded) : std::nullopt;
}

} // namespace

std::string encodeJoinRecord (const Member& member, const std::optional<TargetIncarnation>& leavingTarget)
{
    json::object record { { "kind", "join" },
                          { "instance", member.m_id.m_instance },
                          { "incarnation", std::to_string (member.m_id.m_incarnation) },
                          { "service", member.m_service },
                          { "zone", member.m_zone },
                          { "address", member.m_endpoint.m_ip },
                          { "port", member.m_endpoint.m_port } };

    if (leavingTarget.has_value())
        record[leavingTargetField] = encodeIncarnation (*leavingTarget);

    return json::serialize (record);
}

absl::StatusOr<JoinRecord> decodeJoinRecord (const LogRecord& record)
{
    const auto object = parseObject (record.m_data);

    if (! object.ok())
        return toStatus (PlatformError::badRecord);

    Fields fields (*object);
    JoinRecord decoded;
    decoded.m_offset = record.m_offset;
    const auto kind = fields.text ("kind", maxNameLength);
    const auto incarnation = fields.text ("incarnation", maxNameLength);
    const auto* end = incarnation.data() + incarnation.size();
    const auto parsed = std::from_chars (incarnation.data(), end, decoded.m_member.m_id.m_incarnation);
    decoded.m_member.m_id.m_instance = fields.text ("instance", maxNameLength);
    decoded.m_member.m_service = fields.text ("service", maxNameLength);
    decoded.m_member.m_zone = fields.text ("zone", maxNameLength);
    decoded.m_member.m_endpoint = { fields.text ("address", maxNameLength), fields.port ("port") };

    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;

    if (! fields.isValid() || kind != "join" || ! isNumber || decoded.m_member.m_id.m_instance.empty())
        return toStatus (PlatformError::badRecord);

    if (const auto* leaving = object->if_contains (leavingTargetField); leaving != nullptr)
    {
        decoded.m_leavingTarget = decodeIncarnation (*leaving);

        if (! decoded.m_leavingTarget.has_value())
            return toStatus (PlatformError::badRecord);
    }

    return decoded;
}

} // namespace plankledge
