#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/membership/Membership.h"
#include <map>

namespace plankledge
{

//==============================================================================
/**
    Gossip protocol: periodically sends membership updates and the version of the
    declarations in force to a few random members, in small datagrams.

    Each node forwards an update a limited number of times, so that its traffic does not
    grow with the size of the cluster.
*/
class GossipProtocol
{
public:
    //==============================================================================
    explicit GossipProtocol (Membership& membership)
        : m_membership (membership)
    {
    }

    /** Queues a member's new state for the next transmissions. */
    void addUpdate (const Member& member);

    /** Sends the updates with the fewest transmissions to random members.

        @param fanout   number of receivers
    */
    void spread (Turn& turn, ConfigurationVersion version, std::size_t fanout);

    /** Merges a received message: its sender's state and its updates. */
    void onGossip (Turn& turn, const GossipMessage& gossip);

    /** Number of receivers in each period. */
    static constexpr std::size_t regularFanout = 2;

    /** Number of receivers of an urgent update, which is sent at once. */
    static constexpr std::size_t urgentFanout = 5;

private:
    //==============================================================================
    struct PendingUpdate
    {
        Member m_member;
        unsigned m_transmissionsLeft = 0;
    };

    std::vector<Member> takeUpdates();

    Membership& m_membership;
    std::map<InstanceName, PendingUpdate> m_memberUpdates;
};

} // namespace plankledge
