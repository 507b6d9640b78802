#include "plankledge_policy/relay/peers/PeerContacts.h"

#include "plankledge_core/Hash.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** A service that no request has needed for this long is dropped. */
constexpr Duration unusedServiceLifetime = std::chrono::seconds (60);

/** Maximum age of a gate's status before a hello is due. Answers to requests also carry the status, so hellos
    only go to peers without recent traffic. Short compared with the seconds in which load and admission
    levels change. */
constexpr Duration gateStatusMaxAge = Milliseconds (500);

/** The same for a peer of another zone that has received no recent requests; reduces traffic between zones.
    Changes of the admission level are pushed, and the selection of a target needs the load only once requests
    go there. ServiceRoom counts a gate as full once its status is older than ServiceRoom::statusLifetime, so
    that an idle peer of another zone counts as full for part of the time. With gateStatusMaxAge, such peers
    caused 118 of 143 MB of traffic between zones of 194 nodes at low load. */
constexpr Duration idleGateStatusMaxAge = std::chrono::seconds (2);

/** A peer is idle if no request was sent to it within this time. */
constexpr Duration recentUseWindow = std::chrono::seconds (1);

/** A hello is due to a peer with requests in flight from which no frame has been received for this long. */
constexpr Duration livenessCheckDelay = Milliseconds (200);

/** Upper bound of the interval at which calls are requested from a peer; they rarely change except with a
    release of its target. */
constexpr Duration maxCallsInterval = std::chrono::seconds (2);

/** Initial interval at which calls are requested from a peer; it doubles up to the maximum. Must be short:
    a peer that has just started has seen no calls yet, and until they are known, no request is rejected on
    behalf of a service that is reached only through calls. With 2 s from the start, 446 of 675 requests
    failed at a downstream service in the first 3 s, and 194 with this. */
constexpr Duration minCallsInterval = Milliseconds (200);

/** Interval of hellos to a peer that doesn't answer; about the duration of a process restart. */
constexpr Duration helloRetryInterval = Milliseconds (700);

/** A peer that has left hellos unanswered for this long no longer counts towards the size of the subset. */
constexpr Duration subsetRetention = std::chrono::seconds (2);

bool isUnreachable (const Peer& peer, Time now) noexcept
{
    return ! peer.m_isReachable && peer.m_unansweredHelloAt.has_value() &&
           now - *peer.m_unansweredHelloAt > subsetRetention;
}

} // namespace

//==============================================================================
PeerContacts::PeerContacts (const Member& self)
    : m_self (self.m_id.m_instance)
    , m_zone (self.m_zone)
    , m_hash (hashText (self.m_id.m_instance))
{
}

bool PeerContacts::trackService (const ServiceName& service, Time now)
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
    std::size_t reachableInZone = 0;
    std::size_t reachableCount = 0;

    for (const auto& entry : ranked)
    {
        if (reachableCount >= maxInSubset)
            break;

        if (! entry.m_isOtherZone && reachableInZone >= maxInZone)
            continue;

        subset.push_back (entry.m_peer);

        if (isUnreachable (*entry.m_peer, now))
            continue;

        ++reachableCount;
        reachableInZone += entry.m_isOtherZone ? 0 : 1;
    }

    return subset;
}

std::vector<Peer*> PeerContacts::peersDueForHello (const PeerTable& peers, Time now)
{
    std::erase_if (m_neededAt,
                   [now] (const auto& entry) { return now - entry.second > unusedServiceLifetime; });
    std::vector<Peer*> result;

    for (const auto& [service, neededAt] : m_neededAt)
        for (auto* peer : ofService (service, peers, now))
            if (isHelloDue (*peer, m_zone, now))
                result.push_back (peer);

    return result;
}

bool PeerContacts::areCallsDue (const Peer& peer, Time now) noexcept
{
    auto period = minCallsInterval;

    for (unsigned update = 1; update < peer.m_callsUpdates && period < maxCallsInterval; ++update)
        period *= 2;

    return now - peer.m_callsAt >= std::min (period, maxCallsInterval);
}

bool PeerContacts::needsLivenessCheck (const Peer& peer, Time now) noexcept
{
    return ! peer.m_unansweredHelloAt.has_value() && peer.m_requestsInFlight > 0 &&
           now - peer.m_lastFrameAt >= livenessCheckDelay;
}

bool PeerContacts::isHelloDue (const Peer& peer, const ZoneName& zone, Time now) noexcept
{
    if (peer.m_unansweredHelloAt.has_value())
        return now - peer.m_lastHelloAt >= helloRetryInterval;

    if (needsLivenessCheck (peer, now))
        return true;

    const bool isIdle = peer.m_member.m_zone != zone && now - peer.m_sentAt >= recentUseWindow;
    return now - peer.m_gateUpdatedAt >= (isIdle ? idleGateStatusMaxAge : gateStatusMaxAge) ||
           areCallsDue (peer, now);
}

} // namespace plankledge
