#pragma once

#include <absl/status/status.h>
#include <cstdint>
#include <string_view>

namespace plankledge
{

/** Errors in frames and datagrams from peers; each has a counter. */
enum class WireError : std::uint8_t
{
    tooLarge,
    truncated,
    wrongVersion,
    malformed,
    trailingBytes,
    wrongReceiver,
    wireErrorCount
};

/** @returns the name used in logs and metrics, e.g. "wrong-version" */
std::string_view nameOf (WireError error) noexcept;

/** @returns an invalid-argument status that carries the error as its payload */
absl::Status toStatus (WireError error);

/** @returns the error of a status created by toStatus; malformed for any other status */
WireError wireErrorOf (const absl::Status& status);

} // namespace plankledge
