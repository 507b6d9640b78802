#include "plankledge_policy/relay/entry/WeightedServiceSelector.h"

#include <doctest/doctest.h>
#include <map>

namespace plankledge::test
{

namespace
{

Route split (const RouteName& name, const std::vector<WeightedService>& services)
{
    Route route;
    route.m_name = name;
    route.m_services = services;
    return route;
}

} // namespace

//==============================================================================
TEST_CASE ("each cycle of as many requests as the sum of the weights has the exact proportions")
{
    const std::vector<std::vector<WeightedService>> rows { { { "one", 1 } },
                                                           { { "one", 90 }, { "two", 10 } },
                                                           { { "one", 1 }, { "two", 1 }, { "three", 1 } },
                                                           { { "one", 5 }, { "two", 0 }, { "three", 2 } } };

    for (const auto& services : rows)
    {
        WeightedServiceSelector selector;
        const auto route = split ("route", services);
        std::uint32_t total = 0;

        for (const auto& service : services)
            total += service.m_weight;

        for (int round = 0; round < 3; ++round)
        {
            std::map<ServiceName, std::uint32_t> counts;

            for (std::uint32_t index = 0; index < total; ++index)
                ++counts[selector.next (route)];

            for (const auto& service : services)
                CHECK (counts[service.m_service] == service.m_weight);
        }
    }
}

TEST_CASE ("routes are independent of each other, and a change of weights takes effect at once")
{
    WeightedServiceSelector selector;
    const auto first = split ("first", { { "one", 1 }, { "two", 1 } });
    const auto second = split ("second", { { "one", 1 }, { "two", 1 } });
    CHECK (selector.next (first) != selector.next (first));
    CHECK (selector.next (second) != selector.next (second));

    const auto changed = split ("first", { { "one", 1 }, { "two", 0 }, { "three", 0 } });

    for (int index = 0; index < 5; ++index)
        CHECK (selector.next (changed) == "one");
}

} // namespace plankledge::test
