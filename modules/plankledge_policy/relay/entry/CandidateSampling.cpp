#include "plankledge_policy/relay/entry/CandidateSampling.h"

#include <algorithm>
#include <numeric>

namespace plankledge
{

namespace
{

/** Two random choices already bound the excess load of a target; the third finds a target of the own
    availability zone or a faster one more often. */
constexpr std::size_t sampleSize = 3;

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

std::vector<WeightedCandidate> weigh (const std::vector<const Peer*>& candidates,
                                      const TargetCriteria& criteria)
{
    const auto mean = meanTime (candidates, criteria.m_route);
    std::vector<WeightedCandidate> weighted;
    weighted.reserve (candidates.size());

    for (const auto* peer : candidates)
    {
        if (criteria.m_tried.contains (peer->m_member.m_id.m_instance))
            continue;

        const auto time = static_cast<double> (peer->routeTimeOf (criteria.m_route).count());
        weighted.push_back ({ peer, slotsOf (*peer) / (time > 0.0 ? time : mean) });
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
    auto weighted = weigh (candidates, criteria);
    std::vector<const Peer*> sample;

    while (! weighted.empty() && sample.size() < sampleSize)
        sample.push_back (draw (weighted, random));

    return sample;
}

} // namespace plankledge
