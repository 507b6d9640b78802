#include "plankledge_policy/relay/peers/PeerContacts.h"

#include "plankledge_core/Hash.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** A service that no request needed for so long is dropped. */
constexpr Duration neededFor = std::chrono::seconds (60);

/** A gate's status that was heard so lately needs no hello. Load also comes with answers, so only quiet peers
    are asked; half a second is short against the seconds in which load and admission levels move. */
constexpr Duration freshFor = Milliseconds (500);

/** The same for a peer of another zone to which no request went lately. Its admission level is told at once
   when it moves; the load is of use once requests go there. Asked as often as the others, such peers took 118
   of 143 MB that went between zones on a quiet day of 194 nodes. */
constexpr Duration idleFreshFor = std::chrono::seconds (2);

/** A request went there lately: longer than any request of a route that is called takes. */
constexpr Duration usedFor = std::chrono::seconds (1);

/** A peer to which requests are under way is asked as soon as nothing was heard of it for so long. */
constexpr Duration quietWithRequests = Milliseconds (200);

/** Calls are learned from each peer after this. They change with the targets' releases and hardly between. */
constexpr Duration callsPeriod = std::chrono::seconds (2);

/** The first time they are asked for again after this, then after twice as long, and so on: just after a
   start a peer has seen none yet, and until they are known nothing is refused for a service that only calls
   reach. With two seconds from the first time on, 446 of 675 requests failed below in the first three
   seconds, now 194. */
constexpr Duration firstCallsPeriod = Milliseconds (200);

/** Between two hellos to a peer that does not answer: as long as a process takes to start again. */
constexpr Duration askAgainAfter = Milliseconds (700);

/** A peer that has left hellos unanswered for so long gives up its place in the subset of its service. */
constexpr Duration keptInSubset = std::chrono::seconds (2);

bool isGone (const Peer& peer, Time now) noexcept
{
    return ! peer.m_isHeard && peer.m_askedAt.has_value() && now - *peer.m_askedAt > keptInSubset;
}

} // namespace

//==============================================================================
PeerContacts::PeerContacts (const Member& self)
    : m_self (self.m_id.m_instance)
    , m_zone (self.m_zone)
    , m_hash (hashText (self.m_id.m_instance))
{
}

bool PeerContacts::need (const ServiceName& service, Time now)
{
    const auto [entry, isNew] = m_neededAt.try_emplace (service, now);
    entry->second = now;
    return isNew;
}

std::vector<Peer*> PeerContacts::ofService (const ServiceName& service, const PeerTable& peers,
                                            Time now) const
{
    struct Ranked
    {
        bool m_isOtherZone = false;
        std::uint64_t m_weight = 0;
        Peer* m_peer = nullptr;
    };

    std::vector<Ranked> ranked;

    for (auto* peer : peers.ofService (service))
    {
        const auto& member = peer->m_member;

        if (member.m_id.m_instance != m_self)
            ranked.push_back (
                { member.m_zone != m_zone, rendezvousWeight (m_hash, member.m_id.m_instance), peer });
    }

    std::sort (ranked.begin(), ranked.end(), [] (const Ranked& one, const Ranked& other) {
        return one.m_isOtherZone != other.m_isOtherZone ? other.m_isOtherZone : one.m_weight > other.m_weight;
    });

    std::vector<Peer*> subset;
    std::size_t inZone = 0;
    std::size_t counted = 0;

    for (const auto& entry : ranked)
    {
        if (counted >= most)
            break;

        if (! entry.m_isOtherZone && inZone >= mostInZone)
            continue;

        subset.push_back (entry.m_peer);

        if (isGone (*entry.m_peer, now))
            continue;

        ++counted;
        inZone += entry.m_isOtherZone ? 0 : 1;
    }

    return subset;
}

std::vector<Peer*> PeerContacts::due (const PeerTable& peers, Time now)
{
    std::erase_if (m_neededAt, [now] (const auto& entry) { return now - entry.second > neededFor; });
    std::vector<Peer*> result;

    for (const auto& [service, neededAt] : m_neededAt)
        for (auto* peer : ofService (service, peers, now))
            if (isDue (*peer, m_zone, now))
                result.push_back (peer);

    return result;
}

bool PeerContacts::areCallsDue (const Peer& peer, Time now) noexcept
{
    auto period = firstCallsPeriod;

    for (unsigned heard = 1; heard < peer.m_callsHeard && period < callsPeriod; ++heard)
        period *= 2;

    return now - peer.m_callsAt >= std::min (period, callsPeriod);
}

bool PeerContacts::isQuietWithRequests (const Peer& peer, Time now) noexcept
{
    return ! peer.m_askedAt.has_value() && peer.m_underWay > 0 && now - peer.m_heardAt >= quietWithRequests;
}

bool PeerContacts::isDue (const Peer& peer, const ZoneName& zone, Time now) noexcept
{
    if (peer.m_askedAt.has_value())
        return now - peer.m_lastAskedAt >= askAgainAfter;

    if (isQuietWithRequests (peer, now))
        return true;

    const bool isIdle = peer.m_member.m_zone != zone && now - peer.m_sentAt >= usedFor;
    return now - peer.m_gateAt >= (isIdle ? idleFreshFor : freshFor) || areCallsDue (peer, now);
}

} // namespace plankledge
