#include "plankledge_policy/relay/access/KeyGuard.h"

#include "plankledge_policy/relay/LogText.h"

#include <algorithm>
#include <vector>

namespace plankledge
{

namespace
{

/** Fractions of the revocation bound; see KeyGuard. */
constexpr int readDivisor = 5;
constexpr int askDivisor = 5;
constexpr int askAnyPeerDivisor = 2;
constexpr int marginDivisor = 10;

constexpr Duration storeReadThreshold (Duration bound) noexcept
{
    return bound * 6 / 10;
}

/** Minimum time between two questions; must exceed the usual time until an answer arrives, a few ms. */
constexpr Duration questionInterval = Milliseconds (350);

/** Minimum time between two reads of the store by a node that is not the primary follower. With a bound of
    5 s, this allows two reads between 6/10 of it and the expiry of the proof. */
constexpr Duration storeReadInterval = Milliseconds (1200);

/** Greater ages are ignored, so that arithmetic on ages received from peers can't overflow. */
constexpr Duration maxAcceptedAge = std::chrono::hours (1);

bool readsStore (const Peer& peer) noexcept
{
    return peer.m_store.m_isFollowing && peer.m_store.m_isStoreReachable;
}

} // namespace

//==============================================================================
KeyGuard::KeyGuard (const RelaySettings& settings, const Member& self, const PeerTable& peers)
    : m_bound (settings.m_revocationBound)
    , m_self (self.m_id.m_instance)
    , m_zone (self.m_zone)
    , m_peers (peers)
{
}

void KeyGuard::onRoutes (Turn& turn, const RouteTable& routes, const Peer* primary)
{
    m_version = routes.version();
    m_areKeysDeclared = routes.organisations().areDeclared();
    m_proof.onInForce (m_version);

    if (isProofRequired() && ! isProven (turn.now()))
        ask (turn, primary);
}

void KeyGuard::onConfirmed (Time askedAt) noexcept
{
    m_proof.add (m_version, askedAt);
}

//==============================================================================
void KeyGuard::onQuestion (Turn& turn, LinkId link, const InstanceName& from,
                           const ProofQuery& question) const
{
    if (const auto known = age (turn.now()); known.has_value() && *known <= maxAcceptedAge)
        turn.emit (ReplyOnLink { link, from, ProofAnswer { question.m_askedAt, m_version, *known } });
}

void KeyGuard::onAnswer (Turn& turn, const ProofAnswer& answer)
{
    const Time askedAt (answer.m_askedAt);
    const bool isPlausible = answer.m_age >= Duration::zero() && answer.m_age <= maxAcceptedAge &&
                             askedAt <= turn.now() && turn.now() - askedAt <= maxAcceptedAge;

    if (isPlausible)
        m_proof.add (answer.m_version, askedAt - answer.m_age);

    logProofChange (turn);
}

//==============================================================================
void KeyGuard::onTick (Turn& turn, const Peer* primary, bool isPrimary)
{
    logProofChange (turn);

    if (! isProofRequired() ||
        ! isOlderThan (m_bound / (isPrimary ? askAnyPeerDivisor : askDivisor), turn.now()))
        return;

    if (turn.now() - m_askedAt >= questionInterval)
        ask (turn, primary);

    const bool isReadDue = isOlderThan (storeReadThreshold (m_bound), turn.now()) && ! isPrimary;

    if (isReadDue && turn.now() - m_readAt >= storeReadInterval)
        readStore (turn);
}

bool KeyGuard::isOlderThan (Duration limit, Time now) const noexcept
{
    const auto known = age (now);
    return ! known.has_value() || *known >= limit;
}

/** @returns the primary follower of the zone. If there is none, or the proof is at least half the bound old:
    a random follower of any zone that reaches the store, or any reachable peer. */
const Peer* KeyGuard::selectPeerToAsk (Turn& turn, const Peer* primary) const
{
    const bool isLate = isOlderThan (m_bound / askAnyPeerDivisor, turn.now());

    if (! isLate && primary != nullptr)
        return primary;

    std::vector<const Peer*> followers;
    std::vector<const Peer*> reachable;

    for (const auto* peer : m_peers.others())
    {
        if (! peer->m_isReachable)
            continue;

        reachable.push_back (peer);

        if (readsStore (*peer))
            followers.push_back (peer);
    }

    // Half of the late questions go to any reachable peer, since the list of followers may be as stale as the
    // proof.
    const bool isAnyPeer = followers.empty() || (isLate && turn.random().below (2) == 0);
    const auto& eligible = isAnyPeer ? reachable : followers;
    return eligible.empty() ? nullptr : eligible[turn.random().below (eligible.size())];
}

void KeyGuard::ask (Turn& turn, const Peer* primary)
{
    const auto* peer = selectPeerToAsk (turn, primary);

    if (peer == nullptr)
        return;

    m_askedAt = turn.now();
    turn.emit (SendToPeer { peer->m_member.m_id.m_instance, peer->m_member.m_endpoint,
                            ProofQuery { turn.now().time_since_epoch() } });
}

void KeyGuard::readStore (Turn& turn)
{
    m_readAt = turn.now();
    turn.emit (ReadTopic { StoreTopic::routes, TopicReadMode::once, {}, {} });
}

void KeyGuard::logProofChange (Turn& turn)
{
    const bool isOpen = ! isProofRequired() || isProven (turn.now());

    if (! isProofRequired() || isOpen == m_wasProven)
        return;

    m_wasProven = isOpen;
    const auto known = age (turn.now());
    turn.emit (LogDecision { isOpen ? Decision::keysOpened : Decision::keysClosed,
                             {},
                             { { "proof_age_ms", known.has_value() ? detail::milliseconds (*known) : "none" },
                               { "bound_ms", detail::milliseconds (m_bound) },
                               { "version", detail::number (m_version) } } });
}

//==============================================================================
bool KeyGuard::isProven (Time now) const noexcept
{
    const auto left = remainingValidity (now);
    return ! left.has_value() || *left > Duration::zero();
}

std::optional<Duration> KeyGuard::remainingValidity (Time now) const noexcept
{
    if (! isProofRequired())
        return std::nullopt;

    const auto known = age (now);
    return known.has_value() ? m_bound - m_bound / marginDivisor - *known : Duration::zero();
}

std::optional<Duration> KeyGuard::age (Time now) const noexcept
{
    const auto provenAt = m_proof.provenAt();
    return provenAt.has_value() ? std::optional<Duration> (now - *provenAt) : std::nullopt;
}

Duration KeyGuard::maxReadWait() const noexcept
{
    return isProofRequired() ? m_bound / readDivisor : Duration::zero();
}

} // namespace plankledge
