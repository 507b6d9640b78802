#include "plankledge_runtime/Http.h"

#include <absl/strings/match.h>

namespace plankledge
{

std::string_view findHeader (const HttpHeaders& headers, std::string_view name) noexcept
{
    for (const auto& [key, value] : headers)
        if (absl::EqualsIgnoreCase (key, absl::string_view (name.data(), name.size())))
            return value;

    return {};
}

bool isSafeMethod (std::string_view method) noexcept
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace plankledge
