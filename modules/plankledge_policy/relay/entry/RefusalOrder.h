#pragma once

#include "plankledge_policy/relay/routes/RouteTable.h"

#include <cstdint>
#include <map>

namespace plankledge
{

//==============================================================================
/**
    The part of the order of refusal that each priority has at this entry.

    The order runs from 0 (refused last) to 1, and a gate's level moves along it until what
    is below it fits. Priorities that are in use have equal parts; one that hardly any
    request here has gets a small one, since a level that crosses its part changes nothing
    that comes. A configuration names such priorities easily: with organisations, those of routes that only targets call.

    Load that it answers: a surge of requests whose priorities are some of those named.
*/
class RefusalOrder
{
public:
    //==============================================================================
    /** A part of [0, 1). */
    struct Part
    {
        double m_place = 0.0;
        double m_width = 1.0;
    };

    /** A new request was ranked by that priority. */
    void onRequest (std::uint32_t priority);

    /** @returns the part of a priority that the routes know */
    Part partOf (std::uint32_t priority, const RouteTable& routes) const;

private:
    //==============================================================================
    double weightOf (std::uint32_t priority) const;

    std::map<std::uint32_t, double> m_seen; /**< requests of a priority, older ones fading */
    double m_all = 0.0;
};

} // namespace plankledge
