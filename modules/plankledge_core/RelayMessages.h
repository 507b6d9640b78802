#pragma once

#include "plankledge_core/Declarations.h"
#include "plankledge_core/Identity.h"
#include "plankledge_core/Member.h"
#include "plankledge_core/Outcome.h"
#include "plankledge_core/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/**
    What nodes say to each other about relayed requests: those whose sender gives each
    of its attempts an id of its own, so that no record is needed to run them once.

    @see PeerMessage
*/
namespace plankledge
{

/** End-to-end header names and values in their order. */
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/** The operators' name of a route. */
using RouteName = std::string;

/** Tells whether two requests ask for the same thing, see digestOf(). */
using ContentDigest = std::uint64_t;

/** Names one life of a target; a restarted target has another. */
using TargetId = std::string;

//==============================================================================
/** A request as it passes unchanged from its sender to the target. */
struct RelayContent
{
    std::string m_id; /**< the sender's own id of this attempt */
    std::string m_method;
    std::string m_path; /**< with its query */
    HeaderList m_headers;
    std::string m_body;

    auto operator<=> (const RelayContent&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_id, m_method, m_path, m_headers, m_body);
    }
};

/** A target's whole answer, passed back unchanged. */
struct RelayedAnswer
{
    std::uint16_t m_status = 0;
    HeaderList m_headers;
    std::string m_body;

    auto operator<=> (const RelayedAnswer&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_status, m_headers, m_body); }
};

/** What became of a relayed request, whoever tells it. */
struct RelayResult
{
    Outcome m_outcome = Outcome::unknown;
    Reason m_reason = Reason::none; /**< why there is no target's answer */
    RelayedAnswer m_answer;         /**< where the outcome is completed */
    Duration m_retryAfter {};       /**< after a refusal: when to ask again; 0: not said */

    auto operator<=> (const RelayResult&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_outcome, m_reason, m_answer, m_retryAfter);
    }
};

//==============================================================================
/** How busy the gate in front of a target is. */
struct GateStatus
{
    bool m_isOpen = false;                /**< takes new work */
    std::uint32_t m_limit = 0;            /**< requests that the target may run at a time */
    std::uint32_t m_inGate = 0;           /**< requests that run or wait */
    Duration m_queuedWork {};             /**< slot time that the waiting requests will take */
    std::uint16_t m_failurePermille = 0;  /**< of the target's recent answers */
    std::uint16_t m_admittedPermille = 0; /**< of the order of refusal, from its most important end */

    auto operator<=> (const GateStatus&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_isOpen, m_limit, m_inGate, m_queuedWork, m_failurePermille, m_admittedPermille);
    }
};

/** How long requests of one route take at a target, moving average. */
struct RouteTime
{
    RouteName m_route;
    Duration m_time {};

    auto operator<=> (const RouteTime&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_route, m_time); }
};

/** How often requests of one route make calls on another. */
struct CallEdge
{
    RouteName m_caller;
    RouteName m_callee;
    ServiceName m_service;             /**< the callee's */
    std::uint32_t m_callsPermille = 0; /**< calls for each thousand requests of the caller */

    auto operator<=> (const CallEdge&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_caller, m_callee, m_service, m_callsPermille);
    }
};

//==============================================================================
/** Asks the receiver to run a request at its own target. */
struct RelayRequest
{
    CallId m_callId = 0;
    RelayContent m_content;
    ServiceName m_service;       /**< that the target must belong to */
    ServiceName m_callerService; /**< of the instance where the request began */
    RouteName m_route;
    OrganisationName m_organisation;       /**< that the request's key belongs to; empty: it needs none */
    ContentDigest m_digest = 0;            /**< of what it asks */
    std::optional<Duration> m_keyValidFor; /**< it may not begin to run later than this after it was sent;
                                              nullopt: no such bound */
    std::uint16_t m_effectivePriority = 0; /**< the smaller, the sooner run */
    bool m_isRetry = false;     /**< it, or a request that it is a call of, was sent to a target before */
    bool m_isNested = false;    /**< a call made by a target for a request that runs already */
    Duration m_chainAge {};     /**< since the request at the head of the chain came to its entry */
    Duration m_timeLeft {};     /**< until nobody waits for the answer, when this was sent */
    Duration m_maxQueueTime {}; /**< it is refused rather than kept waiting longer for a slot */
    Duration
        m_maxQueueTimeOfNewChain {}; /**< the same, where nothing of its chain has run at the target yet */
    Duration m_sentAt {};            /**< by the sender's steady clock; tells how long this was under way */

    auto operator<=> (const RelayRequest&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_callId, m_content, m_service, m_callerService, m_route, m_organisation, m_digest,
                 m_keyValidFor, m_effectivePriority, m_isRetry, m_isNested, m_chainAge, m_timeLeft,
                 m_maxQueueTime, m_maxQueueTimeOfNewChain, m_sentAt);
    }
};

/** Answers a RelayRequest. */
struct RelayAnswer
{
    CallId m_callId = 0;
    RelayResult m_result;
    GateStatus m_gate;
    Duration m_routeTime {};            /**< of the request's route at this target; 0: not known */
    ConfigurationVersion m_version = 0; /**< in force at the sender */

    auto operator<=> (const RelayAnswer&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_callId, m_result, m_gate, m_routeTime, m_version);
    }
};

/** The sender of a RelayRequest no longer waits. */
struct RelayCancel
{
    CallId m_callId = 0;

    auto operator<=> (const RelayCancel&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_callId); }
};

/** Rises when the store comes back from an older copy of itself: offsets are given out again, and what was
   written since the copy is gone. */
using StoreEra = std::uint64_t;

/** A place in a topic of the store. All places of a later era come after those of the ones before. */
struct StorePlace
{
    StoreEra m_era = 0;
    LogOffset m_offset = -1; /**< -1: not known */

    auto operator<=> (const StorePlace&) const = default;

    bool isKnown() const noexcept { return m_offset >= 0; }

    template <class Archive> void serialize (Archive& archive) { archive (m_era, m_offset); }
};

/** What a node has of the platform's store. */
struct StoreView
{
    StorePlace m_membersEnd;    /**< it knows all records of members before this place */
    bool m_isFollowing = false; /**< it reads the store itself, and tells others what it reads */
    bool m_isReached = true;    /**< false: the store does not answer it */

    auto operator<=> (const StoreView&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_membersEnd, m_isFollowing, m_isReached);
    }
};

/** Says who the sender is and how its gate is; answered by PeerStatus. Sent where neither has heard of the
    other's gate lately. */
struct PeerHello
{
    Member m_member;
    ConfigurationVersion m_version = 0;
    GateStatus m_gate;
    Duration m_sentAt {};        /**< by the sender's steady clock */
    bool m_asksForCalls = false; /**< the answer is to tell the calls that were seen */
    StoreView m_store;
    std::uint64_t m_crashes = 0; /**< digest of the crashes that it remembers; 0: none */

    auto operator<=> (const PeerHello&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_member, m_version, m_gate, m_sentAt, m_asksForCalls, m_store, m_crashes);
    }
};

/** What a node's gate and configuration are at; answers PeerHello, and is sent when the gate opens or shuts.
 */
struct PeerStatus
{
    ConfigurationVersion m_version = 0;
    GateStatus m_gate;
    std::vector<RouteTime> m_times;               /**< at the own target */
    std::optional<std::vector<CallEdge>> m_calls; /**< seen at the own target; where they were asked for */
    StoreView m_store;
    std::uint64_t m_crashes = 0; /**< digest of the crashes that it remembers; 0: none */

    auto operator<=> (const PeerStatus&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_version, m_gate, m_times, m_calls, m_store, m_crashes);
    }
};

//==============================================================================
/** Asks for the members that changed since the asker's view of the store. */
struct MembersPull
{
    StorePlace m_have; /**< the asker's StoreView::m_membersEnd */

    auto operator<=> (const MembersPull&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_have); }
};

/** Answers MembersPull. */
struct MembersTold
{
    std::vector<Member> m_members;
    std::vector<InstanceName> m_withdrawn;
    StorePlace m_end; /**< the teller's StoreView::m_membersEnd */

    auto operator<=> (const MembersTold&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_members, m_withdrawn, m_end); }
};

//==============================================================================
/** Asks for the routes in force at the receiver, if they are newer. */
struct RoutesPull
{
    ConfigurationVersion m_have = 0;

    auto operator<=> (const RoutesPull&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_have); }
};

/** A version of the routes as its operators wrote it. */
struct RoutesText
{
    std::string m_text;

    auto operator<=> (const RoutesText&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_text); }
};

//==============================================================================
/** Asks up to when the receiver knows that no newer configuration was written than the one it has. */
struct ProofQuestion
{
    Duration m_askedAt {}; /**< by the asker's clock; comes back with the answer */

    auto operator<=> (const ProofQuestion&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_askedAt); }
};

/** Answers ProofQuestion. The asker subtracts the age from when it asked, so that the whole way there and
   back counts, however long the answer lay somewhere. */
struct ProofAnswer
{
    Duration m_askedAt {};              /**< the question's */
    ConfigurationVersion m_version = 0; /**< in force at the sender */
    Duration m_age {};                  /**< so long ago no newer version had been written */

    auto operator<=> (const ProofAnswer&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_askedAt, m_version, m_age); }
};

//==============================================================================
/** Asks the node that counts an organisation's requests whether one more is within its limit. */
struct LimitQuestion
{
    CallId m_question = 0; /**< the asker's own number */
    OrganisationName m_organisation;

    auto operator<=> (const LimitQuestion&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_question, m_organisation); }
};

enum class LimitVerdict : std::uint8_t
{
    within, /**< the request is counted */
    beyond,
    unknown /**< the node does not know the organisation, or nobody could be asked */
};

/** Answers LimitQuestion. */
struct LimitAnswer
{
    CallId m_question = 0;
    LimitVerdict m_verdict = LimitVerdict::unknown;
    Duration m_wait {}; /**< where it is beyond: until a request would be within */

    auto operator<=> (const LimitAnswer&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_question, m_verdict, m_wait); }
};

} // namespace plankledge
