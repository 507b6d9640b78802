#pragma once

#include "plankledge_core/PeerMessages.h"
#include "plankledge_core/ResponseError.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/** Events: the inputs of the reducer. Immutable values; the runtime sets the time. */
namespace plankledge
{

/** Identifies a request that is pending at this node's caller or outbound address. */
using Ticket = std::uint64_t;

//==============================================================================
/** Sent when the next timer is due, and at least every 100 ms. */
struct TimePassed
{
    auto operator<=> (const TimePassed&) const = default;

    template <class Archive> void serialize (Archive&) {}
};

/** A request was received from an external caller or from this node's target. */
struct RequestReceived
{
    Ticket m_ticket = 0;
    bool m_isOutbound = false; /**< from this node's target */
    std::string m_parent;      /**< the Plankledge-Request-Id of the call that the target is serving */
    RequestContent m_content;
    Idempotency m_idempotency;
    std::optional<Duration> m_timeout;

    auto operator<=> (const RequestReceived&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_ticket, m_isOutbound, m_parent, m_content, m_idempotency, m_timeout);
    }
};

/** The sender of the request closed the connection. */
struct CallerDisconnected
{
    Ticket m_ticket = 0;

    auto operator<=> (const CallerDisconnected&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_ticket); }
};

//==============================================================================
/** A message from a peer was received. */
struct PeerMessageReceived
{
    LinkId m_link = 0; /**< connection opened by the peer; 0: opened by this node */
    NodeId m_from;
    PeerMessage m_message;

    auto operator<=> (const PeerMessageReceived&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_link, m_from, m_message); }
};

/** Connecting to the peer failed: none of these calls was sent. */
struct PeerUnreachable
{
    InstanceName m_instance;
    std::vector<CallId> m_calls;

    auto operator<=> (const PeerUnreachable&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_instance, m_calls); }
};

/** There was no room to queue these calls for the peer: none of them was sent. The peer and the connection to
   it are not affected. */
struct CallsNotQueued
{
    InstanceName m_instance;
    std::vector<CallId> m_calls;

    auto operator<=> (const CallsNotQueued&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_instance, m_calls); }
};

/** There was no room to keep a peer's relayed request. It has not been passed on. */
struct PeerCallRefused
{
    LinkId m_link = 0;
    NodeId m_from;
    CallId m_call = 0;
    RouteName m_route;

    auto operator<=> (const PeerCallRefused&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_link, m_from, m_call, m_route); }
};

/** The connection that this node opened to the peer broke; messages sent over it may have arrived. */
struct PeerLost
{
    InstanceName m_instance;

    auto operator<=> (const PeerLost&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_instance); }
};

/** A connection opened by a peer was closed. */
struct LinkClosed
{
    LinkId m_link = 0;

    auto operator<=> (const LinkClosed&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_link); }
};

struct GossipReceived
{
    GossipMessage m_gossipMessage;

    auto operator<=> (const GossipReceived&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_gossipMessage); }
};

//==============================================================================
/** The target answered a dispatched call completely. */
struct TargetAnswered
{
    CallId m_call = 0;
    std::uint16_t m_status = 0;
    std::string m_contentType;
    std::string m_body;

    auto operator<=> (const TargetAnswered&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_call, m_status, m_contentType, m_body);
    }
};

enum class TargetFailure : std::uint8_t
{
    connectionRefused, /**< nothing was sent */
    broken             /**< the request may have arrived */
};

/** The target did not answer a dispatched call completely. */
struct TargetFailed
{
    CallId m_call = 0;
    TargetFailure m_failure = TargetFailure::broken;

    auto operator<=> (const TargetFailed&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_call, m_failure); }
};

enum class TargetState : std::uint8_t
{
    serving,
    draining,
    unreachable
};

/** The target reported its state, on an answer or a probe. */
struct TargetObserved
{
    TargetState m_state = TargetState::serving;

    auto operator<=> (const TargetObserved&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_state); }
};

//==============================================================================
/** An entry of the platform's list of instances. */
struct ListedInstance
{
    InstanceName m_instance;
    ServiceName m_service;
    ZoneName m_zone;
    Endpoint m_endpoint;
    bool m_isLeaving = false;

    auto operator<=> (const ListedInstance&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_instance, m_service, m_zone, m_endpoint, m_isLeaving);
    }
};

/** The platform's list of instances was read completely. */
struct ListReceived
{
    std::vector<ListedInstance> m_instances;

    auto operator<=> (const ListReceived&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_instances); }
};

enum class ConfigurationRecordKind : std::uint8_t
{
    proposal,
    checkpoint
};

/** A record of the configuration stream. */
struct ConfigurationRecord
{
    LogOffset m_offset = -1;
    ConfigurationRecordKind m_kind = ConfigurationRecordKind::proposal;
    std::string m_id;                   /**< unique to a publication */
    ConfigurationVersion m_version = 0; /**< base version of a proposal, version of a checkpoint */
    LogOffset m_asOfOffset = -1;        /**< of a checkpoint: the last offset that it includes */
    std::string m_text;

    auto operator<=> (const ConfigurationRecord&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_offset, m_kind, m_id, m_version, m_asOfOffset, m_text);
    }
};

/** Part of the configuration stream was read. */
struct ConfigurationRead
{
    LogOffset m_from = 0;     /**< the requested offset */
    LogOffset m_earliest = 0; /**< the first offset that the log retains */
    LogOffset m_next = 0;     /**< the offset to continue from */
    std::vector<ConfigurationRecord> m_records;

    auto operator<=> (const ConfigurationRead&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_from, m_earliest, m_next, m_records);
    }
};

/** A record of the join stream: a node started. */
struct JoinRecord
{
    LogOffset m_offset = -1;
    Member m_member;
    std::optional<TargetIncarnation> m_leavingTarget {}; /**< see PublishMember */

    auto operator<=> (const JoinRecord&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_offset, m_member, m_leavingTarget);
    }
};

/** Part of the join stream was read. */
struct JoinsRead
{
    LogOffset m_next = 0;
    std::vector<JoinRecord> m_records;

    auto operator<=> (const JoinsRead&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_next, m_records); }
};

/** The process was asked to stop. */
struct StopRequested
{
    auto operator<=> (const StopRequested&) const = default;

    template <class Archive> void serialize (Archive&) {}
};

//==============================================================================
enum class CredentialKind : std::uint8_t
{
    none,
    key,
    malformed /**< several credentials, an unsupported scheme or an invalid key */
};

/** The credential of a request. */
struct Credential
{
    CredentialKind m_kind = CredentialKind::none;
    std::string m_key; /**< secret: must not be logged, exported or sent to peers */

    auto operator<=> (const Credential&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_kind, m_key); }
};

/** A relayed request was received from a caller of this instance or from its target. */
struct RelayRequestReceived
{
    Ticket m_ticket = 0;
    std::string m_host; /**< requested host; selects the route together with the path */
    RelayContent m_content;
    std::optional<Duration> m_timeout; /**< set by the sender; nullopt: none */
    Credential m_credential;
    HeaderList m_credentialHeaders; /**< unmodified; forwarded only if no keys are declared */

    auto operator<=> (const RelayRequestReceived&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_ticket, m_host, m_content, m_timeout, m_credential, m_credentialHeaders);
    }
};

enum class TargetReplyKind : std::uint8_t
{
    answered, /**< the target answered completely */
    rejected, /**< the target reported that it did not run the request */
    notSent,  /**< connecting failed: nothing was sent */
    broken    /**< no complete answer; the request may have run */
};

/** Result of a relayed request at this node's target. */
struct TargetReply
{
    CallId m_call = 0;
    TargetReplyKind m_kind = TargetReplyKind::broken;
    RelayedAnswer m_answer;
    std::optional<TargetCondition> m_condition {}; /**< nullopt: no answer was received */
    ResponseError m_error = ResponseError::none;   /**< if broken: why the answer was discarded */

    auto operator<=> (const TargetReply&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_call, m_kind, m_answer, m_condition, m_error);
    }
};

enum class AnnouncedState : std::uint8_t
{
    serving,
    draining,
    gone
};

/** This node's target announced itself. */
struct TargetAnnounced
{
    TargetId m_target;
    AnnouncedState m_state = AnnouncedState::serving;
    std::uint64_t m_sequence = 0; /**< increases with each announcement of an incarnation; not set for gone */
    ServiceName m_service;
    Endpoint m_endpoint;
    std::uint32_t m_slots = 0;
    std::optional<Duration> m_startedAt {}; /**< since the Unix epoch, by the target's clock: distinguishes
                                               restarts with the same id; nullopt: not announced */

    auto operator<=> (const TargetAnnounced&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_target, m_state, m_sequence, m_service, m_endpoint, m_slots, m_startedAt);
    }
};

/** The newest routes were read from the store; m_text is unparsed. */
struct RoutesRead
{
    std::string m_text;

    auto operator<=> (const RoutesRead&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_text); }
};

/** The store answered a read of the routes: all versions written before m_askedAt were reported by
   RoutesRead. */
struct RoutesConfirmed
{
    Duration m_askedAt {}; /**< time of the read, by BootClock */

    auto operator<=> (const RoutesConfirmed&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_askedAt); }
};

/** Member records that were written or withdrawn since the last read of the store. */
struct MembersRead
{
    std::vector<Member> m_members;
    std::vector<InstanceName> m_withdrawn;
    std::vector<InstanceName> m_unreadable {}; /**< whose newest record is invalid */
    StorePosition
        m_end {}; /**< end of the records read so far; without an offset: the listing is incomplete */
    std::optional<TargetIncarnation> m_leavingTarget {}; /**< stated by this node's record, if it was read */

    /** Whether this process has read its node's newest record, or that there is none, with no failed call to
       the store: a store that fails may have been away when the record should have been written. */
    bool m_isOwnRecordKnown = true;

    auto operator<=> (const MembersRead&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_members, m_withdrawn, m_unreadable, m_end, m_leavingTarget, m_isOwnRecordKnown);
    }
};

/** The store was restored from an older copy and is read again from the start. */
struct StoreRestored
{
    StoreEra m_era = 0;

    auto operator<=> (const StoreRestored&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_era); }
};

/** The store became reachable or unreachable. */
struct StoreReachabilityChanged
{
    bool m_isStoreReachable = false;

    auto operator<=> (const StoreReachabilityChanged&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_isStoreReachable); }
};

using EventBody =
    std::variant<TimePassed, RequestReceived, CallerDisconnected, PeerMessageReceived, PeerUnreachable,
                 PeerLost, LinkClosed, GossipReceived, TargetAnswered, TargetFailed, TargetObserved,
                 ListReceived, ConfigurationRead, JoinsRead, StopRequested, RelayRequestReceived, TargetReply,
                 TargetAnnounced, RoutesRead, RoutesConfirmed, MembersRead, StoreReachabilityChanged,
                 StoreRestored, CallsNotQueued, PeerCallRefused>;

//==============================================================================
struct Event
{
    Time m_time;
    EventBody m_body;

    auto operator<=> (const Event&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_time, m_body); }
};

} // namespace plankledge
