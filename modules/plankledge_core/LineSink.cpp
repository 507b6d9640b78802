#include "plankledge_core/LineSink.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace plankledge
{

namespace
{

/** Lines are buffered up to this size, to save system calls. */
constexpr std::size_t bytesPerWrite = 4096;

/** A writable pipe accepts this many bytes without blocking. */
constexpr std::size_t safeWriteBytes = PIPE_BUF;

bool isWritable (int descriptor) noexcept
{
    pollfd state { descriptor, POLLOUT, 0 };
    return ::poll (&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

} // namespace

//==============================================================================
void LineSink::append (std::string_view line)
{
    if (m_pending.size() + line.size() + 1 > maxPendingBytes)
    {
        ++m_dropped;
        return flush();
    }

    m_pending += line;
    m_pending += '\n';

    if (m_pending.size() >= bytesPerWrite)
        flush();
}

void LineSink::flush() noexcept
{
    std::size_t done = 0;

    while (done < m_pending.size() && isWritable (m_descriptor))
    {
        const auto size = std::min (safeWriteBytes, m_pending.size() - done);
        const auto written = ::write (m_descriptor, m_pending.data() + done, size);

        if (written <= 0)
            break;

        done += static_cast<std::size_t> (written);
    }

    m_pending.erase (0, done);
}

} // namespace plankledge
