#include "plankledge_runtime/HttpMessages.h"

#include <fmt/format.h>

namespace plankledge
{

namespace http = boost::beast::http;

http::request<detail::SharedBody> toMessage (HttpRequest request, const Endpoint& endpoint)
{
    http::request<detail::SharedBody> message;
    message.version (11);
    message.method_string (request.m_method);
    message.target (request.m_target);

    if (findHeader (request.m_headers, "Host").empty())
        message.set (http::field::host, fmt::format ("{}:{}", endpoint.m_ip, endpoint.m_port));

    if (! request.m_contentType.empty())
        message.set (http::field::content_type, request.m_contentType);

    for (const auto& [name, value] : request.m_headers)
        message.insert (name, value);

    message.body() = std::move (request.m_body);
    message.prepare_payload();
    return message;
}

HttpResponse toResponse (http::response<http::string_body> message)
{
    HttpResponse response;
    response.m_status = static_cast<std::uint16_t> (message.result_int());
    response.m_contentType = std::string (message[http::field::content_type]);
    response.m_closesConnection = ! message.keep_alive();

    for (const auto& field : message)
        response.m_headers.emplace_back (std::string (field.name_string()), std::string (field.value()));

    response.m_body = std::move (message.body());
    return response;
}

} // namespace plankledge
