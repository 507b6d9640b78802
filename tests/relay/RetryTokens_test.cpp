#include "plankledge_policy/relay/RetryTokens.h"

#include <doctest/doctest.h>
#include <vector>

namespace plankledge::test
{

namespace
{

const Time start { std::chrono::hours (1) };

/** @returns retries taken in a second of so many requests, each of which wants one */
int retriesOf (RetryTokens& tokens, int requests, Time& now)
{
    int taken = 0;

    for (int index = 0; index < requests; ++index)
    {
        tokens.onRequest ("plans", now);
        taken += tokens.take ("plans", {}, now) ? 1 : 0;
        now += std::chrono::seconds (1) / requests;
    }

    return taken;
}

} // namespace

//==============================================================================
TEST_CASE ("a node that starts has no retries")
{
    RetryTokens tokens { RelaySettings() };
    CHECK_FALSE (tokens.take ("plans", {}, start));
    CHECK_FALSE (tokens.take ("plans", {}, start + std::chrono::hours (1)));
}

TEST_CASE ("over any window all nodes together stay under the ratio and the slack")
{
    constexpr int nodes = 15;
    constexpr int requestsPerSecond = 20;
    const RelaySettings settings;
    int most = 0;
    std::vector<RetryTokens> all (nodes, RetryTokens (settings));
    std::vector<Time> clocks (nodes, start);

    for (int second = 0; second < 30; ++second)
    {
        int inWindow = 0;

        for (int node = 0; node < nodes; ++node)
        {
            all[static_cast<std::size_t> (node)].setNodes (nodes);
            inWindow += retriesOf (all[static_cast<std::size_t> (node)], requestsPerSecond,
                                   clocks[static_cast<std::size_t> (node)]);
        }

        most = std::max (most, inWindow);
    }

    const auto bound = nodes * requestsPerSecond * settings.m_retryRatio;
    CHECK (most > 0);
    CHECK (most < bound);
}

TEST_CASE ("a retry whose calls run again costs more")
{
    const std::map<ServiceName, double> demand { { "corrections", 4.0 }, { "lodgement", 1.0 } };
    RetryTokens plain { RelaySettings() };
    RetryTokens deep { RelaySettings() };
    int plainTaken = 0;
    int deepTaken = 0;

    for (int index = 0; index < 1000; ++index)
    {
        const auto now = start + Milliseconds (index);
        plain.onRequest ("search", now);
        deep.onRequest ("search", now);
        plainTaken += plain.take ("search", {}, now) ? 1 : 0;
        deepTaken += deep.take ("search", demand, now) ? 1 : 0;
    }

    CHECK (plainTaken > 2 * deepTaken);
    CHECK (deepTaken > 0);
}

} // namespace plankledge::test
