#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/** Rules of HTTP/1.1 for what is read and written by hand. */
namespace plankledge
{

/** @returns whether a response of this status ends an exchange: 200 to 599 (RFC 9110, section 15) */
bool isFinalStatus (unsigned status) noexcept;

/** @returns whether another response to the same request follows one of this status: 100 to 199, but not 101,
             which is the last one in HTTP */
bool isInterimStatus (unsigned status) noexcept;

/** @returns whether responses of this status have no body: 204 and 304 */
bool isBodilessStatus (unsigned status) noexcept;

/** @returns whether the text is a token (RFC 9110, section 5.6.2) */
bool isFieldName (std::string_view text) noexcept;

/** @returns whether the text has no control characters but tabs (RFC 9110, section 5.5) */
bool isFieldValue (std::string_view text) noexcept;

/** @returns whether a response can be written to a client without breaking the message or the ones after it:
             it has a final status, its fields are lines of their own, and there is a body only where the
             status allows one */
bool isWritableResponse (unsigned status, const std::vector<std::pair<std::string, std::string>>& fields,
                         std::string_view body) noexcept;

} // namespace plankledge
