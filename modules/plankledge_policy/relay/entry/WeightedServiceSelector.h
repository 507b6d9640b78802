#pragma once

#include "plankledge_policy/relay/routes/RouteTable.h"

#include <map>
#include <vector>

namespace plankledge
{

//==============================================================================
/** Divides a split route's requests among its services by weight: smooth weighted round robin, so that each
    share is right over any short run of requests. */
class WeightedServiceSelector
{
public:
    //==============================================================================
    /** @returns the service that takes the route's next request */
    const ServiceName& next (const Route& route);

private:
    //==============================================================================
    std::map<RouteName, std::vector<double>> m_owed; /**< to each service of a route, in units of weight */
};

} // namespace plankledge
