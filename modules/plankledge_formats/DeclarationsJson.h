#pragma once

#include "plankledge_core/Declarations.h"
#include <optional>
#include <string>
#include <vector>

namespace plankledge
{

/** Validation errors of declarations. */
enum class DeclarationError : std::uint8_t
{
    notJson,
    wrongType,
    unknownField,
    missingField,
    outOfRange,
    badName,
    unknownClass,
    empty,
    tooLarge
};

/** @returns the error message, e.g. "unknown field" */
std::string_view nameOf (DeclarationError error) noexcept;

//==============================================================================
/** A validation error and its location. */
struct DeclarationFault
{
    std::string m_location; /**< path of the JSON value, e.g. "services.plans.slots" */
    DeclarationError m_error = DeclarationError::notJson;

    auto operator<=> (const DeclarationFault&) const = default;
};

/** Result of parsing: the declarations, or all validation errors. */
struct ParsedDeclarations
{
    Declarations m_declarations;
    std::vector<DeclarationFault> m_faults; /**< empty: the declarations are valid */
};

/** Maximum size of the JSON text, in bytes; longer texts are rejected. */
inline constexpr std::size_t maxDeclarationBytes = 1U << 20U;

//==============================================================================
/** Parses and validates declarations. All validation errors are collected.

    @see docs/CONFIGURATION.md for the fields, their units and ranges
*/
ParsedDeclarations parseDeclarations (const std::string& text);

/** @returns the declarations, or nullopt if the text is invalid */
std::optional<Declarations> parseValidDeclarations (const std::string& text);

} // namespace plankledge
