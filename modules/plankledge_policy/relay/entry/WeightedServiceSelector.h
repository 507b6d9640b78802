#pragma once

#include "plankledge_policy/relay/routes/RouteTable.h"

#include <map>
#include <vector>

namespace plankledge
{

//==============================================================================
/** Distributes the requests of a route among its services by weight, using smooth weighted round-robin, so
    that the proportions are also exact over short sequences of requests. */
class WeightedServiceSelector
{
public:
    //==============================================================================
    /** @returns the service for the next request of the route */
    const ServiceName& next (const Route& route);

private:
    //==============================================================================
    std::map<RouteName, std::vector<double>> m_credits; /**< of each service of a route, in units of weight */
};

} // namespace plankledge
