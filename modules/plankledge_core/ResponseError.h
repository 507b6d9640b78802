#pragma once

#include <cstdint>
#include <string_view>

namespace plankledge
{

//==============================================================================
/** Why what was received from an HTTP server is not passed on as its response; each value has a counter. */
enum class ResponseError : std::uint8_t
{
    none,
    incomplete,        /**< the connection ended before the response did, or nothing was received */
    syntax,            /**< not HTTP/1.1 (RFC 9112) */
    status,            /**< outside 100 to 599, or 101 although no other protocol was asked for */
    lineFolding,       /**< a line of the header section continues the one before (RFC 9112, section 5.2) */
    transferCoding,    /**< another one than chunked, which nobody asked for (RFC 9112, section 7.4) */
    conflictingFields, /**< fields that identify it are repeated with different values */
    missingField,      /**< a field that identifies it is missing */
    tooLarge,          /**< a section, the body or what frames it */
    noMemory,          /**< there is no room for it beside the requests in progress */
    responseErrorCount
};

/** @returns the name used in logs and metrics, e.g. "incomplete" */
std::string_view nameOf (ResponseError error) noexcept;

} // namespace plankledge
