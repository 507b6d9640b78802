#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/membership/Membership.h"
#include <map>

namespace plankledge
{

//==============================================================================
/**
    Spreads what changed among the members, and which version of the declarations
    is in force, by small datagrams to a few random others at a fixed period.

    A piece of news is passed on a limited number of times by each node that
    learnt it, so that the traffic of a node does not grow with the cluster.
*/
class Rumours
{
public:
    //==============================================================================
    explicit Rumours (Membership& membership)
        : m_membership (membership)
    {
    }

    /** Passes a member's news on from now on. */
    void addNews (const Member& member);

    /** Sends to a few random members. */
    void spread (Turn& turn, ConfigurationVersion version, std::size_t receivers);

    /** Takes in a rumour: its sender and its news. */
    void onRumour (Turn& turn, const Rumour& rumour);

    /** Receivers at every period. */
    static constexpr std::size_t usualReceivers = 2;

    /** Receivers at once when this node itself has urgent news. */
    static constexpr std::size_t urgentReceivers = 5;

private:
    //==============================================================================
    struct News
    {
        Member m_member;
        unsigned m_sendsLeft = 0;
    };

    std::vector<Member> takeNews();

    Membership& m_membership;
    std::map<InstanceName, News> m_news;
};

} // namespace plankledge
