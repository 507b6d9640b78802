#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace plankledge
{

//==============================================================================
/**
    Writes lines to a file descriptor without blocking on a slow reader.

    Lines that can't be written yet are buffered up to maxPendingBytes; further lines are
    dropped and counted. Not thread-safe.
*/
class LineSink
{
public:
    //==============================================================================
    /** @param descriptor   not owned */
    explicit LineSink (int descriptor) noexcept
        : m_descriptor (descriptor)
    {
    }

    /** Buffers a line and adds a line feed. Writes the buffer once it is large enough. */
    void append (std::string_view line);

    /** Writes as much of the buffer as possible without blocking. */
    void flush() noexcept;

    /** @returns the number of dropped lines */
    std::uint64_t dropped() const noexcept { return m_dropped; }

    /** @returns the size of the buffered text, in bytes */
    std::size_t pending() const noexcept { return m_pending.size(); }

    /** Maximum size of the buffer, in bytes. */
    static constexpr std::size_t maxPendingBytes = 256U << 10U;

private:
    //==============================================================================
    const int m_descriptor;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
};

} // namespace plankledge
