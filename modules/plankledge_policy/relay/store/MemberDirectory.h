#pragma once

#include "plankledge_policy/Events.h"

#include <map>
#include <optional>

namespace plankledge
{

//==============================================================================
/**
    The member records read from the store, and the position up to which they were read, from
    which a node that reads the store sends incremental updates to others.

    A record is marked as changed at the end of the read that returned it, which is never
    before its own position. A peer may therefore receive a record twice, but never misses one.

    When the store's era changes, the records are replaced by the listing of the new era, so
    that nodes whose records were lost write them again. The nodes themselves stay known; see
    PeerTable.
*/
class MemberDirectory
{
public:
    //==============================================================================
    /** Applies records that this node read from the store or received from a peer. */
    void apply (const MembersRead& read);

    /** @returns the end of the known records; it has no offset until the first listing is complete */
    StorePosition end() const noexcept { return m_end; }

    /** @returns the changes since the given position */
    MembersUpdate changesSince (const StorePosition& have) const;

    /** @returns true if the store has a record of this instance with the same service, zone and address,
        of any incarnation */
    bool matches (const Member& member) const noexcept;

private:
    //==============================================================================
    struct Entry
    {
        std::optional<Member> m_member; /**< nullopt: withdrawn */
        StorePosition m_changedAt;
    };

    void stage (const InstanceName& instance, std::optional<Member> member)
    {
        m_staged[instance] = std::move (member);
    }

    std::map<InstanceName, Entry> m_entries;
    std::map<InstanceName, std::optional<Member>> m_staged; /**< by an incomplete listing */
    StoreEra m_stagedEra = 0;
    StorePosition m_end;
};

} // namespace plankledge
