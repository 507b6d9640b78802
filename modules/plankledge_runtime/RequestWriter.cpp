#include "plankledge_runtime/RequestWriter.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plankledge::detail
{

namespace asio = boost::asio;

RequestWriter::RequestWriter (std::shared_ptr<TargetConnection> connection, Message message)
    : m_connection (std::move (connection))
    , m_message (std::move (message))
    , m_ended (m_connection->stream().get_executor(), asio::steady_timer::time_point::max())
{
}

void RequestWriter::start()
{
    boost::beast::http::async_write (
        m_connection->stream(), m_message,
        [self = shared_from_this()] (const boost::system::error_code& error, std::size_t) {
            self->m_result = error;
            self->m_ended.cancel();
        });
}

asio::awaitable<bool> RequestWriter::stop()
{
    const auto self = shared_from_this();

    if (! m_result.has_value())
    {
        m_connection->stream().cancel();
        co_await m_ended.async_wait (asio::as_tuple (asio::use_awaitable));
    }

    co_return m_result.has_value() && (! *m_result || *m_result == asio::error::operation_aborted);
}

} // namespace plankledge::detail
