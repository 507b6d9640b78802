#include "plankledge_policy/relay/entry/CandidateSampling.h"

#include "plankledge_policy/relay/entry/OfferPolicy.h"

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
    return { "zone-a", "route", std::chrono::seconds (2), std::move (tried), {}, true };
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

/** Entry nodes that select targets by a status that all of them receive at the same time, and by their own
    requests since then. */
struct Fleet
{
    static constexpr unsigned targets = 40;
    static constexpr unsigned entries = 80;
    static constexpr Duration period = Milliseconds (500); /**< between statuses */
    static constexpr unsigned requestsPerPeriod = 800;     /**< 0.55 of what the targets can run */
    static constexpr unsigned periods = 10;

    static Duration timeAt (unsigned target) { return Milliseconds (200 + target % 3 * 100); }

    /** @returns the requests that a target can run in a period */
    static double capacityOf (unsigned target)
    {
        return static_cast<double> (slots) * static_cast<double> (period.count()) /
               static_cast<double> (timeAt (target).count());
    }

    /** @param isSampled   whether the best of a sample is selected, or the best of all targets
        @returns the largest load of a target in a period, as a fraction of what it can run */
    static double largestLoad (bool isSampled)
    {
        Random random (3);
        double largest = 0.0;
        std::vector<double> loads (targets, 0.0);
        const auto criteria = criteriaOf();

        for (unsigned period = 0; period < periods; ++period)
        {
            std::vector<std::vector<Peer>> views (entries);

            for (auto& view : views)
                for (unsigned target = 0; target < targets; ++target)
                {
                    view.push_back (makePeer (target, timeAt (target)));
                    view.back().m_gate.m_inGate = static_cast<std::uint32_t> (loads[target] * slots);
                }

            std::vector<unsigned> arrivals (targets, 0);

            for (unsigned request = 0; request < requestsPerPeriod; ++request)
            {
                auto& view = views[random.below (entries)];
                const auto all = pointersTo (view);
                const auto* selected = selectTarget (
                    isSampled ? sampleCandidates (all, criteria, random) : all, criteria, random);
                const auto target = static_cast<std::size_t> (selected - view.data());
                ++arrivals[target];
                ++view[target].m_sentSinceStatus;
            }

            for (unsigned target = 0; target < targets; ++target)
            {
                loads[target] = arrivals[target] / capacityOf (target);
                largest = std::max (largest, loads[target]);
            }
        }

        return largest;
    }
};

} // namespace

// Guards against overload of a few targets while others are idle, when many entry nodes hold the same status.
TEST_CASE ("Entry nodes with the same status don't send all requests to the same targets")
{
    const auto withAll = Fleet::largestLoad (false);
    const auto withSample = Fleet::largestLoad (true);
    MESSAGE ("largest load of a target in a period: ", withAll, " without sampling, ", withSample, " with");

    // The load has the fault that sampling guards against.
    CHECK (withAll > 1.0);

    // What the busiest target can't run within the period must fit into the queueing time of a short offer.
    const auto longestOffer = static_cast<double> (OfferPolicy::maxShortQueueTime.count());
    CHECK (withSample <= 1.0 + longestOffer / static_cast<double> (Fleet::period.count()));
}

// Guards against slow targets that get as many requests as fast ones.
TEST_CASE ("Candidates are drawn in proportion to the rate of their targets")
{
    std::vector<Peer> peers;

    for (unsigned number = 0; number < 10; ++number)
        peers.push_back (makePeer (number, Milliseconds (number < 5 ? 100 : 300)));

    const auto shares = sharesOfSamples (peers);
    // Three draws without replacement from five weights of 3 and five of 1.
    CHECK (shares.at ("target-100") / shares.at ("target-109") == doctest::Approx (2.634).epsilon (0.05));
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
