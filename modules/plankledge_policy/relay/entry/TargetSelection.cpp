#include "plankledge_policy/relay/entry/TargetSelection.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Minimum penalty of a target in another zone. Covers the round trip and, for short calls, the cost of the
   traffic between zones. */
constexpr Duration minZonePenalty = Milliseconds (50);

/** The penalty of a target in another zone is the latency objective divided by this. With half of this and of
    minZonePenalty, traffic between zones grew by a third and no more requests were served; with twice as
    much, results under high load were worse. */
constexpr int zonePenaltyDivisor = 5;

/** Weight of the expected queueing time relative to the service time. */
constexpr int queueTimeWeight = 4;

/** Service times below the latency objective divided by this are fast enough: a request is not sent to
   another zone for an even faster target. */
constexpr int fastEnoughDivisor = 8;

/** Service times are also added divided by this, to prefer the faster of several fast targets. */
constexpr int speedPreferenceDivisor = 4;

/** Upper bound of the random jitter on expected times, in percent. */
constexpr std::uint64_t maxJitterPercent = 10;

/** One of this many selections, on average, probes a random target of the own zone. */
constexpr std::uint64_t selectionsPerProbe = 50;

/** Targets with a higher failure rate than this, in thousandths, are not probed. */
constexpr std::uint16_t maxProbeFailurePermille = 300;

constexpr double permille = 1000.0;

Duration scaled (Duration duration, double factor) noexcept
{
    return Duration (static_cast<Duration::rep> (static_cast<double> (duration.count()) * factor));
}

Duration penaltyOf (const Peer& peer, const TargetCriteria& criteria) noexcept
{
    // Requests that are shed at entry nodes never show in the queue of the gate. Without this term, a target
    // that sheds much of its load would be preferred to an idle one in another zone: with two targets, a
    // third of all requests was refused for 10 s that way.
    const auto shedPermille = permille - peer.m_gate.m_admittedPermille;
    const auto penalty =
        scaled (criteria.m_latencyObjective, (peer.m_gate.m_failurePermille + shedPermille) / permille);

    if (peer.m_member.m_zone == criteria.m_zone)
        return penalty;

    return penalty + std::max (minZonePenalty, criteria.m_latencyObjective / zonePenaltyDivisor);
}

Duration expectedTime (const Peer& peer, const TargetCriteria& criteria) noexcept
{
    const auto serviceTime = peer.routeTimeOf (criteria.m_route);
    const auto boundedTime = std::max (serviceTime, criteria.m_latencyObjective / fastEnoughDivisor);
    return boundedTime + serviceTime / speedPreferenceDivisor +
           peer.expectedQueueTime (criteria.m_route, criteria.m_now) * queueTimeWeight;
}

/** @returns a random target of the own zone that has free slots and rarely fails, or nullptr */
const Peer* selectProbe (const std::vector<const Peer*>& candidates, const TargetCriteria& criteria,
                         Random& random)
{
    std::vector<const Peer*> eligible;

    for (const auto* peer : candidates)
        if (peer->m_member.m_zone == criteria.m_zone && peer->load() < peer->m_gate.m_limit &&
            peer->m_gate.m_failurePermille < maxProbeFailurePermille &&
            peer->expectedQueueTime (criteria.m_route, criteria.m_now) == Duration::zero() &&
            ! criteria.m_tried.contains (peer->m_member.m_id.m_instance))
            eligible.push_back (peer);

    return eligible.empty() ? nullptr : eligible[random.below (eligible.size())];
}

} // namespace

//==============================================================================
const Peer* selectTarget (const std::vector<const Peer*>& candidates, const TargetCriteria& criteria,
                          Random& random)
{
    if (random.below (selectionsPerProbe) == 0)
        if (const auto* peer = selectProbe (candidates, criteria, random))
            return peer;

    const Peer* best = nullptr;
    Duration bestCost {};

    for (const auto* peer : candidates)
    {
        if (criteria.m_tried.contains (peer->m_member.m_id.m_instance))
            continue;

        const auto jitter = 1.0 + static_cast<double> (random.below (maxJitterPercent)) / 100.0;
        const auto cost = scaled (expectedTime (*peer, criteria), jitter) + penaltyOf (*peer, criteria);

        if (best != nullptr && cost >= bestCost)
            continue;

        best = peer;
        bestCost = cost;
    }

    return best;
}

} // namespace plankledge
