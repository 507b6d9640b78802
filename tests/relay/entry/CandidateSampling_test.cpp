#include "plankledge_policy/relay/entry/CandidateSampling.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <numeric>

namespace plankledge::test
{

namespace
{

constexpr std::uint32_t slots = 20;

Peer makePeer (unsigned number, Duration time, const ZoneName& zone = "zone-a")
{
    Peer peer;
    peer.m_member.m_id.m_instance = "target-" + std::to_string (100 + number);
    peer.m_member.m_zone = zone;
    peer.m_gate.m_isOpen = true;
    peer.m_gate.m_limit = slots;
    peer.m_gate.m_admittedPermille = 1000;

    if (time > Duration::zero())
        peer.m_routeTimes["route"] = time;

    return peer;
}

std::vector<const Peer*> pointersTo (const std::vector<Peer>& peers)
{
    std::vector<const Peer*> result;

    for (const auto& peer : peers)
        result.push_back (&peer);

    return result;
}

TargetCriteria criteriaOf (std::set<InstanceName> tried = {})
{
    return { "zone-a", "route", std::chrono::seconds (2), std::move (tried), {} };
}

std::map<InstanceName, double> sharesOfSamples (const std::vector<Peer>& peers)
{
    constexpr int samples = 20000;
    const auto candidates = pointersTo (peers);
    Random random (7);
    std::map<InstanceName, double> shares;

    for (int sample = 0; sample < samples; ++sample)
        for (const auto* peer : sampleCandidates (candidates, criteriaOf(), random))
            shares[peer->m_member.m_id.m_instance] += 1.0 / samples;

    return shares;
}

/** Entry nodes that select targets by their own counts since the last status, which all of them receive at
    the same time. */
struct Fleet
{
    static constexpr unsigned targets = 40;
    static constexpr unsigned entries = 80;
    static constexpr unsigned requestsPerPeriod = 800; /**< half of what the targets can run */
    static constexpr unsigned periods = 10;

    /** @returns the most requests that a target got in a period, over the mean */
    static double maxOverMean (bool isSampled)
    {
        Random random (3);
        double highest = 0.0;
        std::vector<std::uint32_t> running (targets, 0);

        for (unsigned period = 0; period < periods; ++period)
        {
            std::vector<std::vector<Peer>> views (entries);

            for (auto& view : views)
                for (unsigned target = 0; target < targets; ++target)
                {
                    view.push_back (makePeer (target, Milliseconds (200 + target % 3 * 100)));
                    view.back().m_gate.m_inGate = running[target];
                }

            std::map<InstanceName, std::uint32_t> arrivals;

            for (unsigned request = 0; request < requestsPerPeriod; ++request)
            {
                auto& view = views[random.below (entries)];
                const auto all = pointersTo (view);
                const auto sample = isSampled ? sampleCandidates (all, criteriaOf(), random) : all;
                const auto name = selectTarget (sample, criteriaOf(), random)->m_member.m_id.m_instance;
                ++arrivals[name];
                const auto chosen = std::find_if (view.begin(), view.end(), [&] (const auto& peer) {
                    return peer.m_member.m_id.m_instance == name;
                });
                ++chosen->m_sentSinceStatus;
            }

            for (unsigned target = 0; target < targets; ++target)
            {
                running[target] = arrivals[makePeer (target, {}).m_member.m_id.m_instance];
                highest =
                    std::max (highest, static_cast<double> (running[target]) * targets / requestsPerPeriod);
            }
        }

        return highest;
    }
};

} // namespace

// Guards against overload of a few targets while others are idle, when many entry nodes hold the same status.
TEST_CASE ("Entry nodes with the same status don't send all requests to the same targets")
{
    const auto withAll = Fleet::maxOverMean (false);
    const auto withSample = Fleet::maxOverMean (true);
    CAPTURE (withAll);
    MESSAGE ("busiest target over the mean: ", withAll, " without sampling, ", withSample, " with");

    // The targets can run twice the mean.
    CHECK (withSample < 2.0 * 1.5);
    CHECK (withSample < withAll);
}

// Guards against slow targets that get as many requests as fast ones.
TEST_CASE ("Candidates are drawn in proportion to the rate of their targets")
{
    std::vector<Peer> peers;

    for (unsigned number = 0; number < 10; ++number)
        peers.push_back (makePeer (number, Milliseconds (number < 5 ? 100 : 300)));

    const auto shares = sharesOfSamples (peers);
    CHECK (shares.at ("target-100") / shares.at ("target-109") == doctest::Approx (2.6).epsilon (0.15));
}

// Guards against a new target that gets no requests, or most of them, because its times are not known yet.
TEST_CASE ("A target without known times is drawn like the mean of the others")
{
    std::vector<Peer> peers { makePeer (0, {}) };

    for (unsigned number = 1; number < 10; ++number)
        peers.push_back (makePeer (number, Milliseconds (200)));

    CHECK (sharesOfSamples (peers).at ("target-100") == doctest::Approx (0.3).epsilon (0.1));
}

// Guards against requests that fail although an untried target is left.
TEST_CASE ("The sample has no tried targets, and all others if they are few")
{
    const std::vector<Peer> peers { makePeer (0, {}), makePeer (1, {}), makePeer (2, Milliseconds (5)) };
    Random random (1);
    const auto candidates = pointersTo (peers);

    CHECK (sampleCandidates (candidates, criteriaOf(), random).size() == 3);
    const auto rest = sampleCandidates (candidates, criteriaOf ({ "target-100", "target-102" }), random);
    REQUIRE (rest.size() == 1);
    CHECK (rest.front()->m_member.m_id.m_instance == "target-101");
    CHECK (sampleCandidates (candidates, criteriaOf ({ "target-100", "target-101", "target-102" }), random)
               .empty());
    CHECK (sampleCandidates ({}, criteriaOf(), random).empty());
}

} // namespace plankledge::test
