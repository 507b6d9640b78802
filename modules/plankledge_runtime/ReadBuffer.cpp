#include "plankledge_runtime/ReadBuffer.h"

#include <algorithm>
#include <cassert>
#include <cstring>

namespace plankledge::detail
{

//==============================================================================
std::span<char> ReadBuffer::room()
{
    if (m_buffer.size() - m_filled < m_wanted)
        m_buffer.resize (m_filled + m_wanted);

    return { m_buffer.data() + m_filled, m_wanted };
}

void ReadBuffer::onRead (std::size_t size)
{
    assert (size <= m_buffer.size() - m_filled && "a read stays within its room");
    m_filled += size;

    if (size >= m_wanted)
        m_wanted = std::min (m_wanted * 2, largestRoom);
}

void ReadBuffer::drop (std::size_t used)
{
    assert (used <= m_filled && "only what was read can be used");
    m_filled -= used;

    if (m_filled > 0)
    {
        std::memmove (m_buffer.data(), m_buffer.data() + used, m_filled);
        return;
    }

    m_wanted = smallestRoom;

    if (m_buffer.size() > smallestRoom)
        std::string().swap (m_buffer); // assigning an empty string would keep the capacity
}

} // namespace plankledge::detail
