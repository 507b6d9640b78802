#pragma once

#include "plankledge_core/Member.h"
#include "plankledge_core/RelayMessages.h"
#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/LinkClock.h"

#include <map>
#include <vector>

namespace plankledge
{

//==============================================================================
/** A node as this node knows it. */
struct Peer
{
    Member m_member;
    GateStatus m_gate;             /**< as last heard */
    std::uint32_t m_sentSince = 0; /**< requests sent there since the gate's status was heard */
    Time m_heardAt;                /**< any frame of its */
    bool m_isHeard = false;        /**< it answered lately */
    LinkClock m_clock;

    /** @returns requests that run or wait there, by what is known */
    std::uint32_t load() const noexcept { return m_gate.m_inGate + m_sentSince; }
};

//==============================================================================
/**
    The nodes that this node knows, itself included, and how their gates are.

    Who exists is read from the store, or heard from a peer's own hello; whether one can be
    reached and what its gate admits is known from the links alone.
*/
class PeerTable
{
public:
    //==============================================================================
    /** A peer that was not heard for so long takes no requests: two hellos unanswered, and a margin for
        pauses of a process that has used up its share of a processor. */
    static constexpr Duration silenceLimit = Milliseconds (1600);

    explicit PeerTable (const Member& self);

    /** Whose word about a node it is. */
    enum class Source : std::uint8_t
    {
        store, /**< may be of an earlier life: does not count against one that answers */
        itself
    };

    /** @returns whether this is news: another life, address or an unknown node */
    bool learn (const Member& member, Source source);

    /** The store no longer names the node. */
    void forget (const InstanceName& instance);

    /** A frame came from the peer.

        @returns whether it had been silent before
    */
    bool onHeard (const NodeId& from, Time now);

    void onGate (const InstanceName& instance, const GateStatus& gate);
    void onSent (const InstanceName& instance);

    /** The peer can't be reached.

        @returns whether it was heard until now
    */
    bool onUnreachable (const InstanceName& instance);

    /** @returns peers that fell silent just now */
    std::vector<InstanceName> takeSilent (Time now);

    Peer* find (const InstanceName& instance) noexcept;
    const Peer* find (const InstanceName& instance) const noexcept;

    /** @returns nodes of the service that can be reached and whose gates are open */
    std::vector<const Peer*> takingWork (const ServiceName& service) const;

    /** @returns all nodes but this one */
    std::vector<const Peer*> others() const;

    const InstanceName& self() const noexcept { return m_self; }
    std::size_t size() const noexcept { return m_peers.size(); }

private:
    //==============================================================================
    const InstanceName m_self;
    std::map<InstanceName, Peer> m_peers;
};

} // namespace plankledge
