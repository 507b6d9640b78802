#pragma once

#include "plankledge_core/PeerMessages.h"
#include <functional>
#include <optional>

namespace plankledge
{

enum class PolicyKind : std::uint8_t
{
    plankledge,
    baseline /**< for comparison: no load shedding, two retries per hop, no retry budget */
};

//==============================================================================
/** Mechanisms of the at-most-once protocol. Tests disable each one to verify that it is needed. */
struct Mechanisms
{
    bool m_fences = true;
    bool m_joinAcknowledgement = true;
    bool m_handover = true;
    bool m_lostMemory = true;
    bool m_membersInAnswers = true;
    bool m_fencesInAcknowledgement = true;
    bool m_transitTime = true;
    bool m_inquiriesToFormerCandidates = true;
    bool m_membersInLeaveNotice = true;

    auto operator<=> (const Mechanisms&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_fences, m_joinAcknowledgement, m_handover, m_lostMemory, m_membersInAnswers,
                 m_fencesInAcknowledgement, m_transitTime, m_inquiriesToFormerCandidates,
                 m_membersInLeaveNotice);
    }
};

//==============================================================================
/** Settings of a node. The defaults suit clusters of any size. */
struct NodeSettings
{
    Member m_self;
    std::uint64_t m_seed = 0;
    PolicyKind m_policy = PolicyKind::plankledge;
    Mechanisms m_mechanisms;

    Duration m_heartbeatPeriod = std::chrono::seconds (2);
    Duration m_gossipPeriod = Milliseconds (500);
    Duration m_listPeriod = std::chrono::seconds (2); /**< minimum; grows with the cluster */
    Duration m_logPeriod = std::chrono::seconds (1);  /**< minimum; grows with the cluster */
    Duration m_joinPeriod = Milliseconds (500);       /**< between join requests */
    Duration m_drainGrace = std::chrono::seconds (1); /**< a leaving node accepts calls for this long */
    Duration m_drainTimeout =
        std::chrono::seconds (40); /**< after which a leaving node exits although calls are running */
    Duration m_listLagBound = std::chrono::seconds (30); /**< maximum delay of the list of instances */
    Duration m_silenceTimeout =
        std::chrono::seconds (5); /**< an unlisted member is removed after sending nothing for this long */
    Duration m_checkpointPeriod = std::chrono::seconds (60); /**< between checkpoints of the declarations */
    Duration m_pauseThreshold = Milliseconds (700); /**< longest gap between events without a pause */
    std::uint32_t m_maxRecords = 100000;            /**< maximum number of idempotency records */

    auto operator<=> (const NodeSettings&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_self, m_seed, m_policy, m_mechanisms);
        archive (m_heartbeatPeriod, m_gossipPeriod, m_listPeriod, m_logPeriod, m_joinPeriod);
        archive (m_drainGrace, m_drainTimeout, m_listLagBound, m_silenceTimeout, m_checkpointPeriod);
        archive (m_pauseThreshold, m_maxRecords);
    }
};

/** Parses declarations; nullopt if the text is invalid. Must be a pure function. */
using DeclarationsParser = std::function<std::optional<Declarations> (const std::string& text)>;

} // namespace plankledge
