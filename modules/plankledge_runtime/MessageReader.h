#pragma once

#include "plankledge_runtime/Http.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <string_view>

/** Reads HTTP messages with Boost.Beast in bounded memory. Internal to the servers and clients. */
namespace plankledge::detail
{

/** What has been received of a message. */
struct ReadProgress
{
    std::size_t m_held = 0;     /**< bytes of memory that it takes */
    std::size_t m_received = 0; /**< bytes read from the connection since the read was begun */
    bool m_hasBegun = false;    /**< any byte of it has arrived */
    bool m_isHeaderDone = false;

    auto operator<=> (const ReadProgress&) const = default;
};

/** Called before each read from the connection; sets its time limit.

    @returns an error to give the message up
*/
using BeforeRead = std::function<boost::beast::error_code (const ReadProgress&)>;

/** Called with the bytes that a parser has consumed, in their order.

    @returns an error to give the message up
*/
using OnConsumed = std::function<boost::beast::error_code (std::string_view bytes)>;

/** Sizes of single reads, in bytes: an ordinary header section, and a part of a body. */
inline constexpr std::size_t headerReadSize = 2U << 10U;
inline constexpr std::size_t bodyReadSize = 16U << 10U;

/** Reads a message, as http::async_read() does, but bounds what it buffers. A parser waits for the whole of a
    chunk's extensions, or of a trailer section, however long the sender makes them.

    @param maxHeader    bytes of a header section, of a trailer section, or of all chunk extensions together
    @param buffer       bytes that were received but not parsed; may hold the start of the message
    @param beforeRead   may be empty
    @param onConsumed   may be empty

    @returns no error if the message is complete; http::error::header_limit or buffer_overflow if its framing
             is too long
*/
template <bool isRequest, class Body>
boost::asio::awaitable<boost::beast::error_code>
readMessage (boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
             boost::beast::http::parser<isRequest, Body>& parser, std::size_t maxHeader,
             BeforeRead beforeRead, OnConsumed onConsumed = nullptr)
{
    namespace http = boost::beast::http;
    constexpr auto asTuple = boost::asio::as_tuple (boost::asio::use_awaitable);
    std::size_t extensionBytes = 0;
    auto onChunk = [&extensionBytes, maxHeader] (std::uint64_t, boost::beast::string_view extensions,
                                                 boost::beast::error_code& error) {
        extensionBytes += extensions.size();

        if (extensionBytes > maxHeader)
            error = http::error::header_limit;
    };
    const auto maxBuffered = maxHeader + bodyReadSize; // a parser may need a section in one piece
    parser.header_limit (static_cast<std::uint32_t> (maxHeader));
    parser.on_chunk_header (onChunk);
    parser.eager (true);
    ReadProgress progress;

    for (;;)
    {
        if (buffer.size() > 0)
        {
            boost::beast::error_code error;
            const auto used = parser.put (buffer.data(), error);
            const std::string_view consumed (static_cast<const char*> (buffer.data().data()), used);
            const auto rejected = onConsumed ? onConsumed (consumed) : boost::beast::error_code();
            buffer.consume (used);

            if (rejected)
                co_return rejected;

            if (error && error != http::error::need_more)
                co_return error;

            if (parser.is_done())
                co_return boost::beast::error_code();

            if (! error && used > 0)
                continue;
        }

        if (buffer.size() >= maxBuffered)
            co_return http::error::buffer_overflow;

        progress.m_isHeaderDone = parser.is_header_done();
        progress.m_hasBegun = progress.m_isHeaderDone || parser.got_some() || buffer.size() > 0;
        progress.m_held = buffer.capacity() + parser.get().body().capacity();

        if (beforeRead)
            if (const auto error = beforeRead (progress))
                co_return error;

        const auto wanted = progress.m_isHeaderDone ? bodyReadSize : headerReadSize;
        const auto region = buffer.prepare (std::min (wanted, maxBuffered - buffer.size()));
        const auto [error, size] = co_await stream.async_read_some (region, asTuple);
        buffer.commit (size);
        progress.m_received += size;

        if (error == boost::asio::error::eof && parser.got_some())
        {
            boost::beast::error_code endError;
            parser.put_eof (endError);
            co_return endError;
        }

        if (error)
            co_return error == boost::asio::error::eof ? http::error::end_of_stream : error;
    }
}

/** Frees the memory of an empty buffer, unless it is small. */
inline void releaseUnused (boost::beast::flat_buffer& buffer)
{
    if (buffer.size() == 0 && buffer.capacity() > headerReadSize)
        buffer.shrink_to_fit();
}

} // namespace plankledge::detail
