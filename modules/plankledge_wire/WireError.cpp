#include "plankledge_wire/WireError.h"

#include <array>
#include <string>

namespace plankledge
{

namespace
{

constexpr absl::string_view payloadUrl = "plankledge/wire-error";

constexpr std::array<std::string_view, static_cast<std::size_t> (WireError::wireErrorCount)> names {
    "too-large", "truncated", "wrong-version", "malformed", "trailing-bytes", "wrong-receiver"
};

} // namespace

std::string_view nameOf (WireError error) noexcept
{
    return names.at (static_cast<std::size_t> (error));
}

absl::Status toStatus (WireError error)
{
    auto status = absl::InvalidArgumentError (std::string (nameOf (error)));
    status.SetPayload (payloadUrl, absl::Cord (std::string (1, static_cast<char> (error))));
    return status;
}

WireError wireErrorOf (const absl::Status& status)
{
    const auto payload = status.GetPayload (payloadUrl);

    if (! payload.has_value() || payload->size() != 1)
        return WireError::malformed;

    const auto value = static_cast<std::uint8_t> (std::string (*payload)[0]);
    return value < static_cast<std::uint8_t> (WireError::wireErrorCount) ? static_cast<WireError> (value)
                                                                         : WireError::malformed;
}

} // namespace plankledge
