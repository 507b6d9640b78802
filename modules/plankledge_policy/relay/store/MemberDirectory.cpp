#include "plankledge_policy/relay/store/MemberDirectory.h"

#include <utility>

namespace plankledge
{

void MemberDirectory::apply (const MembersRead& read)
{
    if (read.m_end.m_era < m_end.m_era)
        return; // out of order: from an earlier era

    // Pages of different eras must not be combined.
    if (std::exchange (m_stagedEra, read.m_end.m_era) != read.m_end.m_era)
        m_staged.clear();

    for (const auto& member : read.m_members)
        stage (member.m_id.m_instance, member);

    for (const auto& instance : read.m_withdrawn)
        stage (instance, std::nullopt);

    if (! read.m_end.isKnown())
        return;

    if (read.m_end.m_era != m_end.m_era)
        m_entries.clear();

    m_end = read.m_end;

    for (auto& [instance, member] : std::exchange (m_staged, {}))
        m_entries[instance] = { std::move (member), m_end };
}

MembersUpdate MemberDirectory::changesSince (const StorePosition& have) const
{
    MembersUpdate changes;
    changes.m_end = m_end;

    for (const auto& [instance, entry] : m_entries)
    {
        if (entry.m_changedAt <= have)
            continue;

        if (entry.m_member.has_value())
            changes.m_members.push_back (*entry.m_member);
        else
            changes.m_withdrawn.push_back (instance);
    }

    return changes;
}

bool MemberDirectory::matches (const Member& member) const noexcept
{
    const auto found = m_entries.find (member.m_id.m_instance);

    if (found == m_entries.end() || ! found->second.m_member.has_value())
        return false;

    const auto& known = *found->second.m_member;
    return known.m_service == member.m_service && known.m_zone == member.m_zone &&
           known.m_endpoint == member.m_endpoint;
}

} // namespace plankledge
