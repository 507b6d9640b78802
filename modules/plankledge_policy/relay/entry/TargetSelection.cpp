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

/** Share of used slots from which a target has a penalty for latency-tolerant chains. A status is as old as
    many requests take: a preference among targets with free slots would send all requests of a period to
    those that were the emptiest before it. */
constexpr double freeUntilShare = 0.8;

/** Penalty of a target for a latency-tolerant chain if all its slots are used; proportional to the share
    above freeUntilShare. Half of the smallest penalty of another zone, so that it does not by itself send
    requests there. Targets near their limit are filled last, because they slow down when nearly full (from
    0.95 of the slots). */
constexpr Duration usedSlotsPenalty = Milliseconds (25);

/** Penalty of a target for a latency-tolerant chain if it sheds all requests; proportional to the share that
    it sheds. A target that sheds half of its load is as costly as one in another zone. The penalty of other
    requests, which grows with the objective, would outweigh the shares of used slots: all entries would send
    to the target that sheds the least until it sheds more than the others. */
constexpr Duration tolerantShedPenalty = 2 * minZonePenalty;

/** Weight of the expected queueing time relative to the service time. */
constexpr int queueTimeWeight = 4;

/** Service times below the latency objective divided by this are fast enough: a request is not sent to
   another zone for an even faster target. */
constexpr int fastEnoughDivisor = 8;

/** The same for latency-tolerant chains. Their candidates are drawn by the rate of their targets, so that a
    further preference for the fastest would send these more than they can run, and a target that was slow for
    a while would get too few requests for its time to be learned again. Half of the objective is left for
    queueing and for calls. */
constexpr int tolerantFastEnoughDivisor = 2;

/** Service times are also added divided by this, to prefer the faster of several fast targets. */
constexpr int speedPreferenceDivisor = 4;

/** Upper bound of the random jitter on expected times, in percent. Latency-tolerant chains have none: their
    candidates are random already, and it would outweigh usedSlotsPenalty. */
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

/** For latency-tolerant chains the penalty does not depend on the objective: the round trip takes 1 to 2 ms,
    whereas a fifth of an objective of 2 s (400 ms) would leave slots in other zones unused. */
Duration zonePenalty (const TargetCriteria& criteria) noexcept
{
    return criteria.m_isTolerantChain
               ? minZonePenalty
               : std::max (minZonePenalty, criteria.m_latencyObjective / zonePenaltyDivisor);
}

/** Spreads requests over targets without an expected queue; with a queue, the expected wait decides. */
Duration occupancyPenalty (const Peer& peer, const TargetCriteria& criteria) noexcept
{
    if (! criteria.m_isTolerantChain)
        return {};

    const auto slots = std::max (1U, peer.m_gate.m_limit);
    const auto share = std::min (1.0, static_cast<double> (peer.load()) / slots);
    return scaled (usedSlotsPenalty, std::max (0.0, share - freeUntilShare) / (1.0 - freeUntilShare));
}

Duration penaltyOf (const Peer& peer, const TargetCriteria& criteria) noexcept
{
    // Requests that are shed at entry nodes never show in the queue of the gate. Without this term, a target
    // that sheds much of its load would be preferred to an idle one in another zone: with two targets, a
    // third of all requests was refused for 10 s that way.
    const auto shedPermille = permille - peer.m_gate.m_admittedPermille;
    const auto shedPenalty = criteria.m_isTolerantChain ? tolerantShedPenalty : criteria.m_latencyObjective;
    const auto penalty = scaled (criteria.m_latencyObjective, peer.m_gate.m_failurePermille / permille) +
                         scaled (shedPenalty, shedPermille / permille) + occupancyPenalty (peer, criteria);

    if (peer.m_member.m_zone == criteria.m_zone)
        return penalty;

    return penalty + zonePenalty (criteria);
}

Duration expectedTime (const Peer& peer, const TargetCriteria& criteria) noexcept
{
    const auto serviceTime = peer.routeTimeOf (criteria.m_route);
    const auto queueTime = peer.expectedQueueTime (criteria.m_route, criteria.m_now) * queueTimeWeight;

    if (criteria.m_isTolerantChain)
        return std::max (serviceTime, criteria.m_latencyObjective / tolerantFastEnoughDivisor) + queueTime;

    const auto boundedTime = std::max (serviceTime, criteria.m_latencyObjective / fastEnoughDivisor);
    return boundedTime + serviceTime / speedPreferenceDivisor + queueTime;
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

        const auto jitter = criteria.m_isTolerantChain
                                ? 1.0
                                : 1.0 + static_cast<double> (random.below (maxJitterPercent)) / 100.0;
        const auto cost = scaled (expectedTime (*peer, criteria), jitter) + penaltyOf (*peer, criteria);

        if (best != nullptr && cost >= bestCost)
            continue;

        best = peer;
        bestCost = cost;
    }

    return best;
}

} // namespace plankledge
