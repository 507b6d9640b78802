#include "plankledge_policy/relay/entry/TargetSelection.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** What another zone costs at least, as time: the round trip, and its bytes are dear on short calls, too.
   With half of both figures a third more bytes went between zones and no more was served; with twice as much
   the days of high load were worse (docs/experiments/03 and 04). */
constexpr Duration leastZonePenalty = Milliseconds (50);

/** What another zone costs, as part of the objective. */
constexpr int zonePenaltyDivisor = 5;

/** How often a wait counts against the time of the work itself. */
constexpr int waitWeight = 4;

/** Work that takes less than this part of the objective is fast enough: there is no use in going to another
    zone for faster work still. */
constexpr int fastEnoughDivisor = 8;

/** Among targets that are fast enough the faster one is preferred by this part of the difference. */
constexpr int speedPreferenceDivisor = 4;

/** Expected times are made longer at random by up to this, in percent. */
constexpr std::uint64_t spreadPercent = 10;

/** One choice in so many is made at random among the targets of the own zone. */
constexpr std::uint64_t choicesPerTrial = 50;

/** A target that fails more often than this is not tried at random. */
constexpr std::uint16_t mostFailuresOfTrial = 300;

constexpr double permille = 1000.0;

Duration scaled (Duration duration, double factor) noexcept
{
    return Duration (static_cast<Duration::rep> (static_cast<double> (duration.count()) * factor));
}

Duration penaltyOf (const Peer& peer, const ChoiceNeeds& needs) noexcept
{
    // What a gate refuses at the entries never shows in its queue: without this one of two gates stood at
    // half of its level for ten seconds, while the other, in the next zone, was idle, and a third of all
    // requests was refused.
    const auto refused = permille - peer.m_gate.m_admittedPermille;
    const auto penalty =
        scaled (needs.m_latencyObjective, (peer.m_gate.m_failurePermille + refused) / permille);

    if (peer.m_member.m_zone == needs.m_zone)
        return penalty;

    return penalty + std::max (leastZonePenalty, needs.m_latencyObjective / zonePenaltyDivisor);
}

Duration timeOf (const Peer& peer, const ChoiceNeeds& needs) noexcept
{
    const auto work = peer.timeOf (needs.m_route);
    const auto counted = std::max (work, needs.m_latencyObjective / fastEnoughDivisor);
    return counted + work / speedPreferenceDivisor + peer.expectedWait (needs.m_route) * waitWeight;
}

/** @returns any target of the own zone that has free slots and seldom fails, or nullptr */
const Peer* chooseAny (const std::vector<const Peer*>& candidates, const ChoiceNeeds& needs, Random& random)
{
    std::vector<const Peer*> fit;

    for (const auto* peer : candidates)
        if (peer->m_member.m_zone == needs.m_zone && peer->load() < peer->m_gate.m_limit &&
            peer->m_gate.m_failurePermille < mostFailuresOfTrial &&
            ! needs.m_tried.contains (peer->m_member.m_id.m_instance))
            fit.push_back (peer);

    return fit.empty() ? nullptr : fit[random.below (fit.size())];
}

} // namespace

//==============================================================================
const Peer* chooseTarget (const std::vector<const Peer*>& candidates, const ChoiceNeeds& needs,
                          Random& random)
{
    if (random.below (choicesPerTrial) == 0)
        if (const auto* peer = chooseAny (candidates, needs, random))
            return peer;

    const Peer* best = nullptr;
    Duration bestCost {};

    for (const auto* peer : candidates)
    {
        if (needs.m_tried.contains (peer->m_member.m_id.m_instance))
            continue;

        const auto spread = 1.0 + static_cast<double> (random.below (spreadPercent)) / 100.0;
        const auto cost = scaled (timeOf (*peer, needs), spread) + penaltyOf (*peer, needs);

        if (best != nullptr && cost >= bestCost)
            continue;

        best = peer;
        bestCost = cost;
    }

    return best;
}

} // namespace plankledge
