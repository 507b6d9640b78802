#include "plankledge_policy/relay/limits/RequestMeter.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

const Time start { std::chrono::hours (1) };

} // namespace

TEST_CASE ("a meter lets its level through at once, and then the rate")
{
    const RequestLimit limit { 10, 5 };
    RequestMeter meter (3, start);

    for (int request = 0; request < 3; ++request)
        CHECK (meter.take (limit, 1.0, start) == Duration::zero());

    CHECK (meter.take (limit, 1.0, start) == Milliseconds (100));
    CHECK (meter.take (limit, 1.0, start + Milliseconds (60)) == Milliseconds (40));
    CHECK (meter.take (limit, 1.0, start + Milliseconds (100)) == Duration::zero());
}

TEST_CASE ("after a lull a burst is let through, no more")
{
    const RequestLimit limit { 10, 5 };
    RequestMeter meter (0, start);
    int within = 0;

    for (int request = 0; request < 20; ++request)
        within += meter.take (limit, 1.0, start + std::chrono::minutes (1)) == Duration::zero() ? 1 : 0;

    CHECK (within == 5);
}

TEST_CASE ("a small share still lets single requests through")
{
    const RequestLimit limit { 10, 5 };
    RequestMeter meter (1, start);
    CHECK (meter.take (limit, 0.01, start) == Duration::zero());
    CHECK (meter.take (limit, 0.01, start) == std::chrono::seconds (10));
    CHECK (meter.take (limit, 0.01, start + std::chrono::seconds (10)) == Duration::zero());
}

TEST_CASE ("a lower limit holds at once")
{
    RequestMeter meter (100, start);
    const RequestLimit lowered { 1, 2 };
    CHECK (meter.take (lowered, 1.0, start) == Duration::zero());
    CHECK (meter.level() == doctest::Approx (1.0));
}

TEST_CASE ("with no share at all the wait has a bound")
{
    RequestMeter meter (0, start);
    CHECK (meter.take ({ 10, 5 }, 0.0, start) == std::chrono::minutes (1));
}

} // namespace plankledge::test
