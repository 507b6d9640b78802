#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/idempotency/RecordTable.h"
#include "plankledge_policy/membership/Membership.h"
#include <functional>
#include <map>
#include <set>

namespace plankledge
{

//==============================================================================
/**
    Joins a new node to its service. The node is established, and runs non-repeatable
    calls, only once all members of its service that it can reach have acknowledged it,
    at least one of them being established.

    If no member is established (a cold start), the order of the join stream decides:
    a node is established once all nodes that joined before it have acknowledged it or
    have been removed. If the log is unavailable as well, the node waits.
*/
class JoinProtocol
{
public:
    //==============================================================================
    JoinProtocol (Membership& membership, RecordTable& records, std::function<void (Turn&)> onEstablished);

    /** Called when the node starts: appends this node to the join stream of the platform's log. */
    void start (Turn& turn);

    /** Called when the join timer fires: reads the join stream and, until this node is established, repeats
        the join requests that are not yet acknowledged. */
    void onTimer (Turn& turn);

    /** Called when the platform's list of instances was received; the first list triggers join requests. */
    void onListRead (Turn& turn);

    /** Called when part of the join stream was read: adds the members of this node's service. */
    void onJoinsRead (Turn& turn, const JoinsRead& read);

    /** Called when connecting to a peer failed: the peer counts as unreachable until the next round of
        requests. */
    void onPeerUnreachable (const InstanceName& instance) { m_unreachable.insert (instance); }

    /** Called on a join request from another node: adds that node to this node's view.

        @returns the acknowledgement to send to it
    */
    JoinAcknowledgement onRequest (Turn& turn, const JoinRequest& request) const;

    /** Called when a peer has acknowledged this node's join request: takes over the members, lost memories
        and fences that the peer knows. */
    void onAcknowledged (Turn& turn, const NodeId& from, const JoinAcknowledgement& acknowledgement);

    bool isEstablished() const noexcept { return m_isEstablished; }

private:
    //==============================================================================
    void requestMissingAcknowledgements (Turn& turn);
    void removeUnreachablePeers (Turn& turn);
    void checkEstablished (Turn& turn);
    bool allReachableAcknowledged (Time now) const;
    bool allEarlierAcknowledged() const;

    Membership& m_membership;
    RecordTable& m_records;
    std::function<void (Turn&)> m_onEstablished;
    std::map<InstanceName, Time> m_firstRequestedAt;
    std::set<NodeId> m_acknowledged;
    std::set<InstanceName> m_unreachable; /**< peers found unreachable since the last round of requests */
    std::map<NodeId, LogOffset> m_offsets;
    LogOffset m_nextOffset = 0;
    unsigned m_rounds = 0;
    bool m_hasList = false;
    bool m_isAcknowledgedByEstablished = false;
    bool m_isEstablished = false;
};

} // namespace plankledge
