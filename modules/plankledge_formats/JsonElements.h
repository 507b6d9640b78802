#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace plankledge
{

/** Finds the elements of an array that is a field of a JSON object, without interpreting them: an element
   that can't be parsed, such as one that is nested too deeply, does not affect the others.

    @param text   a JSON object

    @returns the text of each element; nullopt if the text is no object with such an array
*/
std::optional<std::vector<std::string_view>> findJsonElements (std::string_view text, std::string_view field);

} // namespace plankledge
