#pragma once

#include "plankledge_policy/Events.h"

#include <map>
#include <optional>

namespace plankledge
{

//==============================================================================
/**
    What the store's records say of the nodes, and up to where they were read, so that a
    node which reads the store can tell the others what they lack.

    A record counts as changed where the read that brought it ended: that is not before its
    own place, so whoever has less is told it, some perhaps twice.

    Of a new era of the store only what its listing holds stands here: what the copy lacks has to be written
   again. That the nodes exist is known all the same (see PeerTable).
*/
class MemberBook
{
public:
    //==============================================================================
    /** Takes in what was read, by this node or by the one that tells it. */
    void take (const MembersRead& read);

    /** @returns the end of what is known; without an offset while not all records are */
    StorePlace end() const noexcept { return m_end; }

    /** @returns what changed since a peer's end */
    MembersTold since (const StorePlace& have) const;

    /** @returns whether the store has a record of this instance with its service and address; in which of the
        instance's lives it was written does not matter */
    bool names (const Member& member) const noexcept;

private:
    //==============================================================================
    struct Entry
    {
        std::optional<Member> m_member; /**< nullopt: withdrawn */
        StorePlace m_changedAt;
    };

    void note (const InstanceName& instance, std::optional<Member> member)
    {
        m_listed[instance] = std::move (member);
    }

    std::map<InstanceName, Entry> m_entries;
    std::map<InstanceName, std::optional<Member>> m_listed; /**< by a listing that is under way */
    StoreEra m_listedEra = 0;
    StorePlace m_end;
};

} // namespace plankledge
