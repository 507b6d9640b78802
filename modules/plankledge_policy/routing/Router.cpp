#include "plankledge_policy/routing/Router.h"

#include "plankledge_core/Hash.h"
#include <algorithm>

namespace plankledge
{

namespace
{

constexpr std::uint32_t consecutiveFailuresToEject = 5;
constexpr Duration baseEjectionTime = Milliseconds (500);
constexpr std::uint32_t maxDoublings = 4;
constexpr std::uint16_t spillPermille = 900;

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
        // Failures of most instances indicate overload of the service: ignore the ejections.
        usable = candidates;
    }

    if (usable.empty())
        return std::nullopt;

    usable = subsetOf (std::move (usable));

    std::vector<Member> preferred;

    for (const auto& member : usable)
    {
        const auto state = m_states.find (member.m_id.m_instance);
        const bool isOverloaded = state != m_states.end() && state->second.m_loadPermille >= spillPermille;

        if (member.m_zone == m_self.m_zone && ! isOverloaded)
            preferred.push_back (member);
    }

    const auto& choices = preferred.empty() ? usable : preferred;
    const auto& first = choices[random.below (choices.size())];
    const auto& second = choices[random.below (choices.size())];
    return loadScore (second.m_id.m_instance) < loadScore (first.m_id.m_instance) ? second : first;
}

bool Router::isUsable (const NodeId& id, Time now) const
{
    const auto found = m_states.find (id.m_instance);

    if (found == m_states.end())
        return true;

    // An ejection applies to one incarnation only: a restarted instance gets calls at once. Otherwise, if
    // both candidates of a key restart, its requests are refused for up to 8 s.
    const auto& state = found->second;
    return state.m_ejectedUntil <= now || id.m_incarnation > state.m_ejectedIncarnation;
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
    state.m_ejectedUntil = Time();
}

void Router::onUnreachable (const NodeId& id, Time now)
{
    eject (m_states[id.m_instance], id.m_incarnation, now);
}

void Router::onFailed (const NodeId& id, Time now)
{
    auto& state = m_states[id.m_instance];

    if (++state.m_failures >= consecutiveFailuresToEject)
        eject (state, id.m_incarnation, now);
}

void Router::eject (State& state, Incarnation incarnation, Time now)
{
    if (incarnation < state.m_ejectedIncarnation)
        return;

    if (incarnation > state.m_ejectedIncarnation)
        state.m_ejections = 0;

    state.m_ejectedIncarnation = incarnation;
    const auto doublings = std::min (state.m_ejections, maxDoublings);
    state.m_ejectedUntil = now + baseEjectionTime * (1U << doublings);
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
        const bool isLeftInOwnZone = left.m_zone == m_self.m_zone;
        const bool isRightInOwnZone = right.m_zone == m_self.m_zone;

        if (isLeftInOwnZone != isRightInOwnZone)
            return isLeftInOwnZone;

        return rendezvousWeight (seed, left.m_id.m_instance) > rendezvousWeight (seed, right.m_id.m_instance);
    });

    candidates.resize (subsetSize);
    return candidates;
}

std::uint64_t Router::loadScore (const InstanceName& instance) const
{
    const auto found = m_states.find (instance);

    if (found == m_states.end())
        return 0;

    // A call in flight from this node counts as 1 % of the instance's capacity.
    constexpr std::uint64_t permillePerCall = 10;
    return found->second.m_inFlight * permillePerCall + found->second.m_loadPermille;
}

} // namespace plankledge
