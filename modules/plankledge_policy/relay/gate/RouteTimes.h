#pragma once

#include "plankledge_core/RelayMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace plankledge
{

//==============================================================================
/**
    How long requests of each route take at the own target: moving averages.

    Routes of one service may differ by a factor of ten and more, so a mean over whatever
    came lately would say more about the mix than about the target.
*/
class RouteTimes
{
public:
    //==============================================================================
    void learn (const RouteName& route, Duration took, Time now);

    /** Forgets routes of which nothing was seen since a time: operators add and drop routes all day. */
    void forgetBefore (Time time);

    /** Forgets all: the target is another one. */
    void clear() noexcept { m_means.clear(); }

    /** @returns the time of a route; where none of it was seen, the mean over the other routes, each counted
        once; 0 where nothing was seen
    */
    Duration of (const RouteName& route) const noexcept;

    /** @returns the time of a route, or nullopt where none of it was seen */
    std::optional<Duration> seen (const RouteName& route) const noexcept;

    bool isEmpty() const noexcept { return m_means.empty(); }

    /** @returns the time of each route that was seen, for peers */
    std::vector<RouteTime> all() const;

private:
    //==============================================================================
    struct Mean
    {
        double m_microseconds = 0.0;
        Time m_seenAt; /**< the newest request */
    };

    std::map<RouteName, Mean> m_means;
};

} // namespace plankledge
