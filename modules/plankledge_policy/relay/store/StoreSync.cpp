#include "plankledge_policy/relay/store/StoreSync.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** A node that has just started waits so long for the routes of its followers before it asks the store: until
   a hello is answered whose first try came before the follower was up. With 400 ms, as long as the nodes'
   starts are apart, most of 197 nodes that started together asked the store, too. */
constexpr Duration patienceForRoutes = Milliseconds (1000);

/** Nodes that all start for the first time list the members after this: they start within 0.3 s of each
   other, and whoever lists before the others have written takes itself for the only node, follows the store,
   and asks it for routes. All of 194 nodes did, for 1,248 calls in a day. Callers come seconds later. */
constexpr Duration firstStartsApart = Milliseconds (700);

/** Between two times that it asks; doubles up to the longest. */
constexpr Duration firstRoutesPause = std::chrono::seconds (1);
constexpr Duration longestRoutesPause = std::chrono::seconds (8);

/** A pull that was not answered by then goes to the next peer that has more. */
constexpr Duration pullPatience = Milliseconds (200);

/** Followers are asked so often by the nodes that hear from them: news is told at once, so this only has to
   find a silent one within the time in which a change must be in force. */
constexpr Duration followerPeriod = std::chrono::seconds (1);

/** The reads of the one follower of a zone that has to notice a silent store wait so long. Reads into the
    silence are not answered after it either, so their time must run out, and a next one be answered, within 3
   s of its end: after that a change counts as late where it is not in force. */
constexpr Duration watchfulRead = Milliseconds (1500);

/** The same, and how long the store may fail, where keys have to be proven: another must read before the
   proof is too old. With 1 s a zone's proof would be up to 4.2 s old when its first follower meets a silent
   store (computed: a read, its time-out, this, a hello and a question).
 */
constexpr Duration patienceForProofs = Milliseconds (300);

/** Of a store that takes several hundred appends a second all nodes together use up to 330, where it has lost
 * their records. */
constexpr Duration writingTime = Milliseconds (3);

/** Between two hellos to a follower that does not answer; sooner while this node has nothing to go by. */
constexpr Duration askAgainAfter = Milliseconds (700);
constexpr Duration askAgainWithoutRoutes = Milliseconds (150);

} // namespace

//==============================================================================
StoreSync::StoreSync (const Member& self, PeerTable& peers)
    : m_self (self)
    , m_peers (peers)
    , m_followers (self)
    , m_routesPause (firstRoutesPause)
{
}

void StoreSync::start (Turn& turn, bool isFirstStart)
{
    // Spread, so that many are told by those that listed first.
    const auto listAt = turn.now() + (isFirstStart ? firstStartsApart + turn.jittered (firstStartsApart / 2)
                                                   : Duration::zero());
    m_listAt = listAt;
    m_followerSeenAt = listAt;
    m_readerSeenAt = listAt;
    m_routesAt = listAt + patienceForRoutes;

    if (isFirstStart)
        publish (turn, "first start");

    listWhenDue (turn);
}

void StoreSync::listWhenDue (Turn& turn)
{
    if (! m_listAt.has_value() || turn.now() < *m_listAt)
        return;

    m_listAt.reset();

    if (m_book.end().isKnown())
        return; // told by a node that was sooner

    turn.emit (ReadTopic { StoreTopic::members, TopicReading::once, {}, {} });
}

//==============================================================================
void StoreSync::onTick (Turn& turn, bool areRoutesKnown)
{
    listWhenDue (turn);
    m_isReached = ! m_lostSince.has_value() || turn.now() - *m_lostSince <= patienceWithStore();
    m_chosen = m_followers.choose (m_peers, m_isReached, turn.now());
    noteFollowers (turn.now());

    // Before the members are known every node looks like the only one.
    const bool isChosen = m_chosen.m_isSelf && m_book.end().isKnown();
    const bool isAlone = isIsolated (turn.now());
    setFollowing (turn, isChosen || isAlone, isAlone || m_chosen.m_isFirst, isChosen ? "chosen" : "alone");
    readRoutesOnce (turn, areRoutesKnown);
    writeAgainWhenDue (turn);
    withdrawDead (turn);
}

Duration StoreSync::patienceWithStore() const noexcept
{
    return m_longestRead > Duration::zero() ? patienceForProofs : patience;
}

/** Peers may have been forgotten since they were chosen. */
std::vector<const Peer*> StoreSync::chosenPeers() const
{
    std::vector<const Peer*> result;

    for (const auto& instance : m_chosen.m_others)
        if (const auto* peer = m_peers.find (instance))
            result.push_back (peer);

    return result;
}

const Peer* StoreSync::watcher() const
{
    if (isWatching())
        return nullptr;

    for (const auto* peer : chosenPeers())
        if (peer->m_isHeard && peer->m_store.m_isFollowing && peer->m_store.m_isReached)
            return peer;

    return nullptr;
}

void StoreSync::noteFollowers (Time now)
{
    if (m_isFollowing && m_isReached)
        m_readerSeenAt = now;

    for (const auto* peer : chosenPeers())
    {
        if (! peer->m_isHeard || ! peer->m_store.m_isFollowing)
            continue;

        m_followerSeenAt = now;
        m_readerSeenAt = peer->m_store.m_isReached ? now : m_readerSeenAt;
    }
}

void StoreSync::setFollowing (Turn& turn, bool isFollowing, bool isWatchful, const char* reason)
{
    const auto wait =
        isWatchful ? m_longestRead > Duration::zero() ? m_longestRead : watchfulRead : Duration();

    if (isFollowing == m_isFollowing && (! isFollowing || wait == m_readsWait))
        return;

    const bool isChange = isFollowing != m_isFollowing;
    m_isFollowing = isFollowing;
    m_readsWait = wait;
    const auto reading = isFollowing ? TopicReading::follow : TopicReading::rest;
    turn.emit (ReadTopic { StoreTopic::members, reading, m_book.end(), {} });
    turn.emit (ReadTopic { StoreTopic::routes, reading, {}, wait });

    if (! isChange)
        return;

    m_lostSince.reset();
    turn.emit (LogDecision {
        Decision::storeFollowing,
        {},
        { { "follows", isFollowing ? "yes" : "no" }, { "reason", isFollowing ? reason : "others do" } } });
}

void StoreSync::readRoutesOnce (Turn& turn, bool areRoutesKnown)
{
    if (areRoutesKnown || m_isFollowing || turn.now() < m_routesAt)
        return;

    m_routesAt = turn.now() + m_routesPause;
    m_routesPause = std::min (m_routesPause * 2, longestRoutesPause);
    turn.emit (ReadTopic { StoreTopic::routes, TopicReading::once, {}, {} });
}

void StoreSync::onPause (Time now)
{
    m_followerSeenAt = now;
    m_readerSeenAt = now;
    m_unheardSince.clear();
}

//==============================================================================
void StoreSync::onReached (const StoreReached& event, Time now)
{
    if (event.m_isReached)
        m_lostSince.reset();
    else if (! m_lostSince.has_value())
        m_lostSince = now;
}

bool StoreSync::onRead (Turn& turn, const MembersRead& read)
{
    const auto before = m_book.end();
    m_book.take (read);
    keepOwnRecord (turn, read);
    return m_book.end() > before;
}

bool StoreSync::onTold (Turn& turn, const MembersTold& told)
{
    if (told.m_end <= m_book.end())
        return false;

    // What was listed so far is told whole.
    if (! m_book.end().isKnown() && ! m_isFollowing)
        turn.emit (ReadTopic { StoreTopic::members, TopicReading::rest, {}, {} });

    const MembersRead read { told.m_members, told.m_withdrawn, {}, told.m_end };
    m_book.take (read);
    keepOwnRecord (turn, read);
    return true;
}

void StoreSync::onPeerView (Turn& turn, const Peer& peer)
{
    if (peer.m_store.m_membersEnd <= m_book.end() || turn.now() - m_pulledAt < pullPatience)
        return;

    // Bytes between zones are dear, and each zone has nodes that read the store, unless it turns them away.
    const bool isNear = peer.m_member.m_zone == m_self.m_zone || ! m_book.end().isKnown();

    if (! isNear && turn.now() - m_readerSeenAt <= patience)
        return;

    m_pulledAt = turn.now();
    turn.emit (
        SendToPeer { peer.m_member.m_id.m_instance, peer.m_member.m_endpoint, MembersPull { m_book.end() } });
}

std::vector<const Peer*> StoreSync::due (Time now, bool areRoutesKnown) const
{
    std::vector<const Peer*> result;
    const auto again = areRoutesKnown ? askAgainAfter : askAgainWithoutRoutes;

    for (const auto* peer : chosenPeers())
    {
        const bool isDue = peer->m_askedAt.has_value() ? now - peer->m_lastAskedAt >= again
                                                       : now - peer->m_gateAt >= followerPeriod;

        if (isDue)
            result.push_back (peer);
    }

    return result;
}

//==============================================================================
/** Writes the own record where the store has none, once; then only where it is told that it is gone. */
void StoreSync::keepOwnRecord (Turn& turn, const MembersRead& read)
{
    const auto isSelf = [this] (const InstanceName& instance) { return instance == m_self.m_id.m_instance; };
    const bool isGone = std::any_of (read.m_withdrawn.begin(), read.m_withdrawn.end(), isSelf) ||
                        std::any_of (read.m_unreadable.begin(), read.m_unreadable.end(), isSelf);
    const bool isOther =
        std::any_of (read.m_members.begin(), read.m_members.end(), [&] (const Member& member) {
            return isSelf (member.m_id.m_instance) && ! m_book.names (m_self);
        });

    if (! m_book.end().isKnown())
        return;

    const auto era = m_book.end().m_era;
    const bool isOtherEra = std::exchange (m_checkedEra, era) != era;

    if (isOtherEra && m_isPublished && ! m_book.names (m_self))
        return writeAgainSoon (turn);

    if (m_isPublished && ! isGone && ! isOther)
        return;

    m_isPublished = true;

    if (! isGone && m_book.names (m_self))
        return;

    publish (turn, isGone ? "gone" : isOther ? "another address" : "none there");
}

/** Without the spread all nodes whose records the copy lacks would write at once, and the store turn most of
 * them away. */
void StoreSync::writeAgainSoon (Turn& turn)
{
    const auto spread = writingTime * static_cast<Duration::rep> (m_peers.size());
    m_writeAgainAt = turn.now() + Duration (static_cast<Duration::rep> (
                                      turn.random().below (static_cast<std::uint64_t> (spread.count()) + 1)));
}

void StoreSync::writeAgainWhenDue (Turn& turn)
{
    if (! m_writeAgainAt.has_value() || turn.now() < *m_writeAgainAt)
        return;

    m_writeAgainAt.reset();

    // A write that was under way when the store came back may have taken effect.
    if (! m_book.names (m_self))
        publish (turn, "lost by the store");
}

void StoreSync::publish (Turn& turn, const char* reason)
{
    m_isPublished = true;
    turn.emit (PublishMember { m_self });
    turn.emit (LogDecision { Decision::memberPublished, {}, { { "reason", reason } } });
}

/** Without this, nodes that lost power for good would stay in the store, and be asked for ever. */
void StoreSync::withdrawDead (Turn& turn)
{
    if (! m_chosen.m_isFirst || ! m_isFollowing || ! m_isReached)
        return m_unheardSince.clear();

    for (const auto* peer : m_peers.ofZone (m_self.m_zone))
    {
        const auto& instance = peer->m_member.m_id.m_instance;

        if (peer->m_isHeard || instance == m_self.m_id.m_instance)
        {
            m_unheardSince.erase (instance);
            continue;
        }

        auto& since = m_unheardSince.try_emplace (instance, turn.now()).first->second;

        if (turn.now() - since <= withdrawnAfter)
            continue;

        since = turn.now();
        turn.emit (WithdrawMember { instance });
    }
}

} // namespace plankledge
