#include "plankledge_policy/relay/store/StoreSync.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** How long a starting node waits for routes from its followers before it reads them from the store. Allows
    for a retried hello, in case the follower starts later than this node. With 400 ms, most of 197 nodes that
    started together also read the routes from the store. */
constexpr Duration initialRoutesDelay = Milliseconds (1000);

/** Delay of the listing when all nodes start for the first time. A node that lists the members before the
    others have written their records would take itself for the only node and follow the store, as all of 194
    nodes did without the delay. Nodes start within 0.3 s of each other, and callers come seconds later. */
constexpr Duration firstListingDelay = Milliseconds (700);

/** Bounds of the exponential backoff between reads of the routes by a node that doesn't follow the store. */
constexpr Duration minRoutesInterval = std::chrono::seconds (1);
constexpr Duration maxRoutesInterval = std::chrono::seconds (8);

/** A pull that is unanswered for this long may be retried at another peer. */
constexpr Duration pullTimeout = Milliseconds (200);

/** Interval of hellos to followers. Updates are pushed, so hellos only serve to detect a failed follower
    within the time in which a configuration change must be in force. */
constexpr Duration followerHelloInterval = std::chrono::seconds (1);

/** How long the primary follower's reads of the routes may block. A read sent while the store is unresponsive
    is never answered: it must time out, and the next one be answered, within 3 s of the store's recovery,
    after which a change that is not yet in force counts as late. */
constexpr Duration primaryReadWait = Milliseconds (1500);

/** How long the store may fail to answer before it counts as unreachable, if keys must be proven: another
    follower has to take over before the proof expires. With 1 s, proofs would reach an age of 4.2 s if the
    primary follower loses the store (computed: a read, its timeout, this delay, a hello and a question). */
constexpr Duration storeTimeoutForProofs = Milliseconds (300);

/** Mean time between the writes of different nodes when the store has lost their records; limits them to
    about 330 appends per second in total, of the several hundred that the store accepts. */
constexpr Duration appendSpacing = Milliseconds (3);

/** Interval of hellos to a follower that doesn't answer; shorter while no routes are known. */
constexpr Duration helloRetryInterval = Milliseconds (700);
constexpr Duration helloRetryIntervalWithoutRoutes = Milliseconds (150);

} // namespace

//==============================================================================
StoreSync::StoreSync (const Member& self, PeerTable& peers)
    : m_self (self)
    , m_peers (peers)
    , m_followers (self)
    , m_routesInterval (minRoutesInterval)
{
}

void StoreSync::start (Turn& turn, bool isFirstStart)
{
    // Jitter lets most nodes receive the members from the nodes that list them first.
    const auto listAt = turn.now() + (isFirstStart ? firstListingDelay + turn.jittered (firstListingDelay / 2)
                                                   : Duration::zero());
    m_listAt = listAt;
    m_followerSeenAt = listAt;
    m_readerSeenAt = listAt;
    m_routesAt = listAt + initialRoutesDelay;

    if (isFirstStart)
        publish (turn, "first start");

    listMembersWhenDue (turn);
}

void StoreSync::listMembersWhenDue (Turn& turn)
{
    if (! m_listAt.has_value() || turn.now() < *m_listAt)
        return;

    m_listAt.reset();

    if (m_directory.end().isKnown())
        return; // already received from a peer

    turn.emit (ReadTopic { StoreTopic::members, TopicReadMode::once, {}, {} });
}

//==============================================================================
void StoreSync::onTick (Turn& turn, bool areRoutesKnown)
{
    listMembersWhenDue (turn);
    m_isStoreReachable = ! m_storeLostSince.has_value() || turn.now() - *m_storeLostSince <= storeTimeout();
    m_selection = m_followers.select (m_peers, m_isStoreReachable, turn.now());
    updateLastSeenTimes (turn.now());

    // Until the members are known, a node would always select itself.
    const bool isSelected = m_selection.m_isSelf && m_directory.end().isKnown();
    const bool isAlone = isIsolated (turn.now());
    setFollowing (turn, isSelected || isAlone, isAlone || m_selection.m_isFirst,
                  isSelected ? "chosen" : "alone");
    readRoutesOnce (turn, areRoutesKnown);
    rewriteWhenDue (turn);
    withdrawUnreachableNodes (turn);
}

Duration StoreSync::storeTimeout() const noexcept
{
    return m_maxReadWait > Duration::zero() ? storeTimeoutForProofs : responseTimeout;
}

/** @returns the selected followers that are still known */
std::vector<const Peer*> StoreSync::selectedPeers() const
{
    std::vector<const Peer*> result;

    for (const auto& instance : m_selection.m_others)
        if (const auto* peer = m_peers.find (instance))
            result.push_back (peer);

    return result;
}

const Peer* StoreSync::primaryFollower() const
{
    if (isPrimaryFollower())
        return nullptr;

    for (const auto* peer : selectedPeers())
        if (peer->m_isReachable && peer->m_store.m_isFollowing && peer->m_store.m_isStoreReachable)
            return peer;

    return nullptr;
}

void StoreSync::updateLastSeenTimes (Time now)
{
    if (m_isFollowing && m_isStoreReachable)
        m_readerSeenAt = now;

    for (const auto* peer : selectedPeers())
    {
        if (! peer->m_isReachable || ! peer->m_store.m_isFollowing)
            continue;

        m_followerSeenAt = now;
        m_readerSeenAt = peer->m_store.m_isStoreReachable ? now : m_readerSeenAt;
    }
}

void StoreSync::setFollowing (Turn& turn, bool isFollowing, bool isPrimary, const char* reason)
{
    const auto wait =
        isPrimary ? m_maxReadWait > Duration::zero() ? m_maxReadWait : primaryReadWait : Duration();

    if (isFollowing == m_isFollowing && (! isFollowing || wait == m_readWait))
        return;

    const bool isChange = isFollowing != m_isFollowing;
    m_isFollowing = isFollowing;
    m_readWait = wait;
    const auto reading = isFollowing ? TopicReadMode::follow : TopicReadMode::stop;
    turn.emit (ReadTopic { StoreTopic::members, reading, m_directory.end(), {} });
    turn.emit (ReadTopic { StoreTopic::routes, reading, {}, wait });

    if (! isChange)
        return;

    m_storeLostSince.reset();
    turn.emit (LogDecision {
        Decision::storeFollowing,
        {},
        { { "follows", isFollowing ? "yes" : "no" }, { "reason", isFollowing ? reason : "others do" } } });
}

void StoreSync::readRoutesOnce (Turn& turn, bool areRoutesKnown)
{
    if (areRoutesKnown || m_isFollowing || turn.now() < m_routesAt)
        return;

    m_routesAt = turn.now() + m_routesInterval;
    m_routesInterval = std::min (m_routesInterval * 2, maxRoutesInterval);
    turn.emit (ReadTopic { StoreTopic::routes, TopicReadMode::once, {}, {} });
}

void StoreSync::onPause (Time now)
{
    m_followerSeenAt = now;
    m_readerSeenAt = now;
    m_unreachableSince.clear();
}

//==============================================================================
void StoreSync::onReached (const StoreReachabilityChanged& event, Time now)
{
    if (event.m_isStoreReachable)
        m_storeLostSince.reset();
    else if (! m_storeLostSince.has_value())
        m_storeLostSince = now;
}

bool StoreSync::onRead (Turn& turn, const MembersRead& read)
{
    const auto before = m_directory.end();
    m_directory.apply (read);
    ensureLeavingTarget (turn, read);
    ensureOwnRecord (turn, read);
    return m_directory.end() > before;
}

void StoreSync::onTargetLeaving (Turn& turn, const TargetIncarnation& target)
{
    if (m_leavingTarget == target)
        return;

    m_leavingTarget = target;
    publish (turn, "target is leaving");
}

bool StoreSync::onMembersUpdate (Turn& turn, const MembersUpdate& update)
{
    if (update.m_end <= m_directory.end())
        return false;

    // The update contains all records, so the listing in progress is no longer needed.
    if (! m_directory.end().isKnown() && ! m_isFollowing)
        turn.emit (ReadTopic { StoreTopic::members, TopicReadMode::stop, {}, {} });

    const MembersRead read { update.m_members, update.m_withdrawn, {}, update.m_end };
    m_directory.apply (read);
    ensureOwnRecord (turn, read);
    return true;
}

void StoreSync::onPeerView (Turn& turn, const Peer& peer)
{
    if (peer.m_store.m_membersEnd <= m_directory.end() || turn.now() - m_pulledAt < pullTimeout)
        return;

    // Avoids traffic between zones unless no follower of this zone reaches the store.
    const bool isPreferredSource = peer.m_member.m_zone == m_self.m_zone || ! m_directory.end().isKnown();

    if (! isPreferredSource && turn.now() - m_readerSeenAt <= responseTimeout)
        return;

    m_pulledAt = turn.now();
    turn.emit (SendToPeer { peer.m_member.m_id.m_instance, peer.m_member.m_endpoint,
                            MembersPull { m_directory.end() } });
}

std::vector<const Peer*> StoreSync::peersDueForHello (Time now, bool areRoutesKnown) const
{
    std::vector<const Peer*> result;
    const auto retryInterval = areRoutesKnown ? helloRetryInterval : helloRetryIntervalWithoutRoutes;

    for (const auto* peer : selectedPeers())
    {
        const bool isHelloDue = peer->m_unansweredHelloAt.has_value()
                                    ? now - peer->m_lastHelloAt >= retryInterval
                                    : now - peer->m_gateUpdatedAt >= followerHelloInterval;

        if (isHelloDue)
            result.push_back (peer);
    }

    return result;
}

//==============================================================================
/** Writes the own record once if the store has none, and again only if it was removed or replaced. */
void StoreSync::ensureOwnRecord (Turn& turn, const MembersRead& read)
{
    const auto isSelf = [this] (const InstanceName& instance) { return instance == m_self.m_id.m_instance; };
    const bool isRemoved = std::any_of (read.m_withdrawn.begin(), read.m_withdrawn.end(), isSelf) ||
                           std::any_of (read.m_unreadable.begin(), read.m_unreadable.end(), isSelf);
    const bool isReplaced =
        std::any_of (read.m_members.begin(), read.m_members.end(), [&] (const Member& member) {
            return isSelf (member.m_id.m_instance) && ! m_directory.matches (m_self);
        });

    if (! m_directory.end().isKnown())
        return;

    const auto era = m_directory.end().m_era;
    const bool isOtherEra = std::exchange (m_checkedEra, era) != era;

    if (isOtherEra && m_isPublished && ! m_directory.matches (m_self))
        return scheduleRewrite (turn);

    if (m_isPublished && ! isRemoved && ! isReplaced)
        return;

    m_isPublished = true;

    if (! isRemoved && m_directory.matches (m_self))
        return;

    publish (turn, isRemoved ? "gone" : isReplaced ? "another address" : "none there");
}

/** Adopts the leaving target that the own record states from before a restart. Writes the record again if it
    lacks the present one: an earlier append may have taken effect late, or the store may have lost it. */
void StoreSync::ensureLeavingTarget (Turn& turn, const MembersRead& read)
{
    const bool isOwnRecordRead =
        std::any_of (read.m_members.begin(), read.m_members.end(), [this] (const Member& member) {
            return member.m_id.m_instance == m_self.m_id.m_instance;
        });

    if (! isOwnRecordRead || read.m_leavingTarget == m_leavingTarget)
        return;

    if (! m_leavingTarget.has_value())
        m_leavingTarget = read.m_leavingTarget;
    else
        publish (turn, "target is leaving");
}

/** Schedules the write at a random time. Otherwise all nodes whose records were lost would write at once, and
    the store would reject most of them. */
void StoreSync::scheduleRewrite (Turn& turn)
{
    const auto spread = appendSpacing * static_cast<Duration::rep> (m_peers.size());
    m_rewriteAt = turn.now() + Duration (static_cast<Duration::rep> (
                                   turn.random().below (static_cast<std::uint64_t> (spread.count()) + 1)));
}

void StoreSync::rewriteWhenDue (Turn& turn)
{
    if (! m_rewriteAt.has_value() || turn.now() < *m_rewriteAt)
        return;

    m_rewriteAt.reset();

    // A write in flight when the store was restored may have taken effect.
    if (! m_directory.matches (m_self))
        publish (turn, "lost by the store");
}

void StoreSync::publish (Turn& turn, const char* reason)
{
    m_isPublished = true;
    turn.emit (PublishMember { m_self, m_leavingTarget });
    turn.emit (LogDecision { Decision::memberPublished, {}, { { "reason", reason } } });
}

/** Otherwise nodes that ended without withdrawing their records would stay in the store for ever. */
void StoreSync::withdrawUnreachableNodes (Turn& turn)
{
    if (! m_selection.m_isFirst || ! m_isFollowing || ! m_isStoreReachable)
        return m_unreachableSince.clear();

    for (const auto* peer : m_peers.ofZone (m_self.m_zone))
    {
        const auto& instance = peer->m_member.m_id.m_instance;

        if (peer->m_isReachable || instance == m_self.m_id.m_instance)
        {
            m_unreachableSince.erase (instance);
            continue;
        }

        auto& since = m_unreachableSince.try_emplace (instance, turn.now()).first->second;

        if (turn.now() - since <= withdrawalDelay)
            continue;

        since = turn.now();
        turn.emit (WithdrawMember { instance });
    }
}

} // namespace plankledge
