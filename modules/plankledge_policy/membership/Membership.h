#pragma once

#include "plankledge_policy/Events.h"
#include "plankledge_policy/NodeSettings.h"
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace plankledge
{

/** Number of candidates of a key: the first instances of its service in the key's rendezvous order. */
inline constexpr std::size_t candidatesPerKey = 2;

//==============================================================================
/**
    This node's view of the cluster: all known instances, this one included, and the
    incarnations of its own service's instances that ended without handing over their
    records (lost memories).

    The view is built from the platform's list, gossip, the join stream and messages
    of the members. A newer incarnation of an instance replaces the older one, whose
    memory then counts as lost. A node that leaves as planned hands its records over.
*/
class Membership
{
public:
    //==============================================================================
    explicit Membership (const Member& self);

    /** Merges the state of a member, received from the member itself or from another node.

        @returns whether this is an update that gossip should forward
    */
    bool merge (const Member& member, Time now);

    /** Updates the time of the last message from this incarnation of an instance. */
    void onMessageFrom (const NodeId& id, Time now);

    /** Merges the platform's list of instances.

        @returns the members removed because they are no longer listed and have sent nothing within the
                 silence timeout
    */
    std::vector<NodeId> onList (const std::vector<ListedInstance>& list, const NodeSettings& settings,
                                Time now);

    /** Removes a member that has left after handing over its records. */
    void onLeft (const NodeId& id, Time now);

    /** Removes a member that is neither listed nor reachable. The memory of a peer counts as lost. */
    void removeUnreachable (const InstanceName& instance, Time now);

    /** Records a lost memory that another node reported. */
    void onLost (const LostMemory& lost, Time now);

    /** Changes this node's own state and increments its state version. */
    void setOwnState (MemberState state);

    //==============================================================================
    const Member& self() const noexcept { return m_self; }

    /** @returns the member, or nullptr if unknown */
    const Member* find (const InstanceName& instance) const;

    /** @returns all members except this node */
    std::vector<Member> others() const;

    /** @returns the other members of this node's service, leaving ones included */
    std::vector<Member> peers() const;

    /** @returns the service's members that accept new requests; may include this node */
    std::vector<Member> acceptingRequests (const ServiceName& service) const;

    /** @returns the members of this node's service, this node included */
    std::vector<Member> ownServiceMembers() const;

    /** @returns whether the platform lists the instance */
    bool isListed (const InstanceName& instance) const;

    /** @returns whether the platform lists the instance as leaving */
    bool isListedLeaving (const InstanceName& instance) const;

    /** @returns when the instance became known; nullopt if it is unknown */
    std::optional<Time> knownSince (const InstanceName& instance) const;

    std::size_t size() const noexcept { return m_known.size(); }

    //==============================================================================
    /** @returns the key's candidates in rendezvous order, reachable or not */
    std::vector<Member> candidatesFor (std::uint64_t keyHash, const ServiceName& service) const;

    /** @returns the peers that become the key's candidates once this node has left */
    std::vector<Member> successorsOf (std::uint64_t keyHash) const;

    /** @returns whether this node's view has it as a candidate of the key */
    bool isCandidate (std::uint64_t keyHash) const;

    /** Determines whether an inquiry about a key must be sent to an instance of this service.

        @param window   an instance is ruled out only by members ahead of it in rendezvous order that all
                        peers have acknowledged for at least this long; nullopt: by any members ahead of it
        @returns whether the instance may have run a request with the key, by some member's view
    */
    bool couldHaveRun (std::uint64_t keyHash, const InstanceName& instance, std::optional<Duration> window,
                       Time now) const;

    /** @returns whether a memory lost after earliestSent could have held a record of the key */
    bool hasLostMemory (std::uint64_t keyHash, Time earliestSent, Duration window, Time now) const;

    std::vector<LostMemory> lostMemories (Time now) const;

    //==============================================================================
    /** @returns a hash of the names and incarnations of this service's members, for comparing views */
    std::uint64_t digest() const;

    /** Compares this node's view with a peer's. Once all peers agree, all members of the service count as
        acknowledged by all.
    */
    void onDigest (const InstanceName& peer, std::uint64_t digest, Time now);

    void removeExpired (Time now);

private:
    //==============================================================================
    struct KnownMember
    {
        Member m_member;
        bool m_isListed = false;
        bool m_isListedLeaving = false;
        Time m_knownSince;
        Time m_lastContact;
        std::optional<Time> m_acknowledgedByAll;
    };

    struct DepartedInstance
    {
        Incarnation m_incarnation = 0;
        Time m_departedAt;
        bool m_isPlanned = false;
    };

    bool isOwnService (const Member& member) const { return member.m_service == m_self.m_service; }
    static std::vector<Member> firstCandidates (std::vector<Member> members, std::uint64_t keyHash);
    void onViewChanged() { m_agreeingPeers.clear(); }
    void remove (const InstanceName& instance, Time now);
    void markLost (const NodeId& id, Time at);
    bool hasDeparted (const NodeId& id) const;
    void applyListedInstance (const ListedInstance& listed, const NodeSettings& settings, Time now);
    bool isAcknowledged (const KnownMember& known, Duration window, Time now) const;

    Member m_self;
    std::map<InstanceName, KnownMember> m_known;
    std::map<ServiceName, std::set<InstanceName>> m_byService;
    std::map<NodeId, Time> m_lostMemories;
    std::map<InstanceName, DepartedInstance> m_departed;
    std::set<InstanceName> m_agreeingPeers;
};

} // namespace plankledge
