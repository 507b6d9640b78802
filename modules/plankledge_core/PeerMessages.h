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
    What nodes say to each other. All are immutable values; each lists its
    fields once for the codec, in wire order.

    @see FrameCodec
*/
namespace plankledge
{

/** A request's place in the order of refusal: class, then cohort; the smaller, the later refused. */
using Rank = std::uint16_t;

inline constexpr Rank cohortsPerClass = 128;

/** A threshold that admits every rank. */
inline constexpr Rank admitAll = static_cast<Rank> (priorityClassCount * cohortsPerClass);

//==============================================================================
/** A life that ended with its records: what it ran before then can't be known. */
struct LostMemory
{
    NodeId m_id;
    Duration m_ago {}; /**< since the loss was noticed, at the time of sending */

    auto operator<=> (const LostMemory&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_id, m_ago); }
};

/** A service's current threshold, as last heard. */
struct ServiceThreshold
{
    ServiceName m_service;
    Rank m_threshold = admitAll;

    auto operator<=> (const ServiceThreshold&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_service, m_threshold); }
};

//==============================================================================
/** What the caller wants run; the same on every hop. */
struct RequestContent
{
    ServiceName m_service;
    OperationName m_operation;
    std::string m_method;
    std::string m_path; /**< the whole path with its query */
    std::string m_contentType;
    std::string m_body;

    auto operator<=> (const RequestContent&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_service, m_operation, m_method, m_path, m_contentType, m_body);
    }
};

/** The caller's name for a request that may not be repeated. */
struct Idempotency
{
    std::string m_key;           /**< empty: none was given */
    std::uint32_t m_attempt = 0; /**< 1 for the first sending; 0: not said */
    Duration m_age { -1 };       /**< since the first sending; negative: not said */

    auto operator<=> (const Idempotency&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_key, m_attempt, m_age); }
};

/** Asks the receiver to run a call at its own target. */
struct CallRequest
{
    CallId m_callId = 0;
    RequestContent m_content;
    Idempotency m_idempotency;
    std::uint64_t m_rootId = 0; /**< the same on every call of a chain */
    Rank m_rank = 0;
    std::uint16_t m_depth = 0;
    std::uint32_t m_retryGrant = 0; /**< retries the receiver and all below it may spend */
    Duration m_timeLeft {};

    auto operator<=> (const CallRequest&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_callId, m_content, m_idempotency, m_rootId, m_rank, m_depth, m_retryGrant, m_timeLeft);
    }
};

/** The result of a call, whoever gives it. */
struct CallResult
{
    Outcome m_outcome = Outcome::unknown;
    Reason m_reason = Reason::none;
    std::uint16_t m_status = 0; /**< the target's HTTP status; 0 where the system answers */
    std::string m_contentType;
    std::string m_body;
    Duration m_retryAfter {}; /**< when to ask again; 0: not said */
    bool m_isFinal = false;   /**< refused deeper in the chain: no use in asking a neighbour */

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
    Rank m_threshold = admitAll;                /**< the answering node's own */
    std::uint16_t m_loadPermille = 0;           /**< in flight and queued, against the limit */
    std::vector<ServiceThreshold> m_downstream; /**< of services this operation calls */

    auto operator<=> (const CallAnswer&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_callId, m_result, m_retriesReturned, m_threshold, m_loadPermille, m_downstream);
    }
};

/** The caller no longer waits. */
struct CallCancel
{
    CallId m_callId = 0;

    auto operator<=> (const CallCancel&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_callId); }
};

//==============================================================================
/** Asks whether a key is known, and fences it where it is not. */
struct Inquiry
{
    CallId m_inquiryId = 0;
    std::string m_key;
    Duration m_fenceFor {};

    auto operator<=> (const Inquiry&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_inquiryId, m_key, m_fenceFor); }
};

/** Answers an Inquiry; unknown keys are fenced before this is sent. */
struct InquiryAnswer
{
    CallId m_inquiryId = 0;
    bool m_isKnown = false;
    std::vector<Member> m_members; /**< of the service, the answerer included */
    std::vector<LostMemory> m_lost;

    auto operator<=> (const InquiryAnswer&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_inquiryId, m_isKnown, m_members, m_lost);
    }
};

/** A fenced key's hash: a first attempt that meets it is refused. */
struct Fence
{
    std::uint64_t m_keyHash = 0;
    Duration m_for {}; /**< how long it must still stand */

    auto operator<=> (const Fence&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_keyHash, m_for); }
};

/** A new node asks a member of its service to count it in. */
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

/** Between members of one service, at a fixed period. */
struct Heartbeat
{
    Member m_member;
    ConfigurationVersion m_version = 0;
    std::uint64_t m_membersDigest = 0; /**< of the members that the sender knows */

    auto operator<=> (const Heartbeat&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_member, m_version, m_membersDigest);
    }
};

//==============================================================================
/** A finished non-repeatable request as a leaver hands it over. */
struct RecordCopy
{
    std::string m_key;
    std::uint64_t m_bodyHash = 0;
    CallResult m_result;
    Duration m_for {}; /**< how long it must still be kept */

    auto operator<=> (const RecordCopy&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_key, m_bodyHash, m_result, m_for);
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

/** The sender has handed its records over and exits once this is acknowledged. */
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
/** Asks for the declarations in force at the receiver. */
struct ConfigurationPull
{
    ConfigurationVersion m_have = 0;

    auto operator<=> (const ConfigurationPull&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_have); }
};

/** A version in force, and the last log offset it takes into account. */
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
                 RelayCancel, PeerHello, PeerStatus, RoutesPull, RoutesText, MembersPull, MembersTold,
                 ProofQuestion, ProofAnswer, LimitQuestion, LimitAnswer, CrashUpdate, CrashPull>;

//==============================================================================
/** A UDP datagram: who the sender is, what it has in force, and a few members it heard of lately. */
struct Rumour
{
    Member m_sender;
    ConfigurationVersion m_version = 0;
    std::vector<Member> m_news;

    auto operator<=> (const Rumour&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_sender, m_version, m_news); }
};

} // namespace plankledge
