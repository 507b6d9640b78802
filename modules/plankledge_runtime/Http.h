#pragma once

#include "plankledge_core/SharedBytes.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plankledge
{

/** Header names and values, in wire order. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** @returns the value of the first header of that name, ignoring case, or an empty string */
std::string_view findHeader (const HttpHeaders& headers, std::string_view name) noexcept;

/** @returns whether requests of this method only read, so that those of one caller may run in any order */
bool isSafeMethod (std::string_view method) noexcept;

//==============================================================================
/** A complete HTTP/1.1 request. */
struct HttpRequest
{
    std::string m_method = "GET";
    std::string m_target = "/"; /**< path and query */
    HttpHeaders m_headers;
    std::string m_contentType;
    SharedBytes m_body;
};

/** A complete HTTP/1.1 response. */
struct HttpResponse
{
    std::uint16_t m_status = 200;
    HttpHeaders m_headers;
    std::string m_contentType = "application/json";
    std::string m_body;
    bool m_closesConnection = false; /**< whether the connection closes after it */
};

/** The maximum size of a response body, and of a request body unless another limit is configured. */
inline constexpr std::size_t maxBodyBytes = 1U << 20U;

/** The maximum size of a request body that can be configured. */
inline constexpr std::size_t maxConfiguredBodyBytes = 1U << 30U;

/** The maximum size of a header section. */
inline constexpr std::size_t maxHeaderBytes = 16U << 10U;

} // namespace plankledge
