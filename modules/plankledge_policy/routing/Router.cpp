#include "plankledge_policy/routing/Router.h"

#include "plankledge_core/Hash.h"
#include <algorithm>

namespace plankledge
{

namespace
{

constexpr std::uint32_t failuresToEject = 5;
constexpr Duration firstEjection = Milliseconds (500);
constexpr std::uint32_t mostDoublings = 4;
constexpr std::uint16_t loadedPermille = 900;

} // namespace

//==============================================================================
std::optional<Member> Router::pick (const std::vector<Member>& candidates, Random& random, Time now) const
{
    std::vector<Member> usable;

    for (const auto& candidate : candidates)
        if (isUsable (candidate.m_id, now))
            usable.push_back (candidate);

    if (usable.empty() || usable.size() * 2 < candidates.size())
    {
        // Failures of most of a service say more about the load than about its instances.
        usable = candidates;
    }

    if (usable.empty())
        return std::nullopt;

    usable = subsetOf (std::move (usable));

    std::vector<Member> nearby;

    for (const auto& member : usable)
    {
        const auto state = m_states.find (member.m_id.m_instance);
        const bool isLoaded = state != m_states.end() && state->second.m_loadPermille >= loadedPermille;

        if (member.m_zone == m_self.m_zone && ! isLoaded)
            nearby.push_back (member);
    }

    const auto& choices = nearby.empty() ? usable : nearby;
    const auto& first = choices[random.below (choices.size())];
    const auto& second = choices[random.below (choices.size())];
    return scoreOf (second.m_id.m_instance) < scoreOf (first.m_id.m_instance) ? second : first;
}

bool Router::isUsable (const NodeId& id, Time now) const
{
    const auto found = m_states.find (id.m_instance);

    if (found == m_states.end())
        return true;

    // What an earlier life failed says nothing of the next: without this, two candidates of a key that both
    // came back were left out for up to 8 s, and keyed work was refused all that time.
    const auto& state = found->second;
    return state.m_unusableUntil <= now || id.m_incarnation > state.m_ejectedLife;
}

//==============================================================================
void Router::onSent (const InstanceName& instance)
{
    ++m_states[instance].m_inFlight;
}

void Router::onEnded (const InstanceName& instance)
{
    const auto state = m_states.find (instance);

    if (state != m_states.end() && state->second.m_inFlight > 0)
        --state->second.m_inFlight;
}

void Router::onAnswered (const InstanceName& instance, std::uint16_t loadPermille)
{
    auto& state = m_states[instance];
    state.m_loadPermille = loadPermille;
    state.m_failures = 0;
    state.m_ejections = 0;
    state.m_unusableUntil = Time();
}

void Router::onUnreachable (const NodeId& id, Time now)
{
    eject (m_states[id.m_instance], id.m_incarnation, now);
}

void Router::onFailed (const NodeId& id, Time now)
{
    auto& state = m_states[id.m_instance];

    if (++state.m_failures >= failuresToEject)
        eject (state, id.m_incarnation, now);
}

void Router::eject (State& state, Incarnation life, Time now)
{
    if (life < state.m_ejectedLife)
        return;

    if (life > state.m_ejectedLife)
        state.m_ejections = 0;

    state.m_ejectedLife = life;
    const auto doublings = std::min (state.m_ejections, mostDoublings);
    state.m_unusableUntil = now + firstEjection * (1U << doublings);
    state.m_failures = 0;
    ++state.m_ejections;
}

//==============================================================================
std::vector<Member> Router::subsetOf (std::vector<Member> candidates) const
{
    if (candidates.size() <= subsetSize)
        return candidates;

    const auto seed = hashText (m_self.m_id.m_instance);
    std::sort (candidates.begin(), candidates.end(), [this, seed] (const Member& left, const Member& right) {
        const bool isLeftNear = left.m_zone == m_self.m_zone;
        const bool isRightNear = right.m_zone == m_self.m_zone;

        if (isLeftNear != isRightNear)
            return isLeftNear;

        return rendezvousWeight (seed, left.m_id.m_instance) > rendezvousWeight (seed, right.m_id.m_instance);
    });

    candidates.resize (subsetSize);
    return candidates;
}

std::uint64_t Router::scoreOf (const InstanceName& instance) const
{
    const auto found = m_states.find (instance);

    if (found == m_states.end())
        return 0;

    // One call in flight from here weighs as much as a hundredth of the instance's capacity.
    constexpr std::uint64_t permillePerCall = 10;
    return found->second.m_inFlight * permillePerCall + found->second.m_loadPermille;
}

} // namespace plankledge
