#include "plankledge_core/ResponseError.h"

#include <array>

namespace plankledge
{

std::string_view nameOf (ResponseError error) noexcept
{
    constexpr std::array<std::string_view, static_cast<std::size_t> (ResponseError::responseErrorCount)>
        names { "none",
                "incomplete",
                "syntax",
                "status",
                "line-folding",
                "transfer-coding",
                "conflicting-fields",
                "missing-field",
                "too-large",
                "no-memory" };
    static_assert (! names.back().empty(), "every error has a name");
    const auto index = static_cast<std::size_t> (error);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace plankledge
