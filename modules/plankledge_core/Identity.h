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

/** Identifies a run of a process on an instance; increases with every start (wall-clock time of the start,
    in microseconds). */
using Incarnation = std::uint64_t;

/** Identifies a call between two nodes; unique within the sender's incarnation. */
using CallId = std::uint64_t;

/** Identifies a connection that a peer opened to this node; unique within this process. */
using LinkId = std::uint64_t;

/** Offset of a record in a stream of the platform's log or store; -1: before the first record. */
using LogOffset = std::int64_t;

//==============================================================================
/** Identifies one incarnation of a node. A restarted node has a new id and none of its former state. */
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
