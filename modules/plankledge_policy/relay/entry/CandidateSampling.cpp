#include "plankledge_policy/relay/entry/CandidateSampling.h"

#include <algorithm>
#include <numeric>

namespace plankledge
{

namespace
{

/** With one candidate, full targets and those in another availability zone could not be avoided. With many,
    all entries would select the same targets again. */
constexpr std::size_t sampleSize = 3;

/** Bounds the preference for fast targets, whose times may be out of date or those of requests that ended
    early: four times the mean rate is more than the speeds of the targets of a service differ by. */
constexpr double maxRateOverMean = 4.0;

/** Resolution of the random numbers that a candidate is drawn by. */
constexpr std::uint64_t drawSteps = 1ULL << 32U;

struct WeightedCandidate
{
    const Peer* m_peer = nullptr;
    double m_weight = 0.0;
};

double slotsOf (const Peer& peer) noexcept
{
    return static_cast<double> (std::max<std::uint32_t> (1, peer.m_gate.m_limit));
}

/** @returns the mean time of a request of the route over the targets where it is known, in microseconds; 1 if
    it is known at none */
double meanTime (const std::vector<const Peer*>& candidates, const RouteName& route)
{
    double sum = 0.0;
    double known = 0.0;

    for (const auto* peer : candidates)
    {
        const auto time = static_cast<double> (peer->routeTimeOf (route).count());
        sum += time;
        known += time > 0.0 ? 1.0 : 0.0;
    }

    return known > 0.0 ? sum / known : 1.0;
}

/** @returns the candidates that were not tried, with or without free slots */
std::vector<WeightedCandidate> weigh (const std::vector<const Peer*>& candidates,
                                      const TargetCriteria& criteria, bool areFree)
{
    const auto mean = meanTime (candidates, criteria.m_route);
    std::vector<WeightedCandidate> weighted;
    weighted.reserve (candidates.size());

    for (const auto* peer : candidates)
    {
        if (criteria.m_tried.contains (peer->m_member.m_id.m_instance) ||
            peer->hasFreeSlots (criteria.m_route, criteria.m_now) != areFree)
            continue;

        const auto time = static_cast<double> (peer->routeTimeOf (criteria.m_route).count());
        const auto boundedTime = time > 0.0 ? std::max (time, mean / maxRateOverMean) : mean;
        weighted.push_back ({ peer, slotsOf (*peer) / boundedTime });
    }

    return weighted;
}

/** Removes a random candidate, drawn by weight, from the list.

    @returns the candidate
*/
const Peer* draw (std::vector<WeightedCandidate>& weighted, Random& random)
{
    const auto total = std::accumulate (weighted.begin(), weighted.end(), 0.0,
                                        [] (double sum, const auto& entry) { return sum + entry.m_weight; });
    auto rest = total * static_cast<double> (random.below (drawSteps)) / static_cast<double> (drawSteps);
    auto drawn = weighted.begin();

    while (std::next (drawn) != weighted.end() && rest >= drawn->m_weight)
    {
        rest -= drawn->m_weight;
        ++drawn;
    }

    const auto* peer = drawn->m_peer;
    weighted.erase (drawn);
    return peer;
}

} // namespace

//==============================================================================
std::vector<const Peer*> sampleCandidates (const std::vector<const Peer*>& candidates,
                                           const TargetCriteria& criteria, Random& random)
{
    std::vector<const Peer*> sample;

    for (const bool areFree : { true, false })
        for (auto weighted = weigh (candidates, criteria, areFree);
             ! weighted.empty() && sample.size() < sampleSize;)
            sample.push_back (draw (weighted, random));

    return sample;
}

} // namespace plankledge
