#pragma once

#include "plankledge_core/RelayMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Moving averages of the time that requests of each route take at the local target.

    Averages are kept per route, since the routes of one service may differ by more than a
    factor of ten and a common average would follow the mix of requests.
*/
class RouteTimes
{
public:
    //==============================================================================
    /** Adds the duration of a request that ended at a time. */
    void addSample (const RouteName& route, Duration duration, Time now);

    /** Removes the routes whose last sample is older than a time, since routes are added and removed while
        the node runs. */
    void removeBefore (Time time);

    /** Removes all samples, as when the target is replaced. */
    void clear() noexcept { m_means.clear(); }

    /** @returns the average of a route; if it has no samples, the mean of the averages of the other routes;
        zero if there are no samples at all
    */
    Duration estimate (const RouteName& route) const noexcept;

    /** @returns the average of a route, or nullopt if it has no samples */
    std::optional<Duration> findAverage (const RouteName& route) const noexcept;

    bool isEmpty() const noexcept { return m_means.empty(); }

    /** @returns the average of each route that has samples, as sent to peers */
    std::vector<RouteTime> all() const;

private:
    //==============================================================================
    struct Mean
    {
        double m_microseconds = 0.0;
        Time m_lastSampleAt;
    };

    std::map<RouteName, Mean> m_means;
};

} // namespace plankledge
