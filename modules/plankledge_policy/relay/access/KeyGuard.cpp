#include "plankledge_policy/relay/access/KeyGuard.h"

#include "plankledge_policy/relay/LogText.h"

#include <algorithm>
#include <vector>

namespace plankledge
{

namespace
{

/** Parts of the bound, see the class. */
constexpr int readDivisor = 5;
constexpr int askDivisor = 5;
constexpr int askAnyoneDivisor = 2;
constexpr int marginDivisor = 10;

constexpr Duration readStoreAfter (Duration bound) noexcept
{
    return bound * 6 / 10;
}

/** Between two questions: an answer takes a few milliseconds, so one that has not come by then is not waited
    for. */
constexpr Duration askPause = Milliseconds (350);

/** Between two reads of the store by a node that follows nothing: at six tenths of a bound of 5 s there is
   time for two. */
constexpr Duration readPause = Milliseconds (1200);

/** Ages beyond this say nothing; far above any bound, so that sums can't overflow. */
constexpr Duration longestAge = std::chrono::hours (1);

bool isReader (const Peer& peer) noexcept
{
    return peer.m_store.m_isFollowing && peer.m_store.m_isReached;
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

void KeyGuard::onRoutes (Turn& turn, const RouteTable& routes, const Peer* watcher)
{
    m_version = routes.version();
    m_areKeysDeclared = routes.organisations().areDeclared();
    m_proof.onInForce (m_version);

    if (isNeeded() && ! isProven (turn.now()))
        ask (turn, watcher);
}

void KeyGuard::onConfirmed (Time askedAt) noexcept
{
    m_proof.add (m_version, askedAt);
}

//==============================================================================
void KeyGuard::onQuestion (Turn& turn, LinkId link, const InstanceName& from,
                           const ProofQuestion& question) const
{
    if (const auto known = age (turn.now()); known.has_value() && *known <= longestAge)
        turn.emit (ReplyOnLink { link, from, ProofAnswer { question.m_askedAt, m_version, *known } });
}

void KeyGuard::onAnswer (Turn& turn, const ProofAnswer& answer)
{
    const Time askedAt (answer.m_askedAt);
    const bool isSound = answer.m_age >= Duration::zero() && answer.m_age <= longestAge &&
                         askedAt <= turn.now() && turn.now() - askedAt <= longestAge;

    if (isSound)
        m_proof.add (answer.m_version, askedAt - answer.m_age);

    noteChange (turn);
}

//==============================================================================
void KeyGuard::onTick (Turn& turn, const Peer* watcher, bool isWatching)
{
    noteChange (turn);

    if (! isNeeded() || ! isOlderThan (m_bound / (isWatching ? askAnyoneDivisor : askDivisor), turn.now()))
        return;

    if (turn.now() - m_askedAt >= askPause)
        ask (turn, watcher);

    const bool isReadDue = isOlderThan (readStoreAfter (m_bound), turn.now()) && ! isWatching;

    if (isReadDue && turn.now() - m_readAt >= readPause)
        readStore (turn);
}

bool KeyGuard::isOlderThan (Duration limit, Time now) const noexcept
{
    const auto known = age (now);
    return ! known.has_value() || *known >= limit;
}

/** @returns the watcher of the zone; where the proof is rather old, a reader of any zone, or any node */
const Peer* KeyGuard::whomToAsk (Turn& turn, const Peer* watcher) const
{
    const bool isLate = isOlderThan (m_bound / askAnyoneDivisor, turn.now());

    if (! isLate && watcher != nullptr)
        return watcher;

    std::vector<const Peer*> readers;
    std::vector<const Peer*> heard;

    for (const auto* peer : m_peers.others())
    {
        if (! peer->m_isHeard)
            continue;

        heard.push_back (peer);

        if (isReader (*peer))
            readers.push_back (peer);
    }

    // Every other question goes to just anyone, since who reads the store may be known no better than the
    // proof.
    const bool isAnyone = readers.empty() || (isLate && turn.random().below (2) == 0);
    const auto& chosen = isAnyone ? heard : readers;
    return chosen.empty() ? nullptr : chosen[turn.random().below (chosen.size())];
}

void KeyGuard::ask (Turn& turn, const Peer* watcher)
{
    const auto* peer = whomToAsk (turn, watcher);

    if (peer == nullptr)
        return;

    m_askedAt = turn.now();
    turn.emit (SendToPeer { peer->m_member.m_id.m_instance, peer->m_member.m_endpoint,
                            ProofQuestion { turn.now().time_since_epoch() } });
}

void KeyGuard::readStore (Turn& turn)
{
    m_readAt = turn.now();
    turn.emit (ReadTopic { StoreTopic::routes, TopicReading::once, {}, {} });
}

void KeyGuard::noteChange (Turn& turn)
{
    const bool isOpen = ! isNeeded() || isProven (turn.now());

    if (! isNeeded() || isOpen == m_wasProven)
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
    const auto left = holdsFor (now);
    return ! left.has_value() || *left > Duration::zero();
}

std::optional<Duration> KeyGuard::holdsFor (Time now) const noexcept
{
    if (! isNeeded())
        return std::nullopt;

    const auto known = age (now);
    return known.has_value() ? m_bound - m_bound / marginDivisor - *known : Duration::zero();
}

std::optional<Duration> KeyGuard::age (Time now) const noexcept
{
    const auto provenAt = m_proof.provenAt();
    return provenAt.has_value() ? std::optional<Duration> (now - *provenAt) : std::nullopt;
}

Duration KeyGuard::longestRead() const noexcept
{
    return isNeeded() ? m_bound / readDivisor : Duration::zero();
}

} // namespace plankledge
