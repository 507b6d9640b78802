#pragma once

#include "plankledge_policy/Events.h"
#include <variant>
#include <vector>

/** All that a node can be told to do by its reducer. Immutable values. */
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

/** Sends over this node's own connection to the peer, which is opened where there is none. */
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

/** Answers over the connection that the peer opened; dropped if that is gone. */
struct ReplyOnLink
{
    LinkId m_link = 0;
    InstanceName m_instance;
    PeerMessage m_message;

    auto operator<=> (const ReplyOnLink&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_link, m_instance, m_message); }
};

struct SendRumour
{
    Endpoint m_endpoint;
    Rumour m_rumour;

    auto operator<=> (const SendRumour&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_endpoint, m_rumour); }
};

/** Sends a call to the own target. */
struct DispatchToTarget
{
    CallId m_call = 0;
    RequestContent m_content;
    Idempotency m_idempotency;
    std::string m_requestId; /**< what the target copies to the calls it makes */
    Time m_deadline;

    auto operator<=> (const DispatchToTarget&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_call, m_content, m_idempotency, m_requestId, m_deadline);
    }
};

/** Closes the connection of a call that nobody waits for; the target cancels it. */
struct AbandonTarget
{
    CallId m_call = 0;

    auto operator<=> (const AbandonTarget&) const = default;

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
/** What is worth a line in the log. */
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
    wokeFromPause
};

struct WriteLog
{
    Notice m_notice = Notice::established;
    std::string m_subject; /**< an instance's name, or empty */
    std::int64_t m_value = 0;

    auto operator<=> (const WriteLog&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_notice, m_subject, m_value); }
};

/** The process ends now. */
struct Exit
{
    auto operator<=> (const Exit&) const = default;

    template <class Archive> void serialize (Archive&) {}
};

//==============================================================================
/** Answers a relayed request. */
struct AnswerRelay
{
    Ticket m_ticket = 0;
    RelayResult m_result;
    bool m_closes = false; /**< the sender is to take another connection for its next request */

    auto operator<=> (const AnswerRelay&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_ticket, m_result, m_closes); }
};

/** Sends a relayed request to the own target. */
struct RelayToTarget
{
    CallId m_call = 0;
    RelayContent m_content;
    ServiceName m_callerService;
    TargetId m_target; /**< no other life of the target may run it */
    Endpoint m_endpoint;
    Duration m_timeLeft {};
    OrganisationName m_organisation {}; /**< that the request is for; empty: it needs no key */

    auto operator<=> (const RelayToTarget&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_call, m_content, m_callerService, m_target, m_endpoint, m_timeLeft, m_organisation);
    }
};

/** The own target started anew: idle connections to it are of no use any more. */
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

enum class TopicReading : std::uint8_t
{
    once,   /**< listed whole, and no more */
    follow, /**< read on as records come, until told otherwise */
    rest
};

/** How a topic of the store is to be read from now on. */
struct ReadTopic
{
    StoreTopic m_topic = StoreTopic::members;
    TopicReading m_reading = TopicReading::rest;
    StorePlace m_from; /**< to follow: all records before this one are known; not known: it is listed first */
    Duration
        m_longestWait {}; /**< to follow: a read without news ends after this, so that a store which falls
                             silent is noticed, and its return; 0: as long as the store lets it wait */

    auto operator<=> (const ReadTopic&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_topic, m_reading, m_from, m_longestWait);
    }
};

/** The store is to hold this of the own node. */
struct PublishMember
{
    Member m_member;

    auto operator<=> (const PublishMember&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_member); }
};

/** The store is to hold nothing any more of a node. */
struct WithdrawMember
{
    InstanceName m_instance;

    auto operator<=> (const WithdrawMember&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_instance); }
};

/** A decision on a relayed request, or a change of what the node believes. */
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
    decisionCount
};

/** One input of a decision, by name. */
struct DecisionInput
{
    std::string m_name;
    std::string m_value;

    auto operator<=> (const DecisionInput&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_name, m_value); }
};

/** Writes a decision to the log with what decided it. */
struct LogDecision
{
    Decision m_decision = Decision::requestSent;
    std::string m_request; /**< the request's id; empty where it is about no request */
    std::vector<DecisionInput> m_inputs;

    auto operator<=> (const LogDecision&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_decision, m_request, m_inputs); }
};

using Effect =
    std::variant<AnswerRequest, SendToPeer, ReplyOnLink, SendRumour, DispatchToTarget, AbandonTarget,
                 FetchList, ReadLog, AppendJoin, AppendCheckpoint, WriteLog, Exit, AnswerRelay, RelayToTarget,
                 DropTargetConnections, ReadTopic, PublishMember, WithdrawMember, LogDecision>;

using Effects = std::vector<Effect>;

} // namespace plankledge
