#include "plankledge_runtime/PlatformClient.h"

#include <fmt/format.h>

namespace plankledge
{

namespace
{

constexpr std::uint16_t okStatus = 200;
constexpr std::uint16_t notModified = 304;
constexpr std::uint64_t typicalHeaderBytes = 250; // of a request and its response together

} // namespace

//==============================================================================
PlatformClient::PlatformClient (boost::asio::io_context& context, const Endpoint& platform)
    : m_client (context)
    , m_platform (platform)
{
}

void PlatformClient::fetchList (std::function<void (absl::StatusOr<InstanceList>)> done)
{
    HttpRequest request;
    request.m_target = "/instances";

    if (! m_listETag.empty())
        request.m_headers.emplace_back ("If-None-Match", m_listETag);

    m_client.send (m_platform, std::move (request), timeout,
                   [this, done = std::move (done)] (const auto& response) {
                       if (! response.ok())
                           return done (toStatus (PlatformError::unavailable));

                       m_bytes += typicalHeaderBytes + response->m_body.size();

                       if (response->m_status == notModified)
                           return;

                       if (response->m_status != okStatus)
                           return done (toStatus (PlatformError::unavailable));

                       m_listETag = std::string (findHeader (response->m_headers, "ETag"));
                       done (decodeList (response->m_body));
                   });
}

void PlatformClient::readLog (std::string_view stream, LogOffset from,
                              std::function<void (absl::StatusOr<LogPage>)> done)
{
    HttpRequest request;
    request.m_target = fmt::format ("/streams/{}?from={}&limit=500", stream, from);
    m_client.send (m_platform, std::move (request), timeout,
                   [this, done = std::move (done)] (const auto& response) {
                       if (! response.ok() || response->m_status != okStatus)
                           return done (toStatus (PlatformError::unavailable));

                       m_bytes += typicalHeaderBytes + response->m_body.size();
                       done (decodeLogPage (response->m_body));
                   });
}

void PlatformClient::append (std::string_view stream, const std::string& data,
                             std::function<void (absl::Status)> done)
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = fmt::format ("/streams/{}", stream);
    request.m_contentType = "application/octet-stream";
    request.m_body = data;
    m_bytes += typicalHeaderBytes + data.size();
    m_client.send (m_platform, std::move (request), timeout,
                   [done = std::move (done)] (const auto& response) {
                       const bool isAppended = response.ok() && response->m_status == okStatus;
                       done (isAppended ? absl::OkStatus() : toStatus (PlatformError::unavailable));
                   });
}

} // namespace plankledge
