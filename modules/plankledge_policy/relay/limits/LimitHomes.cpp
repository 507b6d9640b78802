#include "plankledge_policy/relay/limits/LimitHomes.h"

#include "plankledge_core/Hash.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Key of the rendezvous order of homes, equal on all nodes. */
const std::uint64_t homeOrderKey = hashText ("homes of limits");

/** Interval of hellos to a home that doesn't answer; about the duration of a process restart. */
constexpr Duration helloRetryInterval = Milliseconds (700);

bool isUnreachable (const Peer& peer, Time now) noexcept
{
    return ! peer.m_isReachable && peer.m_unansweredHelloAt.has_value() &&
           now - *peer.m_unansweredHelloAt > LimitHomes::replacementDelay;
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
        ranked.emplace_back (rendezvousWeight (homeOrderKey, peer->m_member.m_id.m_instance), peer);

    ranked.emplace_back (rendezvousWeight (homeOrderKey, m_peers.self()), self);
    std::sort (ranked.begin(), ranked.end(),
               [] (const auto& one, const auto& other) { return one.first > other.first; });

    const auto homeCount = std::clamp<std::size_t> (ranked.size() / nodesPerHome, 1, maxHomes);
    std::size_t reachable = 0;
    m_homes.clear();

    for (const auto& [weight, peer] : ranked)
    {
        if (reachable >= homeCount)
            break;

        // Unreachable homes stay in the list, so that hellos are still sent to them.
        m_homes.push_back (peer->m_member.m_id.m_instance);
        reachable += isUnreachable (*peer, now) ? 0 : 1;
    }
}

std::vector<const Peer*> LimitHomes::peersDueForHello (Time now) const
{
    std::vector<const Peer*> result;

    for (const auto& instance : m_homes)
    {
        const auto* peer = m_peers.find (instance);

        if (peer == nullptr || instance == m_peers.self())
            continue;

        const auto elapsed =
            peer->m_unansweredHelloAt.has_value() ? now - peer->m_lastHelloAt : now - peer->m_lastFrameAt;

        if (elapsed >= (peer->m_unansweredHelloAt.has_value() ? helloRetryInterval : contactInterval))
            result.push_back (peer);
    }

    return result;
}

bool LimitHomes::isUsable (const Peer& peer) const noexcept
{
    const auto unresponsive = m_unresponsive.find (peer.m_member.m_id.m_instance);
    return peer.m_isReachable &&
           (unresponsive == m_unresponsive.end() || peer.m_lastFrameAt > unresponsive->second);
}

const Peer* LimitHomes::homeOf (const OrganisationName& organisation) const
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

double LimitHomes::reachableShare (Time now) const noexcept
{
    std::size_t reaching = 1; // this node itself

    for (const auto* peer : m_peers.others())
        reaching += peer->m_lastFrameAt > Time() && now - peer->m_lastFrameAt <= reachabilityWindow ? 1 : 0;

    return static_cast<double> (reaching) / static_cast<double> (m_peers.size());
}

} // namespace plankledge
