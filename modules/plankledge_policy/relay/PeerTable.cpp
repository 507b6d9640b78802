#include "plankledge_policy/relay/PeerTable.h"

namespace plankledge
{

PeerTable::PeerTable (const Member& self)
    : m_self (self.m_id.m_instance)
{
    auto& own = m_peers[m_self];
    own.m_member = self;
    own.m_isHeard = true;
}

bool PeerTable::learn (const Member& member, Source source)
{
    const auto& instance = member.m_id.m_instance;

    if (instance == m_self)
        return false;

    // An address belongs to one node at a time: whoever is named with it last has it.
    std::erase_if (m_peers, [&] (const auto& entry) {
        return entry.first != instance && entry.first != m_self &&
               entry.second.m_member.m_endpoint == member.m_endpoint && ! entry.second.m_isHeard;
    });

    auto& peer = m_peers[instance];

    if (peer.m_member == member || (source == Source::store && peer.m_isHeard))
        return false;

    const bool isSameLife =
        peer.m_member.m_id == member.m_id && peer.m_member.m_endpoint == member.m_endpoint;

    if (! isSameLife)
        peer = Peer();

    peer.m_member = member;
    return ! isSameLife;
}

void PeerTable::forget (const InstanceName& instance)
{
    const auto found = m_peers.find (instance);

    // A node that answers is there, whatever the store says.
    if (found != m_peers.end() && instance != m_self && ! found->second.m_isHeard)
        m_peers.erase (found);
}

bool PeerTable::onHeard (const NodeId& from, Time now)
{
    auto* peer = find (from.m_instance);

    if (peer == nullptr || peer->m_member.m_id != from)
        return false;

    peer->m_heardAt = now;
    return ! std::exchange (peer->m_isHeard, true);
}

void PeerTable::onGate (const InstanceName& instance, const GateStatus& gate)
{
    auto* peer = find (instance);

    if (peer == nullptr)
        return;

    peer->m_gate = gate;
    peer->m_sentSince = 0;
}

void PeerTable::onSent (const InstanceName& instance)
{
    if (auto* peer = find (instance))
        ++peer->m_sentSince;
}

bool PeerTable::onUnreachable (const InstanceName& instance)
{
    auto* peer = find (instance);
    return peer != nullptr && instance != m_self && std::exchange (peer->m_isHeard, false);
}

std::vector<InstanceName> PeerTable::takeSilent (Time now)
{
    std::vector<InstanceName> silent;

    for (auto& [instance, peer] : m_peers)
    {
        if (instance == m_self || ! peer.m_isHeard || now - peer.m_heardAt <= silenceLimit)
            continue;

        peer.m_isHeard = false;
        silent.push_back (instance);
    }

    return silent;
}

//==============================================================================
Peer* PeerTable::find (const InstanceName& instance) noexcept
{
    const auto found = m_peers.find (instance);
    return found == m_peers.end() ? nullptr : &found->second;
}

const Peer* PeerTable::find (const InstanceName& instance) const noexcept
{
    const auto found = m_peers.find (instance);
    return found == m_peers.end() ? nullptr : &found->second;
}

std::vector<const Peer*> PeerTable::takingWork (const ServiceName& service) const
{
    std::vector<const Peer*> result;

    for (const auto& [instance, peer] : m_peers)
        if (peer.m_member.m_service == service && peer.m_isHeard && peer.m_gate.m_isOpen)
            result.push_back (&peer);

    return result;
}

std::vector<const Peer*> PeerTable::others() const
{
    std::vector<const Peer*> result;

    for (const auto& [instance, peer] : m_peers)
        if (instance != m_self)
            result.push_back (&peer);

    return result;
}

} // namespace plankledge
