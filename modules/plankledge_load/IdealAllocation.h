#pragma once

#include "plankledge_load/Scenario.h"

namespace plankledge
{

/** Upper bound of the requests of each group that the slots can complete. */
struct IdealAllocation
{
    std::vector<double> m_completed; /**< requests, by group */
};

/** Computes the result of an ideal allocator.

    In steps of one second, important groups first, each request takes the slot time that it needs from every
    service that it visits. A request that finds no capacity is retried until its caller gives up. Since each
    attempt is assumed to be answered immediately, queueing does not extend this time.
*/
IdealAllocation allocateIdeally (const Scenario& scenario, const std::vector<Arrival>& arrivals);

/** @returns the time for which a caller of the group retries if every attempt is rejected immediately */
Milliseconds retryDurationOf (const CallerGroup& group);

} // namespace plankledge
