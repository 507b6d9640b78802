#include "plankledge_policy/relay/store/MemberBook.h"

#include <utility>

namespace plankledge
{

void MemberBook::take (const MembersRead& read)
{
    if (read.m_end.m_era < m_end.m_era)
        return; // late word of what the store was before

    // Pages of two eras never mix.
    if (std::exchange (m_listedEra, read.m_end.m_era) != read.m_end.m_era)
        m_listed.clear();

    for (const auto& member : read.m_members)
        note (member.m_id.m_instance, member);

    for (const auto& instance : read.m_withdrawn)
        note (instance, std::nullopt);

    if (! read.m_end.isKnown())
        return;

    if (read.m_end.m_era != m_end.m_era)
        m_entries.clear();

    m_end = read.m_end;

    for (auto& [instance, member] : std::exchange (m_listed, {}))
        m_entries[instance] = { std::move (member), m_end };
}

MembersTold MemberBook::since (const StorePlace& have) const
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
