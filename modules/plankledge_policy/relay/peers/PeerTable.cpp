#include "plankledge_policy/relay/peers/PeerTable.h"

#include <algorithm>
#include <numeric>

namespace plankledge
{

Duration Peer::routeTimeOf (const RouteName& route) const noexcept
{
    const auto found = m_routeTimes.find (route);
    return found == m_routeTimes.end() ? Duration::zero() : found->second;
}

namespace
{

/** Targets with this failure rate, in thousandths, or a higher one do not count as free capacity: they have
    free slots because they fail at once. Overloaded targets that reject up to 0.55 of their requests do
    count, since a rejected request has not run. */
constexpr std::uint16_t maxFailurePermille = 800;

/** Upper bound of the expected wait for a rate limit. */
constexpr Duration maxRateWait = std::chrono::minutes (1);

/** @returns how long a request sent now waits for the rate limit of the peer's target */
Duration expectedRateWait (const Peer& peer, Time now) noexcept
{
    if (! peer.m_gate.m_rate.has_value())
        return {};

    const auto& rate = *peer.m_gate.m_rate;
    const auto age = std::chrono::duration<double> (now - peer.m_gateUpdatedAt).count();
    const auto tokens =
        std::min (rate.m_tokens + age * rate.m_perSecond, rate.m_burst) - peer.m_sentSinceStatus;

    // Also covers values of a faulty peer that are not numbers.
    if (! (tokens < 1.0 && rate.m_perSecond > 0.0))
        return {};

    const auto wait =
        std::min ((1.0 - tokens) / rate.m_perSecond, std::chrono::duration<double> (maxRateWait).count());
    return std::chrono::duration_cast<Duration> (std::chrono::duration<double> (wait));
}

} // namespace

Duration Peer::expectedQueueTime (const RouteName& route, Time now) const noexcept
{
    const auto limit = std::max<std::uint32_t> (1, m_gate.m_limit);
    const auto rateWait = expectedRateWait (*this, now);

    if (load() < limit)
        return rateWait;

    return std::max (rateWait, (m_gate.m_queuedWork + m_workSinceStatus + routeTimeOf (route)) / limit);
}

bool Peer::hasFreeSlots (const RouteName& route, Time now) const noexcept
{
    return load() < m_gate.m_limit && expectedQueueTime (route, now) == Duration::zero() &&
           m_gate.m_failurePermille < maxFailurePermille;
}

double Peer::sustainableConcurrency() const noexcept
{
    if (! m_gate.m_rate.has_value() || m_routeTimes.empty())
        return m_gate.m_limit;

    const auto sum =
        std::accumulate (m_routeTimes.begin(), m_routeTimes.end(), Duration::zero(),
                         [] (Duration total, const auto& route) { return total + route.second; });
    const auto meanTime =
        std::chrono::duration<double> (sum).count() / static_cast<double> (m_routeTimes.size());
    return std::clamp<double> (m_gate.m_rate->m_perSecond * meanTime, 0.0, m_gate.m_limit);
}

//==============================================================================
PeerTable::PeerTable (const Member& self)
    : m_self (self.m_id.m_instance)
{
    auto& own = m_peers[m_self];
    own.m_member = self;
    own.m_isReachable = true;
    rebuildIndexes();
}

void PeerTable::rebuildIndexes()
{
    m_byService.clear();
    m_byZone.clear();

    for (auto& [instance, peer] : m_peers)
    {
        m_byService[peer.m_member.m_service].push_back (&peer);
        m_byZone[peer.m_member.m_zone].push_back (&peer);
    }
}

namespace
{

/** A restart at the same address doesn't update the record, so the store may hold an earlier incarnation. */
bool isEarlierIncarnation (const Member& member, const Peer& known) noexcept
{
    return known.m_member.m_endpoint == member.m_endpoint && known.m_member.m_service == member.m_service &&
           known.m_member.m_zone == member.m_zone && known.m_member.m_id > member.m_id;
}

} // namespace

bool PeerTable::addOrUpdate (const Member& member, Source source)
{
    const auto& instance = member.m_id.m_instance;

    if (instance == m_self)
        return false;

    // An address belongs to one node at a time: the latest to be added replaces an unreachable one.
    const auto erased = std::erase_if (m_peers, [&] (const auto& entry) {
        return entry.first != instance && entry.first != m_self &&
               entry.second.m_member.m_endpoint == member.m_endpoint && ! entry.second.m_isReachable;
    });

    if (erased > 0)
        rebuildIndexes();

    auto& peer = m_peers[instance];

    if (peer.m_member == member ||
        (source == Source::store && (peer.m_isReachable || isEarlierIncarnation (member, peer))))
        return false;

    const bool isSameIncarnation =
        peer.m_member.m_id == member.m_id && peer.m_member.m_endpoint == member.m_endpoint;

    if (! isSameIncarnation)
        peer = Peer();

    peer.m_member = member;
    rebuildIndexes();
    return ! isSameIncarnation;
}

void PeerTable::removeIfUnreachable (const InstanceName& instance)
{
    const auto found = m_peers.find (instance);

    // A reachable node is kept, even if the store has no record of it.
    if (found != m_peers.end() && instance != m_self && ! found->second.m_isReachable)
    {
        m_peers.erase (found);
        rebuildIndexes();
    }
}

bool PeerTable::onFrameReceived (const NodeId& from, Time now)
{
    auto* peer = find (from.m_instance);

    if (peer == nullptr || peer->m_member.m_id != from)
        return false;

    peer->m_lastFrameAt = now;
    peer->m_unansweredHelloAt.reset();
    return ! std::exchange (peer->m_isReachable, true);
}

bool PeerTable::onGate (const InstanceName& instance, const GateStatus& gate, Time now)
{
    m_restrictions.onGate (instance, gate);
    auto* peer = find (instance);

    if (peer == nullptr)
        return false;

    const bool wasOpen = std::exchange (peer->m_gate, gate).m_isOpen;
    peer->m_gateUpdatedAt = now;
    peer->m_sentSinceStatus = 0;
    peer->m_workSinceStatus = Duration::zero();
    return gate.m_isOpen && ! wasOpen;
}

void PeerTable::onSent (const InstanceName& instance, const RouteName& route, Time now)
{
    auto* peer = find (instance);

    if (peer == nullptr)
        return;

    // Only requests that find no free slot add to the queueing time of later ones.
    if (peer->load() >= peer->m_gate.m_limit)
        peer->m_workSinceStatus += peer->routeTimeOf (route);

    peer->m_sentAt = now;
    ++peer->m_sentSinceStatus;
    ++peer->m_requestsInFlight;
}

void PeerTable::onEnded (const InstanceName& instance)
{
    auto* peer = find (instance);

    // The count was reset if the peer has restarted.
    if (peer != nullptr && peer->m_requestsInFlight > 0)
        --peer->m_requestsInFlight;
}

void PeerTable::onRouteTime (const InstanceName& instance, const RouteTime& time)
{
    if (auto* peer = find (instance))
        peer->m_routeTimes[time.m_route] = time.m_time;
}

void PeerTable::onRouteTimes (const InstanceName& instance, const std::vector<RouteTime>& times)
{
    auto* peer = find (instance);

    if (peer == nullptr)
        return;

    peer->m_routeTimes.clear();

    for (const auto& time : times)
        peer->m_routeTimes[time.m_route] = time.m_time;
}

bool PeerTable::onUnreachable (const InstanceName& instance)
{
    auto* peer = find (instance);
    return peer != nullptr && instance != m_self && std::exchange (peer->m_isReachable, false);
}

void PeerTable::onStoreView (const InstanceName& instance, const StoreView& view)
{
    if (auto* peer = find (instance))
        peer->m_store = view;
}

void PeerTable::onCalls (const InstanceName& instance, Time now)
{
    auto* peer = find (instance);

    if (peer == nullptr)
        return;

    peer->m_callsAt = now;
    ++peer->m_callsUpdates;
}

void PeerTable::onHelloSent (const InstanceName& instance, Time now)
{
    auto* peer = find (instance);

    if (peer == nullptr)
        return;

    peer->m_lastHelloAt = now;

    if (! peer->m_unansweredHelloAt.has_value())
        peer->m_unansweredHelloAt = now;
}

bool PeerTable::onInboundLink (const InstanceName& instance, LinkId link)
{
    auto* peer = find (instance);
    return peer != nullptr && std::exchange (peer->m_inboundLink, link) != link;
}

void PeerTable::onLinkClosed (LinkId link)
{
    for (auto& [instance, peer] : m_peers)
        if (peer.m_inboundLink == link)
            peer.m_inboundLink = 0;
}

void PeerTable::onPause (Time now) noexcept
{
    for (auto& [instance, peer] : m_peers)
    {
        peer.m_lastFrameAt = std::max (peer.m_lastFrameAt, now);

        if (peer.m_unansweredHelloAt.has_value())
            peer.m_unansweredHelloAt = now;
    }
}

std::vector<InstanceName> PeerTable::takeNewlyUnreachable (Time now)
{
    std::vector<InstanceName> unreachable;

    for (auto& [instance, peer] : m_peers)
    {
        if (instance == m_self || ! peer.m_isReachable)
            continue;

        const bool isUnanswered =
            peer.m_unansweredHelloAt.has_value() && now - *peer.m_unansweredHelloAt > helloTimeout;

        if (! isUnanswered && now - peer.m_lastFrameAt <= inactivityTimeout)
            continue;

        peer.m_isReachable = false;
        unreachable.push_back (instance);
    }

    return unreachable;
}

//==============================================================================
Peer* PeerTable::find (const InstanceName& instance) noexcept
{
    const auto found = m_peers.find (instance);
    return found == m_peers.end() ? nullptr : &found->second;
}

const Peer* PeerTable::find (const InstanceName& instance) const noexcept
{
    const auto found = m_peers.find (instance);
    return found == m_peers.end() ? nullptr : &found->second;
}

std::vector<const Peer*> PeerTable::acceptingRequests (const ServiceName& service) const
{
    std::vector<const Peer*> result;

    for (const auto* peer : ofService (service))
        if (peer->m_isReachable && peer->m_gate.m_isOpen)
            result.push_back (peer);

    return result;
}

const std::vector<Peer*>& PeerTable::ofService (const ServiceName& service) const
{
    const auto found = m_byService.find (service);
    return found == m_byService.end() ? m_noPeers : found->second;
}

const std::vector<Peer*>& PeerTable::ofZone (const ZoneName& zone) const
{
    const auto found = m_byZone.find (zone);
    return found == m_byZone.end() ? m_noPeers : found->second;
}

std::vector<const Peer*> PeerTable::others() const
{
    std::vector<const Peer*> result;

    for (const auto& [instance, peer] : m_peers)
        if (instance != m_self)
            result.push_back (&peer);

    return result;
}

} // namespace plankledge
