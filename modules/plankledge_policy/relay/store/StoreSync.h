#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/store/MemberDirectory.h"
#include "plankledge_policy/relay/store/StoreFollowers.h"

#include <functional>
#include <map>

namespace plankledge
{

//==============================================================================
/**
    Keeps this node's view of the store up to date with few store calls: it lists the members
    once, then either follows the store or receives updates from the followers of its zone.

    A node writes its own record only if the store has none with its address, so a restart at
    the same address writes nothing. The first follower of a zone withdraws the records of
    nodes that have been unreachable for long; a node that is still running then writes its
    record again. The record also states which incarnation of the target was last leaving.

    The primary follower is the one whose reads of the routes time out soon enough to detect
    that the store has stopped answering.

    @see StoreFollowers, MemberDirectory
*/
class StoreSync
{
public:
    //==============================================================================
    /** A node that has not reached any follower for this long follows the store itself. Longer than a
        follower takes to start and answer, short compared with the time in which a configuration must be in
        force. Also the default time for which the store may fail to answer until it counts as unreachable. */
    static constexpr Duration responseTimeout = Milliseconds (1000);

    /** How long a node must have been unreachable before its record is withdrawn. Must exceed the duration of
        restarts and short partitions, since withdrawing a running node's record costs two writes. */
    static constexpr Duration withdrawalDelay = std::chrono::seconds (30);

    StoreSync (const Member& self, PeerTable& peers);

    /** Lists the members.

        @param isFirstStart   all nodes start for the first time: the own record is written at once, and the
                              listing is delayed until the other nodes have written theirs
    */
    void start (Turn& turn, bool isFirstStart);

    /** Starts or stops following the store as required; must be called every 200 ms.

        @param areRoutesKnown   true if any routes are in force on this node
    */
    void onTick (Turn& turn, bool areRoutesKnown);

    /** Sets the longest time for which the primary follower's read of the routes may block, so that proofs of
        the newest version stay recent. Zero selects the default. */
    void setMaxReadWait (Duration wait) noexcept { m_maxReadWait = wait; }

    /** @returns true if this node is the primary follower of its zone, or reaches no follower */
    bool isPrimaryFollower() const noexcept { return m_isFollowing && m_readWait > Duration::zero(); }

    /** @returns the other node that this node takes for the primary follower, or nullptr if there is none */
    const Peer* primaryFollower() const;

    /** Must be called when this process resumes from a pause, which doesn't count towards any timeout. */
    void onPause (Time now);

    /** Applies records read from the store.

        @returns true if there are changes to send to other nodes
    */
    bool onRead (Turn& turn, const MembersRead& read);

    /** Applies records received from a peer.

        @returns true if they contained changes
    */
    bool onMembersUpdate (Turn& turn, const MembersUpdate& update);

    /** Writes to the own record that an incarnation of the target is leaving, so that this node still knows
       it after a restart. Does nothing if the record already says so. */
    void onTargetLeaving (Turn& turn, const TargetIncarnation& target);

    /** Must be called when the store becomes reachable or unreachable. */
    void onReached (const StoreReachabilityChanged& event, Time now);

    /** Pulls the records that a peer has and this node lacks. */
    void onPeerView (Turn& turn, const Peer& peer);

    /** @returns the followers to which a hello is due */
    std::vector<const Peer*> peersDueForHello (Time now, bool areRoutesKnown) const;

    StoreView view() const noexcept { return { m_directory.end(), m_isFollowing, m_isStoreReachable }; }

    /** @returns the changes since the given position */
    MembersUpdate changesSince (const StorePosition& have) const { return m_directory.changesSince (have); }

private:
    //==============================================================================
    void setFollowing (Turn& turn, bool isFollowing, bool isPrimary, const char* reason);
    Duration storeTimeout() const noexcept;
    std::vector<const Peer*> selectedPeers() const;
    void updateLastSeenTimes (Time now);
    void readRoutesOnce (Turn& turn, bool areRoutesKnown);
    void listMembersWhenDue (Turn& turn);
    void publish (Turn& turn, const char* reason);
    void ensureOwnRecord (Turn& turn, const MembersRead& read);
    void ensureLeavingTarget (Turn& turn, const MembersRead& read);
    void scheduleRewrite (Turn& turn);
    void rewriteWhenDue (Turn& turn);
    void withdrawUnreachableNodes (Turn& turn);
    bool isIsolated (Time now) const noexcept { return now - m_followerSeenAt > responseTimeout; }

    const Member m_self;
    PeerTable& m_peers;
    StoreFollowers m_followers;
    StoreFollowers::Selection m_selection;
    MemberDirectory m_directory;
    std::map<InstanceName, Time>
        m_unreachableSince;               /**< nodes of this zone, while this node is its first follower */
    std::optional<Time> m_storeLostSince; /**< nullopt: the store answers */
    Time m_followerSeenAt;                /**< when a follower of the zone was last reachable */
    Time m_readerSeenAt; /**< the same for followers that reach the store, including this node */
    Time m_pulledAt;
    std::optional<Time> m_listAt; /**< when the members are to be listed; nullopt: not scheduled */
    Time m_routesAt;              /**< earliest time of the next single read of the routes */
    Duration m_routesInterval {}; /**< between single reads of the routes */
    bool m_isFollowing = false;
    Duration m_maxReadWait {}; /**< as the primary follower; zero: default */
    Duration m_readWait {};    /**< of reads of the routes, while following; zero: not primary */
    bool m_isStoreReachable = true;
    StoreEra m_checkedEra = 0;       /**< of the records that were last searched for the own record */
    std::optional<Time> m_rewriteAt; /**< when to write the own record that the store has lost */
    bool m_isPublished = false;
    std::optional<TargetIncarnation> m_leavingTarget; /**< stated by the own record */
};

} // namespace plankledge
