#include "plankledge_policy/membership/GossipProtocol.h"

#include <algorithm>

namespace plankledge
{

namespace
{

constexpr unsigned transmissionsPerUpdate =
    10; // to two receivers each; enough for clusters of up to 830 members
constexpr std::size_t maxUpdatesPerMessage = 3;

} // namespace

//==============================================================================
void GossipProtocol::addUpdate (const Member& member)
{
    m_memberUpdates[member.m_id.m_instance] = { member, transmissionsPerUpdate };
}

void GossipProtocol::spread (Turn& turn, ConfigurationVersion version, std::size_t fanout)
{
    const auto others = m_membership.others();

    if (others.empty())
        return;

    const auto updates = takeUpdates();

    for (std::size_t index = 0; index < fanout; ++index)
    {
        const auto& receiver = others[turn.random().below (others.size())];
        turn.emit (SendGossip { receiver.m_endpoint, { m_membership.self(), version, updates } });
    }
}

void GossipProtocol::onGossip (Turn& turn, const GossipMessage& gossip)
{
    m_membership.onMessageFrom (gossip.m_sender.m_id, turn.now());

    if (m_membership.merge (gossip.m_sender, turn.now()))
        addUpdate (gossip.m_sender);

    for (const auto& member : gossip.m_memberUpdates)
        if (m_membership.merge (member, turn.now()))
            addUpdate (member);
}

std::vector<Member> GossipProtocol::takeUpdates()
{
    std::vector<PendingUpdate*> leastSent;

    for (auto& [instance, update] : m_memberUpdates)
        leastSent.push_back (&update);

    // The least sent updates go first, so that a backlog does not delay new ones.
    std::stable_sort (leastSent.begin(), leastSent.end(),
                      [] (const PendingUpdate* left, const PendingUpdate* right) {
                          return left->m_transmissionsLeft > right->m_transmissionsLeft;
                      });
    leastSent.resize (std::min (leastSent.size(), maxUpdatesPerMessage));

    std::vector<Member> result;

    for (auto* update : leastSent)
    {
        result.push_back (update->m_member);
        --update->m_transmissionsLeft;
    }

    std::erase_if (m_memberUpdates, [] (const auto& entry) { return entry.second.m_transmissionsLeft == 0; });
    return result;
}

} // namespace plankledge
