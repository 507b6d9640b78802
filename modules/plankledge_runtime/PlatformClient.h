#pragma once

#include "plankledge_formats/PlatformJson.h"
#include "plankledge_runtime/HttpClient.h"
#include <functional>
#include <string>

namespace plankledge
{

//==============================================================================
/**
    Client for the platform's list of instances and its append-only log, over HTTP and JSON.
    Each failure is reported as a status with a PlatformError.
*/
class PlatformClient
{
public:
    //==============================================================================
    PlatformClient (boost::asio::io_context& context, const Endpoint& platform);

    /** Fetches the list. Does not call done if the list has not changed since the last call. */
    void fetchList (std::function<void (absl::StatusOr<InstanceList>)> done);

    void readLog (std::string_view stream, LogOffset from,
                  std::function<void (absl::StatusOr<LogPage>)> done);

    /** Appends a record. The record may have been appended even if the status is an error. */
    void append (std::string_view stream, const std::string& data, std::function<void (absl::Status)> done);

    /** @returns approximate bytes of requests and responses since the start; header sizes are estimated */
    std::uint64_t bytes() const noexcept { return m_bytes; }

    static constexpr Duration timeout = std::chrono::seconds (2);

private:
    //==============================================================================
    HttpClient m_client;
    const Endpoint m_platform;
    std::string m_listETag; /**< the ETag of the last list */
    std::uint64_t m_bytes = 0;
};

} // namespace plankledge
