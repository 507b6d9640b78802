#include "plankledge_policy/relay/store/MemberBook.h"

namespace plankledge
{

void MemberBook::take (const MembersRead& read)
{
    for (const auto& member : read.m_members)
        note (member.m_id.m_instance, member, read.m_end);

    for (const auto& instance : read.m_withdrawn)
        note (instance, std::nullopt, read.m_end);

    if (read.m_end < 0)
        return;

    m_end = read.m_end;

    for (auto& [instance, entry] : m_entries)
        if (entry.m_changedAt < 0)
            entry.m_changedAt = m_end;
}

void MemberBook::note (const InstanceName& instance, std::optional<Member> member, LogOffset end)
{
    m_entries[instance] = { std::move (member), end };
}

MembersTold MemberBook::since (LogOffset have) const
{
    MembersTold told;
    told.m_end = m_end;

    for (const auto& [instance, entry] : m_entries)
    {
        if (entry.m_changedAt <= have)
            continue;

        if (entry.m_member.has_value())
            told.m_members.push_back (*entry.m_member);
        else
            told.m_withdrawn.push_back (instance);
    }

    return told;
}

bool MemberBook::names (const Member& member) const noexcept
{
    const auto found = m_entries.find (member.m_id.m_instance);

    if (found == m_entries.end() || ! found->second.m_member.has_value())
        return false;

    const auto& known = *found->second.m_member;
    return known.m_service == member.m_service && known.m_zone == member.m_zone &&
           known.m_endpoint == member.m_endpoint;
}

} // namespace plankledge
