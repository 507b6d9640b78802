#pragma once

#include "plankledge_policy/Events.h"
#include "plankledge_policy/NodeSettings.h"
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace plankledge
{

/** A key's candidates: the first so many instances of its service in the key's rendezvous order. */
inline constexpr std::size_t candidatesPerKey = 2;

//==============================================================================
/**
    The instances a node knows, this one included, and the lives of its own
    service's nodes whose records were lost.

    Sources: the platform's list, rumours, the join stream, and what members say
    directly. A newer incarnation replaces an older one, whose memory is then lost;
    a planned leaver hands its records over and loses nothing.
*/
class Membership
{
public:
    //==============================================================================
    explicit Membership (const Member& self);

    /** Takes in what somebody says of a member.

        @returns whether that was news, to be passed on
    */
    bool learn (const Member& member, Time now);

    /** Notes that this life of an instance was heard from just now. */
    void onHeardFrom (const NodeId& id, Time now);

    /** Takes in the platform's list.

        @returns the members that are gone without leave, by the list's word
    */
    std::vector<NodeId> onList (const std::vector<ListedInstance>& list, const NodeSettings& settings,
                                Time now);

    /** A member has left with its records handed over. */
    void onLeft (const NodeId& id, Time now);

    /** The member never came up: nothing lists it and nobody reaches it. */
    void onVanished (const InstanceName& instance, Time now);

    /** A memory was lost, by another's word. */
    void onLost (const LostMemory& lost, Time now);

    /** Changes this node's own state, which counts as news. */
    void setOwnState (MemberState state);

    //==============================================================================
    const Member& self() const noexcept { return m_self; }

    /** @returns the member or nullptr */
    const Member* find (const InstanceName& instance) const;

    /** @returns all members but this node */
    std::vector<Member> others() const;

    /** @returns the other members of this node's service, leaving ones included */
    std::vector<Member> peers() const;

    /** @returns the service's members that take new work, this node included */
    std::vector<Member> acceptingRequests (const ServiceName& service) const;

    /** @returns the members of this node's service, this node included */
    std::vector<Member> ownService() const;

    /** @returns whether the platform lists the instance */
    bool isListed (const InstanceName& instance) const;

    /** @returns whether the platform lists the instance as leaving */
    bool isListedLeaving (const InstanceName& instance) const;

    /** @returns when the instance was first known; nullopt if it is not */
    std::optional<Time> knownSince (const InstanceName& instance) const;

    std::size_t size() const noexcept { return m_known.size(); }

    //==============================================================================
    /** @returns the key's candidates in their order, reachable or not */
    std::vector<Member> candidatesFor (std::uint64_t keyHash, const ServiceName& service) const;

    /** @returns who takes over what this node knows of the key once it has left */
    std::vector<Member> heirsOf (std::uint64_t keyHash) const;

    /** @returns whether this node is one of the key's candidates, in its own view */
    bool isCandidate (std::uint64_t keyHash) const;

    /** Tells who must be asked about a key.

        @param window   only members known to all for so long rule others out; nullopt: any member does
        @returns whether the instance of this service may have run the key in somebody's view
    */
    bool couldHaveRun (std::uint64_t keyHash, const InstanceName& instance, std::optional<Duration> window,
                       Time now) const;

    /** @returns whether a lost memory younger than born could have held the key */
    bool hasLostMemory (std::uint64_t keyHash, Time born, Duration window, Time now) const;

    std::vector<LostMemory> lostMemories (Time now) const;

    //==============================================================================
    /** @returns a hash of the lives of this service's members, to compare views by */
    std::uint64_t digest() const;

    /** Compares views with a peer; once all peers agree, all members count as acknowledged by all. */
    void onDigest (const InstanceName& peer, std::uint64_t digest, Time now);

    void removeExpired (Time now);

private:
    //==============================================================================
    struct Known
    {
        Member m_member;
        bool m_isListed = false;
        bool m_isListedLeaving = false;
        Time m_since;
        Time m_lastHeard;
        std::optional<Time> m_acknowledgedByAll;
    };

    struct Departed
    {
        Incarnation m_incarnation = 0;
        Time m_at;
        bool m_isPlanned = false;
    };

    bool isOwnService (const Member& member) const { return member.m_service == m_self.m_service; }
    static std::vector<Member> firstCandidates (std::vector<Member> members, std::uint64_t keyHash);
    void onViewChanged() { m_agreeing.clear(); }
    void remove (const InstanceName& instance, Time now);
    void markLost (const NodeId& id, Time at);
    bool hasDeparted (const NodeId& id) const;
    void listOne (const ListedInstance& listed, const NodeSettings& settings, Time now);
    bool isAcknowledged (const Known& known, Duration window, Time now) const;

    Member m_self;
    std::map<InstanceName, Known> m_known;
    std::map<ServiceName, std::set<InstanceName>> m_byService;
    std::map<NodeId, Time> m_lost;
    std::map<InstanceName, Departed> m_departed;
    std::set<InstanceName> m_agreeing;
};

} // namespace plankledge
