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

/** @returns whether the peer can't be reached, or is only now asked whether it can */
bool isGone (const Peer& peer, Time now) noexcept
{
    return ! peer.m_isHeard && peer.m_askedAt.has_value() &&
           now - *peer.m_askedAt > StoreFollowers::replacedAfter;
}

} // namespace

//==============================================================================
StoreFollowers::StoreFollowers (const Member& self)
    : m_self (self.m_id.m_instance)
    , m_zone (self.m_zone)
    , m_hash (hashText (self.m_zone))
{
}

StoreFollowers::Chosen StoreFollowers::choose (const PeerTable& peers, bool isReached, Time now) const
{
    std::vector<Ranked> ranked;

    for (const auto* peer : peers.ofZone (m_zone))
        ranked.push_back ({ rendezvousWeight (m_hash, peer->m_member.m_id.m_instance), peer });

    std::sort (ranked.begin(), ranked.end(),
               [] (const Ranked& one, const Ranked& other) { return one.m_weight > other.m_weight; });

    Chosen chosen;
    std::size_t served = 0; // that can read the store, as far as is known
    std::size_t asked = 0;  // that can be reached

    for (const auto& [weight, peer] : ranked)
    {
        if (served >= perZone || asked >= mostPerZone)
            break;

        const bool isSelf = peer->m_member.m_id.m_instance == m_self;

        if (isSelf)
        {
            chosen.m_isSelf = true;
            chosen.m_isFirst = served == 0;
        }
        else
        {
            chosen.m_others.push_back (peer->m_member.m_id.m_instance);
        }

        if (! isSelf && isGone (*peer, now))
            continue;

        ++asked;
        served += (isSelf ? isReached : peer->m_store.m_isReached) ? 1 : 0;
    }

    return chosen;
}

} // namespace plankledge
