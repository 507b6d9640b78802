#include "plankledge_policy/relay/entry/WeightedServiceSelector.h"

namespace plankledge
{

const ServiceName& WeightedServiceSelector::next (const Route& route)
{
    if (route.m_services.size() == 1)
        return route.m_services.front().m_service;

    auto& owed = m_owed[route.m_name];
    owed.resize (route.m_services.size(), 0.0);
    double total = 0.0;
    std::size_t most = 0;

    for (std::size_t index = 0; index < owed.size(); ++index)
    {
        owed[index] += route.m_services[index].m_weight;
        total += route.m_services[index].m_weight;

        if (owed[index] > owed[most])
            most = index;
    }

    owed[most] -= total;
    return route.m_services[most].m_service;
}

} // namespace plankledge
