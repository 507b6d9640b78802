#pragma once

#include "plankledge_runtime/SharedBody.h"
#include "plankledge_runtime/TargetConnection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>

namespace plankledge::detail
{

//==============================================================================
/**
    Writes a request to the target while the response to it is read, since a target may respond
    before it has read a long body.

    The system reports the reset of a connection once: either to the reader or to the writer, in
    which case the reader sees an ordinary end of the stream.
*/
class RequestWriter : public std::enable_shared_from_this<RequestWriter>
{
public:
    //==============================================================================
    using Message = boost::beast::http::request<SharedBody>;

    RequestWriter (std::shared_ptr<TargetConnection> connection, Message message);

    /** Starts writing and returns. The writer and the connection exist until writing has ended. */
    void start();

    /** @returns whether the whole request has been written */
    bool isComplete() const noexcept { return m_result.has_value() && ! *m_result; }

    /** Ends the writing. To be called when the reader has reached the end of the stream.

        @returns whether the connection had no error until then, so that the stream was not cut off by a reset
    */
    boost::asio::awaitable<bool> stop();

private:
    //==============================================================================
    std::shared_ptr<TargetConnection> m_connection;
    Message m_message;
    std::optional<boost::system::error_code> m_result; /**< of the writing; nullopt while it is in progress */
    boost::asio::steady_timer m_ended;                 /**< cancelled when the writing has ended */
};

} // namespace plankledge::detail
