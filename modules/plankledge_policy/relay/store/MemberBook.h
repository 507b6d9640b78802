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
*/
class MemberBook
{
public:
    //==============================================================================
    /** Takes in what was read, by this node or by the one that tells it. */
    void take (const MembersRead& read);

    /** @returns the end of what is known; -1 while not all records are */
    LogOffset end() const noexcept { return m_end; }

    /** @returns what changed since a peer's end */
    MembersTold since (LogOffset have) const;

    /** @returns whether the store has a record of this instance with its service and address; in which of the
        instance's lives it was written does not matter */
    bool names (const Member& member) const noexcept;

private:
    //==============================================================================
    struct Entry
    {
        std::optional<Member> m_member; /**< nullopt: withdrawn */
        LogOffset m_changedAt = -1;     /**< -1: in the listing that is under way */
    };

    void note (const InstanceName& instance, std::optional<Member> member, LogOffset end);

    std::map<InstanceName, Entry> m_entries;
    LogOffset m_end = -1;
};

} // namespace plankledge
