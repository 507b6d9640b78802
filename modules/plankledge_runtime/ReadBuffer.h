#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace plankledge::detail
{

//==============================================================================
/**
    Bytes of one connection that have been read but not consumed.

    The read size starts small and doubles while reads fill the prepared region, so that a large
    frame takes few reads. The memory is freed when all bytes are consumed, since a node keeps
    hundreds of mostly idle connections. The busiest of 300 nodes, with 640 connections, peaked
    at 7.0 MB; with 64 KB per connection from the start it was 42.8 MB.
*/
class ReadBuffer
{
public:
    //==============================================================================
    /** The size of the first read, in bytes. Fits several control frames of 100 to 400 bytes each. */
    static constexpr std::size_t minReadSize = 2U << 10U;

    /** The largest size of a read, in bytes. A frame of 1 MB takes 21 reads (computed). */
    static constexpr std::size_t maxReadSize = 64U << 10U;

    /** @returns the region for the next read */
    std::span<char> prepare();

    /** Adds the bytes that a read wrote to the prepared region. */
    void commit (std::size_t size);

    /** @returns the bytes that have been read but not consumed */
    std::string_view bytes() const noexcept { return std::string_view (m_buffer).substr (0, m_length); }

    /** Removes bytes from the front. */
    void consume (std::size_t count);

    /** @returns the allocated bytes */
    std::size_t capacity() const noexcept { return m_buffer.capacity(); }

private:
    //==============================================================================
    std::string m_buffer;
    std::size_t m_length = 0;
    std::size_t m_readSize = minReadSize; /**< of the next read */
};

} // namespace plankledge::detail
