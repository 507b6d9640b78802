#pragma once

#include "plankledge_formats/PlatformJson.h"
#include "plankledge_runtime/HttpClient.h"
#include <functional>
#include <string>

namespace plankledge
{

//==============================================================================
/**
    Talks to the platform: its list of instances and its append-only log, over HTTP
    and JSON. Every failure is a status that carries a PlatformError.
*/
class PlatformClient
{
public:
    //==============================================================================
    PlatformClient (boost::asio::io_context& context, const Endpoint& platform);

    /** Reads the list; done is not called where it has not changed since the last read. */
    void fetchList (std::function<void (absl::StatusOr<std::vector<ListedInstance>>)> done);

    void readLog (std::string_view stream, LogOffset from,
                  std::function<void (absl::StatusOr<LogPage>)> done);

    /** Appends a record. The append may have taken effect even where the answer is an error. */
    void append (std::string_view stream, const std::string& data, std::function<void (absl::Status)> done);

    /** @returns bytes of requests and answers since the start, without headers */
    std::uint64_t bytes() const noexcept { return m_bytes; }

    static constexpr Duration timeout = std::chrono::seconds (2);

private:
    //==============================================================================
    HttpClient m_client;
    const Endpoint m_platform;
    std::string m_listTag; /**< the ETag of the last list */
    std::uint64_t m_bytes = 0;
};

} // namespace plankledge
