#include "plankledge_policy/relay/entry/RefusalOrder.h"

#include <doctest/doctest.h>
#include <string>

namespace plankledge::test
{

namespace
{

/** Routes of the priorities 0 to 4. */
RouteTable fivePriorities()
{
    RouteTable::Hosts hosts;

    for (std::uint32_t priority = 0; priority < 5; ++priority)
    {
        Route route;
        route.m_name = "route-" + std::to_string (priority);
        route.m_priority = priority;
        route.m_services = { { "archive", 1 } };
        hosts["host"]["/" + route.m_name + "/"] = route;
    }

    return { 1, hosts };
}

void see (RefusalOrder& order, std::uint32_t priority, int requests)
{
    for (int request = 0; request < requests; ++request)
        order.onRequest (priority);
}

} // namespace

//==============================================================================
TEST_CASE ("before anything is known of the mix, all priorities have equal parts")
{
    const auto routes = fivePriorities();
    RefusalOrder order;
    see (order, 1, 40);

    for (std::uint32_t priority = 0; priority < 5; ++priority)
    {
        CHECK (order.partOf (priority, routes).m_place == doctest::Approx (0.2 * priority));
        CHECK (order.partOf (priority, routes).m_width == doctest::Approx (0.2));
    }
}

// With organisations, two of five priorities were those of routes that only targets call. A level had to
// fall through four tenths of its range, during which nothing more was refused.
TEST_CASE ("priorities that nothing has take up little of the order, the others the same")
{
    const auto routes = fivePriorities();
    RefusalOrder order;

    for (int round = 0; round < 500; ++round)
    {
        see (order, 0, 1);
        see (order, 2, 1);
        see (order, 4, 8);
    }

    const auto width = order.partOf (4, routes).m_width;
    CHECK (width == doctest::Approx (1.0 / 3.2));
    CHECK (order.partOf (0, routes).m_width == doctest::Approx (width));
    CHECK (order.partOf (2, routes).m_width == doctest::Approx (width));
    CHECK (order.partOf (1, routes).m_width == doctest::Approx (width / 10));
    CHECK (order.partOf (3, routes).m_width == doctest::Approx (width / 10));
}

TEST_CASE ("whatever the mix, the parts are in the order of the priorities and fill it")
{
    const auto routes = fivePriorities();

    for (std::uint32_t common = 0; common < 5; ++common)
    {
        RefusalOrder order;
        see (order, common, 700);
        see (order, (common + 2) % 5, 30);
        double end = 0.0;

        for (std::uint32_t priority = 0; priority < 5; ++priority)
        {
            const auto part = order.partOf (priority, routes);
            CHECK (part.m_place == doctest::Approx (end));
            CHECK (part.m_width > 0.0);
            end = part.m_place + part.m_width;
        }

        CHECK (end == doctest::Approx (1.0));
    }
}

TEST_CASE ("a priority that comes into use has its part within a few requests, one that goes loses it within 20 s")
{
    const auto routes = fivePriorities();
    RefusalOrder order;
    see (order, 0, 500);
    CHECK (order.partOf (3, routes).m_width < 0.1);
    see (order, 3, 10);
    CHECK (order.partOf (3, routes).m_width == doctest::Approx (order.partOf (0, routes).m_width));

    // At 31 requests a second of other priorities.
    see (order, 0, 20 * 31);
    CHECK (order.partOf (3, routes).m_width < 0.1);
}

} // namespace plankledge::test
