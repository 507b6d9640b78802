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

    void start (Turn& turn);
    void onTimer (Turn& turn);
    void onListRead (Turn& turn);
    void onJoinsRead (Turn& turn, const JoinsRead& read);
    void onPeerUnreachable (const InstanceName& instance) { m_unreachable.insert (instance); }

    /** Adds another joining node to this node's view.

        @returns the acknowledgement to send to it
    */
    JoinAcknowledgement onRequest (Turn& turn, const JoinRequest& request) const;

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
