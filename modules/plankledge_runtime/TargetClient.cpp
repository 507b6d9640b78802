#include "plankledge_runtime/TargetClient.h"

#include "plankledge_runtime/HttpMessages.h"
#include "plankledge_runtime/RequestWriter.h"
#include "plankledge_runtime/ResponseReader.h"
#include <absl/strings/numbers.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <list>
#include <map>
#include <optional>

namespace plankledge
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto asTuple = asio::as_tuple (asio::use_awaitable);
constexpr std::chrono::milliseconds connectTimeout { 500 };

/** Idle connections expire this long before the target's idle timeout. */
constexpr std::chrono::milliseconds idleMargin { 500 };

/** For targets that send no idle timeout. */
constexpr std::chrono::seconds defaultIdleTimeout { 5 };

/** The number of responses to other requests that are skipped before the connection is closed. */
constexpr unsigned maxStrayResponses = 3;

using Connection = std::shared_ptr<detail::TargetConnection>;

/** A connection with no call in progress. */
struct IdleConnection
{
    Connection m_connection;
    Time m_expiresAt; /**< by the injected clock, which includes time in suspension, as the target's does */
};

/** @returns how long a connection may be idle, by the target's Keep-Alive header */
std::chrono::milliseconds idleTimeoutOf (const HttpHeaders& headers)
{
    constexpr std::string_view parameter = "timeout=";
    const auto text = findHeader (headers, "Keep-Alive");
    const auto start = text.find (parameter);
    unsigned seconds = 0;

    if (start == std::string_view::npos)
        return defaultIdleTimeout;

    const auto digits = text.substr (start + parameter.size());
    const auto number = digits.substr (0, digits.find_first_not_of ("0123456789"));

    if (! absl::SimpleAtoi (absl::string_view (number.data(), number.size()), &seconds))
        return defaultIdleTimeout;

    return std::max<std::chrono::milliseconds> (std::chrono::seconds (seconds) - idleMargin,
                                                std::chrono::milliseconds::zero());
}

} // namespace

//==============================================================================
struct TargetClient::Implementation : std::enable_shared_from_this<TargetClient::Implementation>
{
    Implementation (asio::io_context& context, Done done, IdOf idOf, TimeSource time,
                    ProcessResourcesPointer resources)
        : m_context (context)
        , m_done (std::move (done))
        , m_idOf (std::move (idOf))
        , m_time (std::move (time))
        , m_resources (std::move (resources))
    {
    }

    asio::awaitable<void> run (CallId call, HttpRequest request)
    {
        const auto self = shared_from_this();

        if (! m_active.contains (call))
            co_return; // cancelled before it started

        const auto id = m_idOf ? std::optional<std::string> (m_idOf (request.m_headers)) : std::nullopt;
        MemoryCharge charge (m_resources->m_memory, MemoryUse::targetCalls);
        auto connection = takeIdle (id);
        m_active[call] = connection;

        if (connection == nullptr)
        {
            connection = co_await connect (call);

            if (connection == nullptr)
                co_return;
        }

        if (id.has_value())
            connection->addRequest (*id);

        auto message = toMessage (std::move (request), m_target);
        const bool isHead = message.method() == http::verb::head;
        const auto writer = std::make_shared<detail::RequestWriter> (connection, std::move (message));
        writer->start();
        auto result = co_await readResponse (connection->stream(), *writer, id, isHead, charge);

        if (m_active.erase (call) == 0)
            co_return; // cancelled in the meantime

        const auto* response = std::get_if<HttpResponse> (&result);
        const bool isReusable = response != nullptr && ! response->m_closesConnection &&
                                writer->isComplete() && ! connection->hasReachedLimit();

        if (isReusable)
            keepIdle (connection, idleTimeoutOf (response->m_headers));
        else
            connection->stream().close(); // ends the writing too

        m_done (call, std::move (result));
    }

    /** @param id       of the request; nullopt: requests have none
        @param charge   grows with the response; whoever passed the request on charges for its body

        @returns the complete response to the request, or why there is none
    */
    asio::awaitable<Result> readResponse (beast::tcp_stream& stream, detail::RequestWriter& writer,
                                          std::optional<std::string> id, bool isHead, MemoryCharge& charge)
    {
        beast::flat_buffer buffer;
        const detail::BeforeRead beforeRead = [this, &charge] (const detail::ReadProgress& progress) {
            return resizeCharge (charge, progress.m_held);
        };

        for (unsigned strayResponses = 0; strayResponses <= maxStrayResponses; ++strayResponses)
        {
            auto result =
                co_await detail::readResponse (stream, buffer, { isHead, maxBodyBytes, beforeRead });

            if (const auto* failure = std::get_if<detail::ResponseFailure> (&result))
                co_return brokenCall (failure->m_error);

            auto& received = std::get<detail::ReceivedResponse> (result);
            auto& response = received.m_response;

            // A response that ends with the stream is incomplete if the connection was reset.
            if (received.m_endsWithConnection && ! co_await writer.stop())
                co_return brokenCall (ResponseError::incomplete);

            if (id.has_value() && m_idOf (response.m_headers) != *id)
            {
                ++m_strayResponses;
                continue;
            }

            // Bytes after the response: its length is wrong, or it was sent twice.
            if (buffer.size() > 0 && ! id.has_value())
                co_return brokenCall (ResponseError::syntax);

            response.m_closesConnection = response.m_closesConnection || buffer.size() > 0;
            co_return std::move (response);
        }

        co_return brokenCall (ResponseError::syntax);
    }

    static CallFailure brokenCall (ResponseError error) noexcept { return { TargetFailure::broken, error }; }

    /** @returns an error if there is no room */
    beast::error_code resizeCharge (MemoryCharge& charge, std::size_t bytes) const
    {
        auto& memory = m_resources->m_memory;

        if (bytes > charge.bytes() && ! memory.makeRoom (bytes - charge.bytes(), MemoryPriority::begunWork))
            return asio::error::no_buffer_space;

        charge.resize (bytes);
        return {};
    }

    asio::awaitable<Connection> connect (CallId call)
    {
        auto connection = std::make_shared<detail::TargetConnection> (m_context);
        auto& stream = connection->stream();
        m_active[call] = connection;
        stream.expires_after (connectTimeout);
        boost::system::error_code addressError;
        const auto address = asio::ip::make_address (m_target.m_ip, addressError);
        const auto [error] =
            co_await stream.async_connect (tcp::endpoint (address, m_target.m_port), asTuple);

        if (error)
        {
            if (m_active.erase (call) > 0)
                m_done (call, CallFailure { TargetFailure::connectionRefused });

            co_return nullptr;
        }

        // Cancelled while connecting: nothing was sent.
        if (! m_active.contains (call))
            co_return nullptr;

        ++m_connectionsOpened;
        stream.expires_never();
        stream.socket().set_option (tcp::no_delay (true));
        co_return connection;
    }

    /** Returns a connection to the pool. It is dropped as soon as the target closes it or sends anything. */
    void keepIdle (const Connection& connection, std::chrono::milliseconds time)
    {
        m_idle.push_back ({ connection, m_time() + time });
        connection->stream().socket().async_wait (
            tcp::socket::wait_read,
            [weak = weak_from_this(), connection] (const boost::system::error_code& error) {
                const auto self = weak.lock();

                if (self != nullptr && error != asio::error::operation_aborted)
                    self->m_idle.remove_if ([&connection] (const IdleConnection& idle) {
                        return idle.m_connection == connection;
                    });
            });
    }

    /** Takes the most recently used connection that has not carried the id, so that surplus ones expire.

        @param id   of the request to be sent; nullopt: requests have none
    */
    Connection takeIdle (const std::optional<std::string>& id)
    {
        for (auto next = m_idle.end(); next != m_idle.begin();)
        {
            const auto idle = std::prev (next);

            if (id.has_value() && idle->m_connection->hasCarried (*id))
            {
                next = idle;
                continue;
            }

            const auto [connection, expiresAt] = *idle;
            next = m_idle.erase (idle);

            if (isUsable (connection->stream().socket(), expiresAt))
                return connection;
        }

        return nullptr;
    }

    /** Ends the wait for unsolicited bytes.

        @returns whether a connection from the pool may carry a request
    */
    bool isUsable (tcp::socket& socket, Time expiresAt) const
    {
        boost::system::error_code error;
        socket.cancel (error);

        if (expiresAt <= m_time())
            return false;

        // An idle connection that is readable was closed by the target, or holds an unsolicited response.
        socket.non_blocking (true, error);
        char byte = 0;
        socket.receive (asio::buffer (&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    void setTarget (const Endpoint& target)
    {
        if (target == m_target)
            return;

        m_target = target;
        m_idle.clear();
    }

    void cancelRequest (CallId call)
    {
        const auto found = m_active.find (call);

        if (found == m_active.end())
            return;

        const auto connection = found->second;
        m_active.erase (found);

        if (connection != nullptr)
            connection->stream().close();
    }

    asio::io_context& m_context;
    Endpoint m_target;
    Done m_done;
    IdOf m_idOf;
    TimeSource m_time;
    const ProcessResourcesPointer m_resources;
    std::map<CallId, Connection> m_active;
    std::list<IdleConnection> m_idle;
    std::uint64_t m_connectionsOpened = 0;
    std::uint64_t m_strayResponses = 0;
};

//==============================================================================
TargetClient::TargetClient (asio::io_context& context, Done done, IdOf idOf, TimeSource time,
                            ProcessResourcesPointer resources)
    : m_implementation (std::make_shared<Implementation> (context, std::move (done), std::move (idOf),
                                                          std::move (time), std::move (resources)))
{
}

TargetClient::~TargetClient() = default;

void TargetClient::send (CallId call, const Endpoint& target, HttpRequest request)
{
    m_implementation->setTarget (target);
    m_implementation->m_active[call] = nullptr;
    asio::co_spawn (m_implementation->m_context, m_implementation->run (call, std::move (request)),
                    asio::detached);
}

void TargetClient::cancelRequest (CallId call)
{
    m_implementation->cancelRequest (call);
}

void TargetClient::closeIdle()
{
    m_implementation->m_idle.clear();
}

std::uint64_t TargetClient::connectionsOpened() const noexcept
{
    return m_implementation->m_connectionsOpened;
}

std::uint64_t TargetClient::strayResponses() const noexcept
{
    return m_implementation->m_strayResponses;
}

} // namespace plankledge
