#include "plankledge_runtime/ProcessResources.h"

namespace plankledge
{

namespace
{

/** The share of the memory that messages in transit may take, as a divisor. The rest is for the program and
    its state, read buffers and connections, and for copies that exist while one message is processed. */
constexpr std::size_t memoryDivisor = 2;

/** The share of the descriptors that accepted connections may take, in quarters. The rest is for listening
    sockets and for connections to the target, to other nodes and to the store. */
constexpr std::size_t quarters = 4;
constexpr std::size_t connectionQuarters = 3;

} // namespace

ProcessResources::ProcessResources (const ProcessLimits& limits)
    : m_memory (limits.m_memoryBytes / memoryDivisor)
    , m_connections (limits.m_descriptors / quarters * connectionQuarters)
{
}

} // namespace plankledge
