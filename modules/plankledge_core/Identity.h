#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace plankledge
{

using InstanceName = std::string;
using ServiceName = std::string;
using OperationName = std::string;
using ZoneName = std::string;
using OrganisationName = std::string;

/** Grows with every start of a process on the same instance (microseconds of wall time at start). */
using Incarnation = std::uint64_t;

/** Names one call between two nodes; unique within the sender's incarnation. */
using CallId = std::uint64_t;

/** Names a connection that a peer opened to this node; unique within this process. */
using LinkId = std::uint64_t;

/** A record's place in a stream of the platform's log or store; -1: before the first. */
using LogOffset = std::int64_t;

//==============================================================================
/** One life of a node: a restarted node is a new one, with an empty memory. */
struct NodeId
{
    InstanceName m_instance;
    Incarnation m_incarnation = 0;

    auto operator<=> (const NodeId&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_instance, m_incarnation); }
};

//==============================================================================
/** An IP address and a port. */
struct Endpoint
{
    std::string m_ip;
    std::uint16_t m_port = 0;

    auto operator<=> (const Endpoint&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_ip, m_port); }
};

} // namespace plankledge
