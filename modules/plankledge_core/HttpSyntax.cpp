#include "plankledge_core/HttpSyntax.h"

#include <algorithm>

namespace plankledge
{

namespace
{

constexpr unsigned minStatus = 100;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned minFinalStatus = 200;
constexpr unsigned maxStatus = 599;
constexpr unsigned noContent = 204;
constexpr unsigned notModified = 304;
constexpr unsigned char del = 0x7F;

bool isTokenCharacter (char character) noexcept
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || others.find (character) != std::string_view::npos;
}

bool isTextCharacter (char character) noexcept
{
    const auto byte = static_cast<unsigned char> (character);
    return byte == '\t' || (byte >= ' ' && byte != del);
}

} // namespace

//==============================================================================
bool isFinalStatus (unsigned status) noexcept
{
    return status >= minFinalStatus && status <= maxStatus;
}

bool isInterimStatus (unsigned status) noexcept
{
    return status >= minStatus && status < minFinalStatus && status != switchingProtocols;
}

bool isBodilessStatus (unsigned status) noexcept
{
    return status == noContent || status == notModified;
}

bool isFieldName (std::string_view text) noexcept
{
    return ! text.empty() && std::all_of (text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue (std::string_view text) noexcept
{
    return std::all_of (text.begin(), text.end(), isTextCharacter);
}

bool isWritableResponse (unsigned status, const std::vector<std::pair<std::string, std::string>>& fields,
                         std::string_view body) noexcept
{
    return isFinalStatus (status) && (body.empty() || ! isBodilessStatus (status)) &&
           std::all_of (fields.begin(), fields.end(), [] (const auto& field) {
               return isFieldName (field.first) && isFieldValue (field.second);
           });
}

} // namespace plankledge
