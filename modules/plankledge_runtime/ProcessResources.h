#pragma once

#include "plankledge_runtime/ConnectionBudget.h"
#include "plankledge_runtime/MemoryBudget.h"

#include <memory>

namespace plankledge
{

//==============================================================================
/** The limits of a process on its machine; by default there are none. */
struct ProcessLimits
{
    std::size_t m_memoryBytes = std::numeric_limits<std::size_t>::max();
    std::size_t m_descriptors = std::numeric_limits<std::size_t>::max();

    auto operator<=> (const ProcessLimits&) const = default;
};

/** What the servers, links and calls of a process share. */
struct ProcessResources
{
    /** Leaves room, within the limits, for what is not counted. */
    explicit ProcessResources (const ProcessLimits& limits = {});

    MemoryBudget m_memory;
    ConnectionBudget m_connections;
};

using ProcessResourcesPointer = std::shared_ptr<ProcessResources>;

} // namespace plankledge
