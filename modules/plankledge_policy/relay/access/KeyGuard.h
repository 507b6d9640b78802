#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/RelaySettings.h"
#include "plankledge_policy/relay/access/ConfigurationProof.h"
#include "plankledge_policy/relay/peers/PeerTable.h"
#include "plankledge_policy/relay/routes/RouteTable.h"

namespace plankledge
{

//==============================================================================
/**
    Keeps the proof that the keys in force have not been taken away since, and says for how
    long it holds.

    The load it answers: keys are taken away while the store turns part of the nodes away,
    or while they are cut off, and no request shows it. A node uses keys only while it
    knows that shortly before no newer configuration had been written. It asks the follower
    of its zone that reads the store for it; where that has nothing fresh, followers of any
    zone or any node that answers, and at last the store itself.

    Limits, as parts of the operators' bound: followers are asked from a fifth on, so that
    five questions may fail; others from a half on; the store from six tenths on, since
    each such call costs one for each node. A tenth is left as a margin for what lies
    between the decision and the first byte to the target. With a bound of 5 s a read of
    the watchful follower takes 1 s, and no proof of 68 nodes was older than 1.8 s while all
    was well (virtual time).
*/
class KeyGuard
{
public:
    //==============================================================================
    KeyGuard (const RelaySettings& settings, const Member& self, const PeerTable& peers);

    /** Another version is in force. */
    void onRoutes (Turn& turn, const RouteTable& routes, const Peer* watcher);

    /** The store answered a read that this node had sent at that time; what it read is in force. */
    void onConfirmed (Time askedAt) noexcept;

    void onQuestion (Turn& turn, LinkId link, const InstanceName& from, const ProofQuestion& question) const;
    void onAnswer (Turn& turn, const ProofAnswer& answer);

    /** Asks where the proof grows old.

        @param watcher   the follower that reads the store for this zone; nullptr: none is known
        @param isWatching   this node is that one
    */
    void onTick (Turn& turn, const Peer* watcher, bool isWatching);

    //==============================================================================
    /** @returns whether keys may be used now */
    bool isProven (Time now) const noexcept;

    /** @returns how long a key that is used now may be relied on; nullopt: without bound */
    std::optional<Duration> holdsFor (Time now) const noexcept;

    /** @returns how old the proof is; nullopt: there is none */
    std::optional<Duration> age (Time now) const noexcept;

    /** @returns how long a read of the routes by a follower may wait, so that proofs stay fresh; zero where
       no keys have to be proven */
    Duration longestRead() const noexcept;

private:
    //==============================================================================
    bool isNeeded() const noexcept { return m_areKeysDeclared && m_bound > Duration::zero(); }
    bool isOlderThan (Duration limit, Time now) const noexcept;
    const Peer* whomToAsk (Turn& turn, const Peer* watcher) const;
    void ask (Turn& turn, const Peer* watcher);
    void readStore (Turn& turn);
    void noteChange (Turn& turn);

    const Duration m_bound;
    const InstanceName m_self;
    const ZoneName m_zone;
    const PeerTable& m_peers;
    ConfigurationProof m_proof;
    ConfigurationVersion m_version = 0;
    bool m_areKeysDeclared = false;
    bool m_wasProven = false;
    Time m_askedAt;
    Time m_readAt;
};

} // namespace plankledge
