#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/store/MemberBook.h"
#include "plankledge_policy/relay/store/StoreFollowers.h"

#include <functional>
#include <map>

namespace plankledge
{

//==============================================================================
/**
    Keeps this node's view of the store with few calls: it lists the members once, and
    then either follows the store or hears from those of its zone that do.

    A node's own record is written where the store has none of its address; later lives
    at the same address find it there. Records of nodes of the zone that were not heard for
    long are withdrawn by its first follower; one that lives after all finds itself
    withdrawn and is written again.

    @see StoreFollowers, MemberBook
*/
class StoreSync
{
public:
    //==============================================================================
    /** Without any word of a follower for so long a node follows the store itself: longer than a follower
       takes to start and answer, short against the time in which a configuration must be in force. */
    static constexpr Duration patience = Milliseconds (1000);

    /** A record of a node that was not heard for so long is withdrawn. Longer than any restart or cut that
       was seen, since each mistake costs two writes. */
    static constexpr Duration withdrawnAfter = std::chrono::seconds (30);

    StoreSync (const Member& self, PeerTable& peers);

    /** @param isFirstStart   all nodes start for the first time: the own record is written at once, and the
       others' are read when they are there */
    void start (Turn& turn, bool isFirstStart);

    /** Looks whether this node is to follow; called every 200 ms.

        @param areRoutesKnown   whether any routes are in force here
    */
    void onTick (Turn& turn, bool areRoutesKnown);

    /** How long reads of the routes by the watchful follower may wait where proofs of the newest version are
        needed; zero: as long as a change of the store's state must be noticed. */
    void setLongestRead (Duration wait) noexcept { m_longestRead = wait; }

    /** @returns whether this node reads the store for its zone */
    bool isWatching() const noexcept { return m_isFollowing && m_readsWait > Duration::zero(); }

    /** @returns the other node that does; nullptr: none is known */
    const Peer* watcher() const;

    /** This process stood still: silence meanwhile says nothing of the peers. */
    void onPause (Time now);

    /** The store was read.

        @returns whether there is news for those that hear from this node
    */
    bool onRead (Turn& turn, const MembersRead& read);

    /** A peer told what it read.

        @returns whether it is news
    */
    bool onTold (Turn& turn, const MembersTold& told);

    void onReached (const StoreReached& event, Time now);

    /** A peer told what it has: what this node lacks is asked for. */
    void onPeerView (Turn& turn, const Peer& peer);

    /** @returns the followers that are due a hello */
    std::vector<const Peer*> due (Time now, bool areRoutesKnown) const;

    StoreView view() const noexcept { return { m_book.end(), m_isFollowing, m_isReached }; }
    MembersTold since (const StorePlace& have) const { return m_book.since (have); }

private:
    //==============================================================================
    void setFollowing (Turn& turn, bool isFollowing, bool isWatchful, const char* reason);
    Duration patienceWithStore() const noexcept;
    std::vector<const Peer*> chosenPeers() const;
    void noteFollowers (Time now);
    void readRoutesOnce (Turn& turn, bool areRoutesKnown);
    void listWhenDue (Turn& turn);
    void publish (Turn& turn, const char* reason);
    void keepOwnRecord (Turn& turn, const MembersRead& read);
    void writeAgainSoon (Turn& turn);
    void writeAgainWhenDue (Turn& turn);
    void withdrawDead (Turn& turn);
    bool isIsolated (Time now) const noexcept { return now - m_followerSeenAt > patience; }

    const Member m_self;
    PeerTable& m_peers;
    StoreFollowers m_followers;
    StoreFollowers::Chosen m_chosen;
    MemberBook m_book;
    std::map<InstanceName, Time>
        m_unheardSince;              /**< of this zone's nodes, while this one is its first follower */
    std::optional<Time> m_lostSince; /**< the store does not answer */
    Time m_followerSeenAt;           /**< when a follower of the zone was last known to be there */
    Time m_readerSeenAt;             /**< the same of one that the store answers, this node included */
    Time m_pulledAt;
    std::optional<Time> m_listAt; /**< when the members are to be listed */
    Time m_routesAt;              /**< when routes may be asked of the store again */
    Duration m_routesPause {};    /**< until then, the next time */
    bool m_isFollowing = false;
    Duration m_longestRead {}; /**< of the watchful follower */
    Duration m_readsWait {};   /**< while following: of this node's reads; zero: any, another is watchful */
    bool m_isReached = true;
    StoreEra m_checkedEra = 0;          /**< of the book in which the own record was looked for last */
    std::optional<Time> m_writeAgainAt; /**< the own record, which the store has lost */
    bool m_isPublished = false;
};

} // namespace plankledge
