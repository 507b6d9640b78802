#include "plankledge_policy/relay/entry/RelayRetryThrottle.h"

#include <array>
#include <doctest/doctest.h>
#include <numeric>
#include <vector>

namespace plankledge::test
{

namespace
{

const Time start { std::chrono::hours (1) };

/** @returns the number of retries granted within one second, in which each request asks for one */
int grantedRetries (RelayRetryThrottle& throttle, int requests, Time& now)
{
    int granted = 0;

    for (int index = 0; index < requests; ++index)
    {
        throttle.onRequest ("plans", now);
        granted += throttle.tryAcquire ("plans", {}, 0.0, now) ? 1 : 0;
        now += std::chrono::seconds (1) / requests;
    }

    return granted;
}

} // namespace

//==============================================================================
TEST_CASE ("a node that has not sent requests yet has no retries")
{
    RelayRetryThrottle throttle { RelaySettings() };
    CHECK_FALSE (throttle.tryAcquire ("plans", {}, 0.0, start));
    CHECK_FALSE (throttle.tryAcquire ("plans", {}, 0.0, start + std::chrono::hours (1)));
}

TEST_CASE ("in any window, the retries of all nodes together stay within the ratio and the slack")
{
    constexpr int nodes = 15;
    constexpr int requestsPerSecond = 20;
    constexpr std::size_t windowSeconds = 10;
    const RelaySettings settings;
    REQUIRE (settings.m_retryWindow == Duration (std::chrono::seconds (windowSeconds)));
    std::vector<RelayRetryThrottle> all (nodes, RelayRetryThrottle (settings));
    std::vector<Time> clocks (nodes, start);
    std::vector<int> bySecond;

    for (int second = 0; second < 40; ++second)
    {
        int granted = 0;

        for (int node = 0; node < nodes; ++node)
        {
            all[static_cast<std::size_t> (node)].setNodeCount (nodes);
            granted += grantedRetries (all[static_cast<std::size_t> (node)], requestsPerSecond,
                                       clocks[static_cast<std::size_t> (node)]);
        }

        bySecond.push_back (granted);
    }

    const auto bound = nodes * requestsPerSecond * settings.m_retryRatio * windowSeconds;
    int maxInWindow = 0;

    for (std::size_t first = 0; first + windowSeconds <= bySecond.size(); ++first)
        maxInWindow = std::max (
            maxInWindow,
            std::accumulate (bySecond.begin() + static_cast<std::ptrdiff_t> (first),
                             bySecond.begin() + static_cast<std::ptrdiff_t> (first + windowSeconds), 0));

    CHECK (maxInWindow > 0);
    CHECK (maxInWindow < bound);
}

TEST_CASE ("a retry that repeats nested calls costs more")
{
    const std::map<ServiceName, double> demand { { "corrections", 4.0 }, { "lodgement", 1.0 } };
    RelayRetryThrottle plain { RelaySettings() };
    RelayRetryThrottle deep { RelaySettings() };
    int plainGranted = 0;
    int deepGranted = 0;

    for (int index = 0; index < 1000; ++index)
    {
        const auto now = start + Milliseconds (index);
        plain.onRequest ("search", now);
        deep.onRequest ("search", now);
        plainGranted += plain.tryAcquire ("search", {}, 0.0, now) ? 1 : 0;
        deepGranted += deep.tryAcquire ("search", demand, 0.0, now) ? 1 : 0;
    }

    CHECK (plainGranted > 2 * deepGranted);
    CHECK (deepGranted > 0);
}

TEST_CASE ("where retries are scarce, some chains get all they want and the others none")
{
    RelayRetryThrottle throttle { RelaySettings() };
    std::array<int, 10> wanted {};
    std::array<int, 10> granted {};

    // A hundred chains per second, each of which asks for one retry.
    for (int index = 0; index < 3000; ++index)
    {
        const auto now = start + Milliseconds (index * 10);
        const auto tenth = static_cast<std::size_t> (index * 7 % 10);
        throttle.onRequest ("plans", now);
        const auto isGranted =
            throttle.tryAcquire ("plans", {}, static_cast<double> (tenth) / 10.0 + 0.05, now);

        if (index < 1000)
            continue;

        ++wanted[tenth];
        granted[tenth] += isGranted ? 1 : 0;
    }

    CHECK (granted[0] > wanted[0] * 9 / 10);
    CHECK (granted[9] == 0);
    CHECK (granted[5] == 0);
}

TEST_CASE ("nested calls of retried requests reduce the retries left for others")
{
    RelayRetryThrottle plain { RelaySettings() };
    RelayRetryThrottle charged { RelaySettings() };
    int plainGranted = 0;
    int chargedGranted = 0;

    for (int index = 0; index < 2000; ++index)
    {
        const auto now = start + Milliseconds (index);
        plain.onRequest ("plans", now);
        charged.onRequest ("plans", now);

        if (index % 10 == 0)
            charged.charge ("plans", now);

        plainGranted += plain.tryAcquire ("plans", {}, 0.0, now) ? 1 : 0;
        chargedGranted += charged.tryAcquire ("plans", {}, 0.0, now) ? 1 : 0;
    }

    CHECK (chargedGranted + 150 < plainGranted);
}

} // namespace plankledge::test
