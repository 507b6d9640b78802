#pragma once

#include "plankledge_core/Declarations.h"
#include <optional>
#include <string>
#include <vector>

namespace plankledge
{

/** What can be wrong with a set of declarations. */
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

/** @returns the error's text for an operator, e.g. "unknown field" */
std::string_view nameOf (DeclarationError error) noexcept;

//==============================================================================
/** One fault and where it is. */
struct DeclarationFault
{
    std::string m_place; /**< e.g. "services.plans.slots" */
    DeclarationError m_error = DeclarationError::notJson;

    auto operator<=> (const DeclarationFault&) const = default;
};

/** The declarations, or all their faults. */
struct ParsedDeclarations
{
    Declarations m_declarations;
    std::vector<DeclarationFault> m_faults; /**< empty: the declarations are valid */
};

/** No longer text is read. */
inline constexpr std::size_t maximumDeclarationBytes = 1U << 20U;

//==============================================================================
/** Reads declarations and finds all faults at once.

    @see docs/CONFIGURATION.md for the fields, their units and ranges
*/
ParsedDeclarations parseDeclarations (const std::string& text);

/** @returns the declarations if they have no fault */
std::optional<Declarations> parseValidDeclarations (const std::string& text);

} // namespace plankledge
