#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/membership/Membership.h"
#include "plankledge_policy/once/RecordTable.h"
#include <functional>
#include <map>
#include <set>

namespace plankledge
{

//==============================================================================
/**
    Brings a new node in: it runs non-repeatable work only once every member of its
    service that it can reach, at least one of them established, has counted it in.

    Where no member is established (a cold start), the order of the join stream takes
    their place: a node is established once all that joined before it have counted
    it in, or are known to be gone. With the log down too, it waits.
*/
class JoinProtocol
{
public:
    //==============================================================================
    JoinProtocol (Membership& membership, RecordTable& records, std::function<void (Turn&)> established);

    void start (Turn& turn);
    void onTime (Turn& turn);
    void onListRead (Turn& turn);
    void onJoinsRead (Turn& turn, const JoinsRead& read);
    void onPeerUnreachable (const InstanceName& instance) { m_unreachable.insert (instance); }

    /** Another node joins: counts it in.

        @returns the acknowledgement
    */
    JoinAcknowledgement onRequest (Turn& turn, const JoinRequest& request) const;

    void onAcknowledged (Turn& turn, const NodeId& from, const JoinAcknowledgement& acknowledgement);

    bool isEstablished() const noexcept { return m_isEstablished; }

private:
    //==============================================================================
    void askMissing (Turn& turn);
    void removeVanished (Turn& turn);
    void check (Turn& turn);
    bool haveReachableAcknowledged (Time now) const;
    bool haveEarlierAcknowledged() const;

    Membership& m_membership;
    RecordTable& m_records;
    std::function<void (Turn&)> m_established;
    std::map<InstanceName, Time> m_firstAsked;
    std::set<NodeId> m_acknowledged;
    std::set<InstanceName> m_unreachable; /**< in this round */
    std::map<NodeId, LogOffset> m_offsets;
    LogOffset m_nextOffset = 0;
    unsigned m_rounds = 0;
    bool m_hasList = false;
    bool m_hasEstablishedWitness = false;
    bool m_isEstablished = false;
};

} // namespace plankledge
