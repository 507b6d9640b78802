#include "plankledge_runtime/ReadBuffer.h"

#include <algorithm>
#include <cassert>
#include <cstring>

namespace plankledge::detail
{

//==============================================================================
std::span<char> ReadBuffer::prepare()
{
    if (m_buffer.size() - m_length < m_readSize)
        m_buffer.resize (m_length + m_readSize);

    return { m_buffer.data() + m_length, m_readSize };
}

void ReadBuffer::commit (std::size_t size)
{
    assert (size <= m_buffer.size() - m_length && "read exceeds the prepared region");
    m_length += size;

    if (size >= m_readSize)
        m_readSize = std::min (m_readSize * 2, maxReadSize);
}

void ReadBuffer::consume (std::size_t count)
{
    assert (count <= m_length && "cannot consume more than was read");
    m_length -= count;

    if (m_length > 0)
    {
        std::memmove (m_buffer.data(), m_buffer.data() + count, m_length);
        return;
    }

    m_readSize = minReadSize;

    if (m_buffer.size() > minReadSize)
        std::string().swap (m_buffer); // frees the memory; assigning an empty string would keep the capacity
}

} // namespace plankledge::detail
