#pragma once

#include "plankledge_core/Declarations.h"
#include "plankledge_core/Identity.h"
#include "plankledge_core/Member.h"
#include "plankledge_core/Outcome.h"
#include "plankledge_core/SharedBytes.h"
#include "plankledge_core/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/**
    Messages between nodes about relayed requests. Their senders give each attempt an id
    of its own, so that nodes need no idempotency records.

    @see PeerMessage
*/
namespace plankledge
{

/** End-to-end header names and values in their order. */
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/** Name of a route, as configured. */
using RouteName = std::string;

/** Digest that identifies equivalent requests, see computeContentDigest(). */
using ContentDigest = std::uint64_t;

/** Identifies one incarnation of a target. */
using TargetId = std::string;

/** The load that a target states in an answer. */
struct TargetLoad
{
    std::uint32_t m_running = 0;                       /**< requests that it is running */
    std::uint32_t m_waiting = 0;                       /**< requests that it has queued */
    std::uint32_t m_slots = 0;                         /**< requests that it can run concurrently */
    std::optional<std::uint16_t> m_workTimePercent {}; /**< how long work takes there at present, relative to
                                                          the usual time; nullopt: not stated */

    auto operator<=> (const TargetLoad&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_running, m_waiting, m_slots, m_workTimePercent);
    }
};

/** What a target states about itself in an answer; it holds until the next answer. */
struct TargetCondition
{
    std::optional<double> m_rateLimit {}; /**< requests per second that it accepts from all nodes together;
                                             nullopt: unlimited */
    bool m_isRateLimitMalformed = false;  /**< a limit was stated that can't be read */
    bool m_isLeaving = false;             /**< it accepts no further work */
    std::optional<TargetLoad> m_load {};  /**< nullopt: not stated, or it can't be read */
    bool m_isLoadMalformed = false;       /**< a load was stated that can't be read */

    auto operator<=> (const TargetCondition&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_rateLimit, m_isRateLimitMalformed, m_isLeaving, m_load, m_isLoadMalformed);
    }
};

//==============================================================================
/** Content of a request, passed on unchanged from its sender to the target. */
struct RelayContent
{
    std::string m_id; /**< the sender's id of this attempt */
    std::string m_method;
    std::string m_path; /**< with its query */
    HeaderList m_headers;
    SharedBytes m_body;

    auto operator<=> (const RelayContent&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_id, m_method, m_path, m_headers, m_body);
    }
};

/** A target's answer, passed back unchanged. */
struct RelayedAnswer
{
    std::uint16_t m_status = 0;
    HeaderList m_headers;
    std::string m_body;

    auto operator<=> (const RelayedAnswer&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_status, m_headers, m_body); }
};

/** Result of a relayed request. */
struct RelayResult
{
    Outcome m_outcome = Outcome::unknown;
    Reason m_reason = Reason::none; /**< why the target did not answer */
    RelayedAnswer m_answer;         /**< valid if the outcome is completed */
    Duration m_retryAfter {};       /**< after a rejection: delay before a retry; 0: unspecified */

    auto operator<=> (const RelayResult&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_outcome, m_reason, m_answer, m_retryAfter);
    }
};

//==============================================================================
/** One incarnation of a target, which may restart under the same id. */
struct TargetIncarnation
{
    TargetId m_target;
    std::optional<Duration> m_startedAt {}; /**< by the target's clock; nullopt if not announced */

    auto operator<=> (const TargetIncarnation&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_target, m_startedAt); }
};

/** What a target has stated that restricts the requests it may be sent. */
struct TargetRestriction
{
    TargetIncarnation m_target;
    std::optional<double> m_rateLimit {}; /**< see TargetCondition */
    bool m_isLeaving = false;             /**< final: it holds for the rest of the incarnation */

    auto operator<=> (const TargetRestriction&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_target, m_rateLimit, m_isLeaving);
    }
};

/** The rate at which a gate dispatches to a target that states a rate limit. */
struct GateRate
{
    double m_perSecond = 0.0;
    double m_burst = 0.0;  /**< maximum of m_tokens */
    double m_tokens = 0.0; /**< requests that may be dispatched at once, less those that are queued */

    auto operator<=> (const GateRate&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_perSecond, m_burst, m_tokens); }
};

/** State and load of the gate in front of a target. */
struct GateStatus
{
    bool m_isOpen = false;                /**< accepts new requests */
    std::uint32_t m_limit = 0;            /**< maximum number of requests that the target runs concurrently */
    std::uint32_t m_inGate = 0;           /**< running and queued requests */
    Duration m_queuedWork {};             /**< expected slot time of the queued requests */
    std::uint16_t m_failurePermille = 0;  /**< share of failures in the target's recent answers */
    std::uint16_t m_admittedPermille = 0; /**< admission level: lower shed ranks are admitted */
    std::optional<GateRate> m_rate {};    /**< nullopt: not limited */
    std::optional<TargetRestriction> m_restriction {}; /**< nullopt: the target states none */
    bool m_isRestrictionKnown = false; /**< false: the target has not answered this process of the node, which
                                          may lack a restriction */

    auto operator<=> (const GateStatus&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_isOpen, m_limit, m_inGate, m_queuedWork, m_failurePermille, m_admittedPermille, m_rate,
                 m_restriction, m_isRestrictionKnown);
    }
};

/** Moving average of the time that requests of a route take at a target. */
struct RouteTime
{
    RouteName m_route;
    Duration m_time {};

    auto operator<=> (const RouteTime&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_route, m_time); }
};

/** Rate of calls that requests of one route make to another route. */
struct CallEdge
{
    RouteName m_caller;
    RouteName m_callee;
    ServiceName m_service;             /**< the callee's */
    std::uint32_t m_callsPermille = 0; /**< calls per thousand requests of the calling route */

    auto operator<=> (const CallEdge&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_caller, m_callee, m_service, m_callsPermille);
    }
};

//==============================================================================
/** Requests that the receiver run a request at its local target. */
struct RelayRequest
{
    CallId m_callId = 0;
    RelayContent m_content;
    std::uint32_t m_bodyBytesToFollow =
        0;                       /**< if not 0, the body is empty here and follows in RelayBodyParts */
    ServiceName m_service;       /**< service to which the target must belong */
    ServiceName m_callerService; /**< service of the instance at which the request arrived */
    RouteName m_route;
    OrganisationName m_organisation;       /**< owner of the API key; empty if the route requires none */
    ContentDigest m_digest = 0;            /**< see computeContentDigest() */
    std::optional<Duration> m_keyValidFor; /**< time from sending within which it must start to run;
                                              nullopt: unbounded */
    bool m_isShortOffer = false; /**< if it is refused for lack of free slots, the sender offers it to
                                    another target */
    std::uint16_t m_effectivePriority = 0; /**< smaller values are run first */
    std::uint16_t m_retryPriority = 0;     /**< configured priority of the route at which its chain began */
    bool m_isChainRepeatable = true;       /**< that route is repeatable */
    bool m_isTolerantChain = false;        /**< that route is latency-tolerant, see
                                              RelaySettings::m_tolerantObjective */
    bool m_isRetry = false;  /**< it, or a request above it in the chain, has been sent to a target before */
    bool m_isNested = false; /**< call by a target for a request that it is running */
    Duration m_chainAge {};  /**< since the first request of the chain arrived at its entry node */
    Duration m_timeLeft {};  /**< until the deadline, at the time of sending */
    Duration m_maxQueueTime {}; /**< it is rejected if it would be queued for longer */
    Duration
        m_maxQueueTimeOfNewChain {}; /**< the same, if no request of its chain has run at the target yet */
    Duration m_sentAt {};            /**< on the sender's steady clock; used to estimate the transit time */

    /** Of the receiver's target, as known to the sender; the receiver may have restarted since it was stated.
     */
    std::optional<TargetRestriction> m_restriction {};

    auto operator<=> (const RelayRequest&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_callId, m_content, m_bodyBytesToFollow, m_service, m_callerService, m_route,
                 m_organisation, m_digest, m_keyValidFor, m_isShortOffer, m_effectivePriority,
                 m_retryPriority, m_isChainRepeatable, m_isTolerantChain, m_isRetry, m_isNested, m_chainAge,
                 m_timeLeft, m_maxQueueTime, m_maxQueueTimeOfNewChain, m_sentAt, m_restriction);
    }
};

/** The next part of the body of a RelayRequest. Large bodies are sent in parts, so that other messages can be
    sent between them. */
struct RelayBodyPart
{
    CallId m_callId = 0;
    std::string m_bytes;

    auto operator<=> (const RelayBodyPart&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_callId, m_bytes); }
};

/** Answers a RelayRequest. */
struct RelayAnswer
{
    CallId m_callId = 0;
    RelayResult m_result;
    GateStatus m_gate;
    Duration m_routeTime {};            /**< average time of the request's route at this target; 0: unknown */
    ConfigurationVersion m_version = 0; /**< configuration in force at the sender */

    auto operator<=> (const RelayAnswer&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_callId, m_result, m_gate, m_routeTime, m_version);
    }
};

/** Cancels a RelayRequest. */
struct RelayCancel
{
    CallId m_callId = 0;

    auto operator<=> (const RelayCancel&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_callId); }
};

/** Incremented when the store is restored from a backup: records written since the backup are lost, and their
    offsets are reused. */
using StoreEra = std::uint64_t;

/** A position in a topic of the store, ordered by era, then by offset. */
struct StorePosition
{
    StoreEra m_era = 0;
    LogOffset m_offset = -1; /**< -1: unknown */

    auto operator<=> (const StorePosition&) const = default;

    bool isKnown() const noexcept { return m_offset >= 0; }

    template <class Archive> void serialize (Archive& archive) { archive (m_era, m_offset); }
};

/** A node's state of synchronisation with the platform's store. */
struct StoreView
{
    StorePosition m_membersEnd; /**< all member records before this position are known */
    bool m_isFollowing = false; /**< whether it reads from the store itself and sends updates to its peers */
    bool m_isStoreReachable = true; /**< whether the store responds to this node */

    auto operator<=> (const StoreView&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_membersEnd, m_isFollowing, m_isStoreReachable);
    }
};

/** Heartbeat with the sender's member data and gate status; answered by PeerStatus.
    Sent if the two nodes have not exchanged their gate status recently. */
struct PeerHello
{
    Member m_member;
    ConfigurationVersion m_version = 0;
    GateStatus m_gate;
    Duration m_sentAt {};        /**< on the sender's steady clock */
    bool m_asksForCalls = false; /**< whether the answer is to include PeerStatus::m_calls */
    StoreView m_store;
    std::uint64_t m_crashes = 0; /**< digest of the stored crash reports; 0: none */

    auto operator<=> (const PeerHello&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_member, m_version, m_gate, m_sentAt, m_asksForCalls, m_store, m_crashes);
    }
};

/** A node's gate status and configuration version; answers PeerHello, and is sent when the gate opens or
    closes. */
struct PeerStatus
{
    ConfigurationVersion m_version = 0;
    GateStatus m_gate;
    std::vector<RouteTime> m_times;               /**< at the sender's target */
    std::optional<std::vector<CallEdge>> m_calls; /**< of the sender's target; only if requested */
    StoreView m_store;
    std::uint64_t m_crashes = 0; /**< digest of the stored crash reports; 0: none */

    /** Of the receiver's target, as the sender remembers it; only in an answer to a hello. */
    std::optional<TargetRestriction> m_restriction {};

    auto operator<=> (const PeerStatus&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_version, m_gate, m_times, m_calls, m_store, m_crashes, m_restriction);
    }
};

//==============================================================================
/** Requests the members that changed since the sender's position in the store. */
struct MembersPull
{
    StorePosition m_knownState; /**< the sender's StoreView::m_membersEnd */

    auto operator<=> (const MembersPull&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_knownState); }
};

/** Answers MembersPull. */
struct MembersUpdate
{
    std::vector<Member> m_members;
    std::vector<InstanceName> m_withdrawn;
    StorePosition m_end; /**< the sender's StoreView::m_membersEnd */

    auto operator<=> (const MembersUpdate&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_members, m_withdrawn, m_end); }
};

//==============================================================================
/** Requests the routes in force at the receiver, if they are newer. */
struct RoutesPull
{
    ConfigurationVersion m_knownState = 0; /**< in force at the sender */

    auto operator<=> (const RoutesPull&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_knownState); }
};

/** Source text of a version of the routes. */
struct RoutesText
{
    std::string m_text;

    auto operator<=> (const RoutesText&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_text); }
};

//==============================================================================
/** Requests the receiver's latest proof that its configuration is the newest. */
struct ProofQuery
{
    Duration m_askedAt {}; /**< on the sender's clock; returned in the answer */

    auto operator<=> (const ProofQuery&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_askedAt); }
};

/** Answers ProofQuery.

    The receiver subtracts the age from m_askedAt, so that a delay of the answer never makes the proof
    appear more recent than it is.
*/
struct ProofAnswer
{
    Duration m_askedAt {};              /**< copied from the query */
    ConfigurationVersion m_version = 0; /**< configuration in force at the sender */
    Duration m_age {};                  /**< time since this version was last known to be the newest */

    auto operator<=> (const ProofAnswer&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_askedAt, m_version, m_age); }
};

//==============================================================================
/** Asks the node that counts an organisation's requests to admit one request under its rate limit. */
struct LimitQuery
{
    CallId m_queryId = 0; /**< assigned by the sender */
    OrganisationName m_organisation;

    auto operator<=> (const LimitQuery&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_queryId, m_organisation); }
};

enum class LimitVerdict : std::uint8_t
{
    within, /**< the request is counted */
    beyond,
    unknown /**< the organisation is unknown, or no node could be asked */
};

/** Answers LimitQuery. */
struct LimitAnswer
{
    CallId m_queryId = 0;
    LimitVerdict m_verdict = LimitVerdict::unknown;
    Duration m_wait {}; /**< if beyond: time until a request would be within the limit */

    auto operator<=> (const LimitAnswer&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_queryId, m_verdict, m_wait); }
};

} // namespace plankledge
