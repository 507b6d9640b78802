#include "plankledge_runtime/ProcessResources.h"

namespace plankledge
{

namespace
{

/** The share of the memory that messages in transit may take, as a divisor. The rest is for the program and
    its state, read buffers and connections, and for copies that exist while one message is processed. */
constexpr std::size_t memoryDivisor = 2;

} // namespace

ProcessResources::ProcessResources (const ProcessLimits& limits)
    : m_memory (limits.m_memoryBytes / memoryDivisor)
{
}

} // namespace plankledge
