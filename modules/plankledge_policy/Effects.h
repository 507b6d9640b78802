#pragma once

#include "plankledge_policy/Events.h"
#include <variant>
#include <vector>

/** Effects: the actions that the reducer requests from the runtime. Immutable values. */
namespace plankledge
{

//==============================================================================
/** Answers a request at the caller or outbound address. */
struct AnswerRequest
{
    Ticket m_ticket = 0;
    CallResult m_result;

    auto operator<=> (const AnswerRequest&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_ticket, m_result); }
};

/** Sends a message to a peer over this node's connection to it, opening one if needed. */
struct SendToPeer
{
    InstanceName m_instance;
    Endpoint m_endpoint;
    PeerMessage m_message;

    auto operator<=> (const SendToPeer&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_instance, m_endpoint, m_message);
    }
};

/** Replies over the connection that the peer opened; dropped if it is closed. */
struct ReplyOnLink
{
    LinkId m_link = 0;
    InstanceName m_instance;
    PeerMessage m_message;

    auto operator<=> (const ReplyOnLink&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_link, m_instance, m_message); }
};

struct SendGossip
{
    Endpoint m_endpoint;
    GossipMessage m_gossipMessage;

    auto operator<=> (const SendGossip&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_endpoint, m_gossipMessage); }
};

/** Sends a call to this node's target. */
struct DispatchToTarget
{
    CallId m_call = 0;
    RequestContent m_content;
    Idempotency m_idempotency;
    std::string m_requestId; /**< copied by the target to its nested calls */
    Time m_deadline;

    auto operator<=> (const DispatchToTarget&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_call, m_content, m_idempotency, m_requestId, m_deadline);
    }
};

/** Cancels a call that is no longer needed by closing its connection to the target. */
struct CancelTargetCall
{
    CallId m_call = 0;

    auto operator<=> (const CancelTargetCall&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_call); }
};

//==============================================================================
struct FetchList
{
    auto operator<=> (const FetchList&) const = default;

    template <class Archive> void serialize (Archive&) {}
};

enum class LogStream : std::uint8_t
{
    configuration,
    joins
};

struct ReadLog
{
    LogStream m_stream = LogStream::configuration;
    LogOffset m_from = 0;

    auto operator<=> (const ReadLog&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_stream, m_from); }
};

struct AppendJoin
{
    Member m_member;

    auto operator<=> (const AppendJoin&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_member); }
};

struct AppendCheckpoint
{
    ConfigurationState m_state;

    auto operator<=> (const AppendCheckpoint&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_state); }
};

//==============================================================================
/** Events written to the log by WriteLog. */
enum class Notice : std::uint8_t
{
    configurationInForce,
    configurationConflict,
    configurationInvalid,
    established,
    memberLost,
    memberLeft,
    targetStateChanged,
    thresholdChanged,
    drainStarted,
    handoverFinished,
    drainTimedOut,
    wokeFromPause,
    scheduledLate /**< the process stood still for a time shorter than a pause */
};

struct WriteLog
{
    Notice m_notice = Notice::established;
    std::string m_subject; /**< an instance name, or empty */
    std::int64_t m_value = 0;

    auto operator<=> (const WriteLog&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_notice, m_subject, m_value); }
};

/** Ends the process once the responses to all requests have been sent. */
struct Exit
{
    Duration m_maxDelay {}; /**< after which the process ends in any case */

    auto operator<=> (const Exit&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_maxDelay); }
};

//==============================================================================
/** Answers a relayed request. */
struct AnswerRelay
{
    Ticket m_ticket = 0;
    RelayResult m_result;
    bool m_closesConnection = false; /**< closes the connection after the answer */

    auto operator<=> (const AnswerRelay&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_ticket, m_result, m_closesConnection);
    }
};

/** Sends a relayed request to this node's target. */
struct RelayToTarget
{
    CallId m_call = 0;
    RelayContent m_content;
    ServiceName m_callerService;
    TargetId m_target; /**< only this incarnation of the target may run it */
    Endpoint m_endpoint;
    Duration m_timeLeft {};
    OrganisationName m_organisation {}; /**< of the request; empty: public route */

    auto operator<=> (const RelayToTarget&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_call, m_content, m_callerService, m_target, m_endpoint, m_timeLeft, m_organisation);
    }
};

/** Closes idle connections to this node's target, which has restarted. */
struct DropTargetConnections
{
    auto operator<=> (const DropTargetConnections&) const = default;

    template <class Archive> void serialize (Archive&) {}
};

enum class StoreTopic : std::uint8_t
{
    members,
    routes
};

enum class TopicReadMode : std::uint8_t
{
    once,   /**< list all records, then stop */
    follow, /**< keep reading new records */
    stop    /**< stop reading */
};

/** Changes how a topic of the store is read. */
struct ReadTopic
{
    StoreTopic m_topic = StoreTopic::members;
    TopicReadMode m_readMode = TopicReadMode::stop;
    StorePosition m_from;  /**< follow: position to read from; without an offset the topic is listed first */
    Duration m_maxWait {}; /**< follow: timeout of a read without new records, so that an outage of the
                                  store is detected; 0: the store's own maximum */

    auto operator<=> (const ReadTopic&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_topic, m_readMode, m_from, m_maxWait);
    }
};

/** Writes this node's member record to the store. */
struct PublishMember
{
    Member m_member;
    std::optional<TargetIncarnation> m_leavingTarget {}; /**< the last one of its target to leave */

    auto operator<=> (const PublishMember&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_member, m_leavingTarget); }
};

/** Deletes a node's member record from the store. */
struct WithdrawMember
{
    InstanceName m_instance;

    auto operator<=> (const WithdrawMember&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_instance); }
};

/** Decisions on relayed requests and state changes that are logged by LogDecision. */
enum class Decision : std::uint8_t
{
    requestSent,
    requestSentAgain,
    requestAnswered,
    requestRefused,
    requestGivenUp,
    requestCancelled,
    gateDispatched,
    gateRefused,
    gateEnded,
    targetAnnounced,
    peerFound,
    peerLost,
    peerRegained,
    routesInForce,
    routesInvalid,
    admissionMoved,
    storeFollowing,
    memberPublished,
    keysOpened,
    keysClosed,
    limitHomes,
    crashReported,
    crashWithdrawn,
    contentHeld,
    storeRestored,
    targetConditionChanged,
    decisionCount
};

/** A named input of a decision. */
struct DecisionInput
{
    std::string m_name;
    std::string m_value;

    auto operator<=> (const DecisionInput&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_name, m_value); }
};

/** Writes a decision and its inputs to the log. */
struct LogDecision
{
    Decision m_decision = Decision::requestSent;
    std::string m_request; /**< request id; empty if the decision concerns no request */
    std::vector<DecisionInput> m_inputs;

    auto operator<=> (const LogDecision&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_decision, m_request, m_inputs); }
};

using Effect =
    std::variant<AnswerRequest, SendToPeer, ReplyOnLink, SendGossip, DispatchToTarget, CancelTargetCall,
                 FetchList, ReadLog, AppendJoin, AppendCheckpoint, WriteLog, Exit, AnswerRelay, RelayToTarget,
                 DropTargetConnections, ReadTopic, PublishMember, WithdrawMember, LogDecision>;

using Effects = std::vector<Effect>;

} // namespace plankledge
