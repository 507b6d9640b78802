#include "plankledge_policy/relay/entry/ServiceRoom.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Share of the slots to use, as in AdmissionLevel. Closer to 1, random variation of the load makes queues
    grow. */
constexpr double desiredUtilisation = 0.97;

/** Lower bound of the level of a gate, the smallest value above 0 that a status can state. Bounds the demand
    if a faulty peer states 0. */
constexpr double minLevel = 0.001;

double levelOf (const Peer& peer) noexcept
{
    return static_cast<double> (peer.m_gate.m_admittedPermille) / 1000.0;
}

} // namespace

//==============================================================================
ServiceRoom::ServiceRoom (const std::vector<const Peer*>& gates, Time now) noexcept
{
    double levels = 0.0;

    for (const auto* peer : gates)
    {
        const auto slots = peer->sustainableConcurrency();
        const auto load = static_cast<double> (peer->load());
        const bool isOutdated = now - peer->m_gateUpdatedAt > statusLifetime;
        const auto used = isOutdated ? slots : std::min (load, slots);
        const auto queued = isOutdated ? 0.0 : load - used;

        levels += levelOf (*peer) * slots;
        m_slots += slots;
        m_used += used;
        m_demand += used / std::clamp (levelOf (*peer), minLevel, 1.0) + queued;
    }

    m_meanLevel = m_slots > 0.0 ? levels / m_slots : 1.0;
}

double ServiceRoom::level() const noexcept
{
    const auto usable = m_slots * desiredUtilisation;
    return m_demand > usable ? std::min (1.0, std::max (m_meanLevel, usable / m_demand)) : 1.0;
}

double ServiceRoom::freeShare() const noexcept
{
    return m_slots > 0.0 ? (m_slots - m_used) / m_slots : 0.0;
}

} // namespace plankledge
