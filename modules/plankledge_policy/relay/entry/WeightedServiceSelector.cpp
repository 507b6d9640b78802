#include "plankledge_policy/relay/entry/WeightedServiceSelector.h"

namespace plankledge
{

const ServiceName& WeightedServiceSelector::next (const Route& route)
{
    if (route.m_services.size() == 1)
        return route.m_services.front().m_service;

    auto& credits = m_credits[route.m_name];
    credits.resize (route.m_services.size(), 0.0);
    double total = 0.0;
    std::size_t selected = 0;

    for (std::size_t index = 0; index < credits.size(); ++index)
    {
        credits[index] += route.m_services[index].m_weight;
        total += route.m_services[index].m_weight;

        if (credits[index] > credits[selected])
            selected = index;
    }

    credits[selected] -= total;
    return route.m_services[selected].m_service;
}

} // namespace plankledge
