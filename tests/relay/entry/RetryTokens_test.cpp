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

/** @returns retries taken in a second of so many requests, each of which wants one */
int retriesOf (RelayRetryThrottle& tokens, int requests, Time& now)
{
    int taken = 0;

    for (int index = 0; index < requests; ++index)
    {
        tokens.onRequest ("plans", now);
        taken += tokens.take ("plans", {}, 0.0, now) ? 1 : 0;
        now += std::chrono::seconds (1) / requests;
    }

    return taken;
}

} // namespace

//==============================================================================
TEST_CASE ("a node that starts has no retries")
{
    RelayRetryThrottle tokens { RelaySettings() };
    CHECK_FALSE (tokens.take ("plans", {}, 0.0, start));
    CHECK_FALSE (tokens.take ("plans", {}, 0.0, start + std::chrono::hours (1)));
}

TEST_CASE ("over any window all nodes together stay under the ratio and the slack")
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
        int taken = 0;

        for (int node = 0; node < nodes; ++node)
        {
            all[static_cast<std::size_t> (node)].setNodes (nodes);
            taken += retriesOf (all[static_cast<std::size_t> (node)], requestsPerSecond,
                                clocks[static_cast<std::size_t> (node)]);
        }

        bySecond.push_back (taken);
    }

    const auto bound = nodes * requestsPerSecond * settings.m_retryRatio * windowSeconds;
    int most = 0;

    for (std::size_t first = 0; first + windowSeconds <= bySecond.size(); ++first)
        most = std::max (
            most,
            std::accumulate (bySecond.begin() + static_cast<std::ptrdiff_t> (first),
                             bySecond.begin() + static_cast<std::ptrdiff_t> (first + windowSeconds), 0));

    CHECK (most > 0);
    CHECK (most < bound);
}

TEST_CASE ("a retry whose calls run again costs more")
{
    const std::map<ServiceName, double> demand { { "corrections", 4.0 }, { "lodgement", 1.0 } };
    RelayRetryThrottle plain { RelaySettings() };
    RelayRetryThrottle deep { RelaySettings() };
    int plainTaken = 0;
    int deepTaken = 0;

    for (int index = 0; index < 1000; ++index)
    {
        const auto now = start + Milliseconds (index);
        plain.onRequest ("search", now);
        deep.onRequest ("search", now);
        plainTaken += plain.take ("search", {}, 0.0, now) ? 1 : 0;
        deepTaken += deep.take ("search", demand, 0.0, now) ? 1 : 0;
    }

    CHECK (plainTaken > 2 * deepTaken);
    CHECK (deepTaken > 0);
}

TEST_CASE ("where more is wanted than there is, some chains get all they want and the others nothing")
{
    RelayRetryThrottle tokens { RelaySettings() };
    std::array<int, 10> wished {};
    std::array<int, 10> taken {};

    // A hundred chains a second, whose requests are all rejected at first.
    for (int index = 0; index < 3000; ++index)
    {
        const auto now = start + Milliseconds (index * 10);
        const auto tenth = static_cast<std::size_t> (index * 7 % 10);
        tokens.onRequest ("plans", now);
        const auto isTaken = tokens.take ("plans", {}, static_cast<double> (tenth) / 10.0 + 0.05, now);

        if (index < 1000)
            continue;

        ++wished[tenth];
        taken[tenth] += isTaken ? 1 : 0;
    }

    CHECK (taken[0] > wished[0] * 9 / 10);
    CHECK (taken[9] == 0);
    CHECK (taken[5] == 0);
}

TEST_CASE ("calls of runs that were retries themselves leave less for others")
{
    RelayRetryThrottle plain { RelaySettings() };
    RelayRetryThrottle charged { RelaySettings() };
    int plainTaken = 0;
    int chargedTaken = 0;

    for (int index = 0; index < 2000; ++index)
    {
        const auto now = start + Milliseconds (index);
        plain.onRequest ("plans", now);
        charged.onRequest ("plans", now);

        if (index % 10 == 0)
            charged.charge ("plans", now);

        plainTaken += plain.take ("plans", {}, 0.0, now) ? 1 : 0;
        chargedTaken += charged.take ("plans", {}, 0.0, now) ? 1 : 0;
    }

    CHECK (chargedTaken + 150 < plainTaken);
}

} // namespace plankledge::test
