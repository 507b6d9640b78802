#include "plankledge_policy/relay/store/StoreFollowers.h"

#include "plankledge_core/Hash.h"

#include <algorithm>

namespace plankledge
{

namespace
{

struct Ranked
{
    std::uint64_t m_weight = 0;
    const Peer* m_peer = nullptr;
};

/** @returns true if hellos to the peer have been unanswered for longer than replacementDelay */
bool isUnreachable (const Peer& peer, Time now) noexcept
{
    return ! peer.m_isReachable && peer.m_unansweredHelloAt.has_value() &&
           now - *peer.m_unansweredHelloAt > StoreFollowers::replacementDelay;
}

} // namespace

//==============================================================================
StoreFollowers::StoreFollowers (const Member& self)
    : m_self (self.m_id.m_instance)
    , m_zone (self.m_zone)
    , m_hash (hashText (self.m_zone))
{
}

StoreFollowers::Selection StoreFollowers::select (const PeerTable& peers, bool isReached, Time now) const
{
    std::vector<Ranked> ranked;

    for (const auto* peer : peers.ofZone (m_zone))
        ranked.push_back ({ rendezvousWeight (m_hash, peer->m_member.m_id.m_instance), peer });

    std::sort (ranked.begin(), ranked.end(),
               [] (const Ranked& one, const Ranked& other) { return one.m_weight > other.m_weight; });

    Selection selection;
    std::size_t readerCount = 0;    // selected nodes known to reach the store
    std::size_t reachableCount = 0; // selected nodes that are reachable

    for (const auto& [weight, peer] : ranked)
    {
        if (readerCount >= followersPerZone || reachableCount >= maxFollowersPerZone)
            break;

        const bool isSelf = peer->m_member.m_id.m_instance == m_self;

        if (isSelf)
        {
            selection.m_isSelf = true;
            selection.m_isFirst = readerCount == 0;
        }
        else
        {
            selection.m_others.push_back (peer->m_member.m_id.m_instance);
        }

        if (! isSelf && isUnreachable (*peer, now))
            continue;

        ++reachableCount;
        readerCount += (isSelf ? isReached : peer->m_store.m_isStoreReachable) ? 1 : 0;
    }

    return selection;
}

} // namespace plankledge
