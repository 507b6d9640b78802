#include "plankledge_policy/membership/Rumours.h"

#include <algorithm>

namespace plankledge
{

namespace
{

constexpr unsigned sendsPerNews =
    10; // to two receivers each: at 830 members all hear of it with some to spare
constexpr std::size_t newsPerRumour = 3;

} // namespace

//==============================================================================
void Rumours::addNews (const Member& member)
{
    m_news[member.m_id.m_instance] = { member, sendsPerNews };
}

void Rumours::spread (Turn& turn, ConfigurationVersion version, std::size_t receivers)
{
    const auto others = m_membership.others();

    if (others.empty())
        return;

    const auto news = takeNews();

    for (std::size_t index = 0; index < receivers; ++index)
    {
        const auto& receiver = others[turn.random().below (others.size())];
        turn.emit (SendRumour { receiver.m_endpoint, { m_membership.self(), version, news } });
    }
}

void Rumours::onRumour (Turn& turn, const Rumour& rumour)
{
    m_membership.onHeardFrom (rumour.m_sender.m_id, turn.now());

    if (m_membership.learn (rumour.m_sender, turn.now()))
        addNews (rumour.m_sender);

    for (const auto& member : rumour.m_news)
        if (m_membership.learn (member, turn.now()))
            addNews (member);
}

std::vector<Member> Rumours::takeNews()
{
    std::vector<News*> freshest;

    for (auto& [instance, news] : m_news)
        freshest.push_back (&news);

    // What was sent least goes first, so that a backlog never holds up what is new.
    std::stable_sort (freshest.begin(), freshest.end(), [] (const News* left, const News* right) {
        return left->m_sendsLeft > right->m_sendsLeft;
    });
    freshest.resize (std::min (freshest.size(), newsPerRumour));

    std::vector<Member> result;

    for (auto* news : freshest)
    {
        result.push_back (news->m_member);
        --news->m_sendsLeft;
    }

    std::erase_if (m_news, [] (const auto& entry) { return entry.second.m_sendsLeft == 0; });
    return result;
}

} // namespace plankledge
