#include "plankledge_policy/relay/limits/LimitHomes.h"

#include "plankledge_core/Hash.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** The key of the order in which nodes are homes, the same at all. */
const std::uint64_t orderOfHomes = hashText ("homes of limits");

/** Between two hellos to a home that does not answer: as long as a process takes to start again. */
constexpr Duration askAgainAfter = Milliseconds (700);

bool isGone (const Peer& peer, Time now) noexcept
{
    return ! peer.m_isHeard && peer.m_askedAt.has_value() &&
           now - *peer.m_askedAt > LimitHomes::replacedAfter;
}

} // namespace

//==============================================================================
LimitHomes::LimitHomes (const PeerTable& peers)
    : m_peers (peers)
{
}

void LimitHomes::update (Time now)
{
    std::vector<std::pair<std::uint64_t, const Peer*>> ranked;
    const auto* self = m_peers.find (m_peers.self());

    for (const auto* peer : m_peers.others())
        ranked.emplace_back (rendezvousWeight (orderOfHomes, peer->m_member.m_id.m_instance), peer);

    ranked.emplace_back (rendezvousWeight (orderOfHomes, m_peers.self()), self);
    std::sort (ranked.begin(), ranked.end(),
               [] (const auto& one, const auto& other) { return one.first > other.first; });

    const auto wanted = std::clamp<std::size_t> (ranked.size() / nodesOfHome, 1, most);
    std::size_t reachable = 0;
    m_homes.clear();

    for (const auto& [weight, peer] : ranked)
    {
        if (reachable >= wanted)
            break;

        // Those that are gone stay on the list, so that they are found again.
        m_homes.push_back (peer->m_member.m_id.m_instance);
        reachable += isGone (*peer, now) ? 0 : 1;
    }
}

std::vector<const Peer*> LimitHomes::due (Time now) const
{
    std::vector<const Peer*> result;

    for (const auto& instance : m_homes)
    {
        const auto* peer = m_peers.find (instance);

        if (peer == nullptr || instance == m_peers.self())
            continue;

        const auto since = peer->m_askedAt.has_value() ? now - peer->m_lastAskedAt : now - peer->m_heardAt;

        if (since >= (peer->m_askedAt.has_value() ? askAgainAfter : contactPeriod))
            result.push_back (peer);
    }

    return result;
}

bool LimitHomes::isUsable (const Peer& peer) const noexcept
{
    const auto shunned = m_shunned.find (peer.m_member.m_id.m_instance);
    return peer.m_isHeard && (shunned == m_shunned.end() || peer.m_heardAt > shunned->second);
}

const Peer* LimitHomes::of (const OrganisationName& organisation) const
{
    const auto hash = hashText (organisation);
    const Peer* best = nullptr;
    std::uint64_t bestWeight = 0;

    for (const auto& instance : m_homes)
    {
        const auto* peer = m_peers.find (instance);

        if (peer == nullptr || ! isUsable (*peer))
            continue;

        const auto weight = rendezvousWeight (hash, instance);

        if (best != nullptr && weight <= bestWeight)
            continue;

        best = peer;
        bestWeight = weight;
    }

    return best;
}

double LimitHomes::reachingShare (Time now) const noexcept
{
    std::size_t reaching = 1; // this node itself

    for (const auto* peer : m_peers.others())
        reaching += peer->m_heardAt > Time() && now - peer->m_heardAt <= reachedFor ? 1 : 0;

    return static_cast<double> (reaching) / static_cast<double> (m_peers.size());
}

} // namespace plankledge
