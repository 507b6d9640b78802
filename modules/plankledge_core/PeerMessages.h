#pragma once

#include "plankledge_core/CrashMessages.h"
#include "plankledge_core/Declarations.h"
#include "plankledge_core/Identity.h"
#include "plankledge_core/Member.h"
#include "plankledge_core/Outcome.h"
#include "plankledge_core/RelayMessages.h"
#include "plankledge_core/Time.h"
#include <string>
#include <variant>
#include <vector>

/**
    Messages between nodes. They are value types; serialize() lists the fields
    in the order in which they are encoded.

    @see FrameCodec
*/
namespace plankledge
{

/** Rank of a request for load shedding: class, then cohort. Higher ranks are shed first. */
using Rank = std::uint16_t;

inline constexpr Rank cohortsPerClass = 128;

/** A threshold that admits every rank. */
inline constexpr Rank admitAll = static_cast<Rank> (priorityClassCount * cohortsPerClass);

//==============================================================================
/** An incarnation that ended and whose records are lost: which requests it ran is unknown. */
struct LostMemory
{
    NodeId m_id;
    Duration m_timeSinceLoss {}; /**< since the loss was detected, at the time of sending */

    auto operator<=> (const LostMemory&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_id, m_timeSinceLoss); }
};

/** The last known admission threshold of a service. */
struct ServiceThreshold
{
    ServiceName m_service;
    Rank m_threshold = admitAll;

    auto operator<=> (const ServiceThreshold&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_service, m_threshold); }
};

//==============================================================================
/** Content of a request, passed on unchanged from node to node. */
struct RequestContent
{
    ServiceName m_service;
    OperationName m_operation;
    std::string m_method;
    std::string m_path; /**< the full path with its query */
    std::string m_contentType;
    std::string m_body;

    auto operator<=> (const RequestContent&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_service, m_operation, m_method, m_path, m_contentType, m_body);
    }
};

/** The caller's idempotency key for a non-repeatable request, and the attempt that this is. */
struct Idempotency
{
    std::string m_key;           /**< empty: none */
    std::uint32_t m_attempt = 0; /**< 1 for the first attempt; 0: unknown */
    Duration m_age { -1 };       /**< since the first attempt; negative: unknown */

    auto operator<=> (const Idempotency&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_key, m_attempt, m_age); }
};

/** Requests that the receiver run a call at its local target. */
struct CallRequest
{
    CallId m_callId = 0;
    RequestContent m_content;
    Idempotency m_idempotency;
    std::uint64_t m_rootId = 0; /**< shared by all calls of a chain */
    Rank m_rank = 0;
    std::uint16_t m_depth = 0;
    std::uint32_t m_retryGrant = 0; /**< retries that the receiver and its downstream calls may use */
    Duration m_timeLeft {};

    auto operator<=> (const CallRequest&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_callId, m_content, m_idempotency, m_rootId, m_rank, m_depth, m_retryGrant, m_timeLeft);
    }
};

/** Result of a call, from a target or from the system. */
struct CallResult
{
    Outcome m_outcome = Outcome::unknown;
    Reason m_reason = Reason::none;
    std::uint16_t m_status = 0; /**< the target's HTTP status; 0 if the system answered */
    std::string m_contentType;
    std::string m_body;
    Duration m_retryAfter {}; /**< delay before a retry; 0: unspecified */
    bool m_isFinal = false;   /**< rejected further down the chain: a retry at another node would not help */

    auto operator<=> (const CallResult&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_outcome, m_reason, m_status, m_contentType, m_body, m_retryAfter, m_isFinal);
    }
};

/** Answers a CallRequest. */
struct CallAnswer
{
    CallId m_callId = 0;
    CallResult m_result;
    std::uint32_t m_retriesReturned = 0;
    Rank m_threshold = admitAll;                /**< of the answering node */
    std::uint16_t m_loadPermille = 0;           /**< running and queued requests, relative to the limit */
    std::vector<ServiceThreshold> m_downstream; /**< of the services that this operation calls */

    auto operator<=> (const CallAnswer&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_callId, m_result, m_retriesReturned, m_threshold, m_loadPermille, m_downstream);
    }
};

/** Cancels a CallRequest. */
struct CallCancel
{
    CallId m_callId = 0;

    auto operator<=> (const CallCancel&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_callId); }
};

//==============================================================================
/** Asks whether the receiver has a record of a key; if not, the receiver fences the key. */
struct Inquiry
{
    CallId m_inquiryId = 0;
    std::string m_key;
    Duration m_fenceDuration {};

    auto operator<=> (const Inquiry&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_inquiryId, m_key, m_fenceDuration);
    }
};

/** Answers an Inquiry. An unknown key has been fenced before this is sent. */
struct InquiryAnswer
{
    CallId m_inquiryId = 0;
    bool m_isKnown = false;
    std::vector<Member> m_members; /**< of the service, including the sender */
    std::vector<LostMemory> m_lost;

    auto operator<=> (const InquiryAnswer&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_inquiryId, m_isKnown, m_members, m_lost);
    }
};

/** Hash of a fenced key: first attempts with this key are rejected. */
struct Fence
{
    std::uint64_t m_keyHash = 0;
    Duration m_remainingTime {}; /**< remaining lifetime of the fence */

    auto operator<=> (const Fence&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_keyHash, m_remainingTime); }
};

/** Sent by a new node to the members of its service, to become a member. */
struct JoinRequest
{
    Member m_member;

    auto operator<=> (const JoinRequest&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_member); }
};

struct JoinAcknowledgement
{
    bool m_isEstablished = false;
    std::vector<Member> m_members;
    std::vector<LostMemory> m_lost;
    std::vector<Fence> m_fences;

    auto operator<=> (const JoinAcknowledgement&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_isEstablished, m_members, m_lost, m_fences);
    }
};

/** Sent periodically between the members of a service. */
struct Heartbeat
{
    Member m_member;
    ConfigurationVersion m_version = 0;
    std::uint64_t m_membersDigest = 0; /**< digest of the members known to the sender */

    auto operator<=> (const Heartbeat&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_member, m_version, m_membersDigest);
    }
};

//==============================================================================
/** Record of a completed non-repeatable request that a leaving node hands over. */
struct RecordCopy
{
    std::string m_key;
    std::uint64_t m_bodyHash = 0;
    CallResult m_result;
    Duration m_remainingTime {}; /**< remaining retention of the record */

    auto operator<=> (const RecordCopy&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_key, m_bodyHash, m_result, m_remainingTime);
    }
};

struct Handover
{
    std::uint64_t m_batch = 0;
    std::vector<RecordCopy> m_records;
    std::vector<Fence> m_fences;

    auto operator<=> (const Handover&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_batch, m_records, m_fences); }
};

struct HandoverAcknowledgement
{
    std::uint64_t m_batch = 0;

    auto operator<=> (const HandoverAcknowledgement&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_batch); }
};

/** Announces that the sender has handed its records over and exits once this is acknowledged. */
struct LeaveNotice
{
    NodeId m_id;
    std::vector<Member> m_members;

    auto operator<=> (const LeaveNotice&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_id, m_members); }
};

struct LeaveAcknowledgement
{
    NodeId m_id;

    auto operator<=> (const LeaveAcknowledgement&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_id); }
};

//==============================================================================
/** Requests the declarations in force at the receiver, if they are newer. */
struct ConfigurationPull
{
    ConfigurationVersion m_knownState = 0; /**< in force at the sender */

    auto operator<=> (const ConfigurationPull&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_knownState); }
};

/** A version of the declarations in force, and the last log offset that it includes. */
struct ConfigurationState
{
    ConfigurationVersion m_version = 0;
    std::int64_t m_asOfOffset = -1;
    std::string m_text;

    auto operator<=> (const ConfigurationState&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_version, m_asOfOffset, m_text); }
};

using PeerMessage =
    std::variant<CallRequest, CallAnswer, CallCancel, Inquiry, InquiryAnswer, JoinRequest,
                 JoinAcknowledgement, Heartbeat, Handover, HandoverAcknowledgement, LeaveNotice,
                 LeaveAcknowledgement, ConfigurationPull, ConfigurationState, RelayRequest, RelayAnswer,
                 RelayCancel, PeerHello, PeerStatus, RoutesPull, RoutesText, MembersPull, MembersUpdate,
                 ProofQuery, ProofAnswer, LimitQuery, LimitAnswer, CrashUpdate, CrashPull, RelayBodyPart>;

//==============================================================================
/** A gossip datagram: the sender, its configuration version and recent changes of members. */
struct GossipMessage
{
    Member m_sender;
    ConfigurationVersion m_version = 0;
    std::vector<Member> m_memberUpdates;

    auto operator<=> (const GossipMessage&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_sender, m_version, m_memberUpdates);
    }
};

} // namespace plankledge
