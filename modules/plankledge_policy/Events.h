#pragma once

#include "plankledge_core/PeerMessages.h"
#include <optional>
#include <string>
#include <variant>
#include <vector>

/** All that can happen to a node. Immutable values; the driver stamps the time. */
namespace plankledge
{

/** Names a request that waits for its answer at this node's own caller or outbound address. */
using Ticket = std::uint64_t;

//==============================================================================
/** Time passed; sent when the reducer asked to be woken, and at least every 100 ms. */
struct TimePassed
{
    auto operator<=> (const TimePassed&) const = default;

    template <class Archive> void serialize (Archive&) {}
};

/** A request came in, from an outside caller or from the own target. */
struct RequestReceived
{
    Ticket m_ticket = 0;
    bool m_isOutbound = false; /**< from the own target */
    std::string m_parent;      /**< the Plankledge-Request-Id of the call that the target serves */
    RequestContent m_content;
    Idempotency m_idempotency;
    std::optional<Duration> m_timeout;

    auto operator<=> (const RequestReceived&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_ticket, m_isOutbound, m_parent, m_content, m_idempotency, m_timeout);
    }
};

/** Whoever sent the request closed the connection. */
struct RequesterGone
{
    Ticket m_ticket = 0;

    auto operator<=> (const RequesterGone&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_ticket); }
};

//==============================================================================
/** A frame came in. */
struct PeerMessageReceived
{
    LinkId m_link = 0; /**< the connection that the peer opened, or 0 for this node's own */
    NodeId m_from;
    PeerMessage m_message;

    auto operator<=> (const PeerMessageReceived&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_link, m_from, m_message); }
};

/** The peer could not be connected to: none of these calls left this node. */
struct PeerUnreachable
{
    InstanceName m_instance;
    std::vector<CallId> m_calls;

    auto operator<=> (const PeerUnreachable&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_instance, m_calls); }
};

/** The connection that this node had opened broke; what was sent over it may have arrived. */
struct PeerLost
{
    InstanceName m_instance;

    auto operator<=> (const PeerLost&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_instance); }
};

/** A connection that a peer had opened is closed. */
struct LinkClosed
{
    LinkId m_link = 0;

    auto operator<=> (const LinkClosed&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_link); }
};

struct RumourReceived
{
    Rumour m_rumour;

    auto operator<=> (const RumourReceived&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_rumour); }
};

//==============================================================================
/** The target answered a dispatched call whole. */
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
    refusedConnection, /**< nothing was sent */
    broken             /**< the request may have arrived */
};

/** The target gave no whole answer. */
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

/** What the target says of itself, on an answer or to a probe. */
struct TargetObserved
{
    TargetState m_state = TargetState::serving;

    auto operator<=> (const TargetObserved&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_state); }
};

//==============================================================================
/** One line of the platform's list of instances. */
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

/** The platform's list was read whole. */
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
    std::string m_id;                   /**< unique to one publication */
    ConfigurationVersion m_version = 0; /**< a proposal's base, a checkpoint's version */
    LogOffset m_asOfOffset = -1;        /**< of a checkpoint: the last offset it takes into account */
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
    LogOffset m_from = 0;     /**< the offset that was asked for */
    LogOffset m_earliest = 0; /**< the first that the log still keeps */
    LogOffset m_next = 0;     /**< the offset to go on from */
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

    auto operator<=> (const JoinRecord&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_offset, m_member); }
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
    malformed /**< several, of another scheme, or what can't be a key */
};

/** What a sender shows of whom it speaks for. */
struct Credential
{
    CredentialKind m_kind = CredentialKind::none;
    std::string m_key; /**< a secret: goes to no log, metric or peer */

    auto operator<=> (const Credential&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_kind, m_key); }
};

/** A relayed request came in, from a caller of this instance or from its target. */
struct RelayRequestReceived
{
    Ticket m_ticket = 0;
    std::string m_host; /**< that the request names; part of what picks the route */
    RelayContent m_content;
    std::optional<Duration> m_timeout; /**< how long the sender waits; nullopt: it did not say */
    Credential m_credential;
    HeaderList m_credentialHeaders; /**< as they were sent; they travel on only where no keys are declared */

    auto operator<=> (const RelayRequestReceived&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_ticket, m_host, m_content, m_timeout, m_credential, m_credentialHeaders);
    }
};

enum class TargetReplyKind : std::uint8_t
{
    answered, /**< the target's whole answer */
    rejected, /**< the target says that it did not run the request */
    notSent,  /**< no connection came up: nothing was sent */
    broken    /**< the request may have run, and there is no whole answer */
};

/** How a relayed request ended at the own target. */
struct TargetReply
{
    CallId m_call = 0;
    TargetReplyKind m_kind = TargetReplyKind::broken;
    RelayedAnswer m_answer;

    auto operator<=> (const TargetReply&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_call, m_kind, m_answer); }
};

enum class AnnouncedState : std::uint8_t
{
    serving,
    draining,
    gone
};

/** The own target said what it is. */
struct TargetAnnounced
{
    TargetId m_target;
    AnnouncedState m_state = AnnouncedState::serving;
    std::uint64_t m_sequence = 0; /**< rises with each announcement of one life; gone has none */
    ServiceName m_service;
    Endpoint m_endpoint;
    std::uint32_t m_slots = 0;
    std::optional<Duration> m_startedAt {}; /**< since the Unix epoch, by its own clock: a target that starts
                                               again may keep its id; nullopt: it does not say */

    auto operator<=> (const TargetAnnounced&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_target, m_state, m_sequence, m_service, m_endpoint, m_slots, m_startedAt);
    }
};

/** The store was read: the newest routes, as their operators wrote them. */
struct RoutesRead
{
    std::string m_text;

    auto operator<=> (const RoutesRead&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_text); }
};

/** The store answered a read of the routes: all versions that were written before it was asked have been
   handed on. */
struct RoutesConfirmed
{
    Duration m_askedAt {}; /**< by this process's clock (BootClock) */

    auto operator<=> (const RoutesConfirmed&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_askedAt); }
};

/** The store was read: nodes that announced themselves or were withdrawn since the last read. */
struct MembersRead
{
    std::vector<Member> m_members;
    std::vector<InstanceName> m_withdrawn;
    std::vector<InstanceName> m_unreadable {}; /**< whose newest record says nothing that can be read */
    StorePlace m_end {}; /**< of the records that are known now; without an offset: not all are yet */

    auto operator<=> (const MembersRead&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_members, m_withdrawn, m_unreadable, m_end);
    }
};

/** The store came back from an older copy of itself, and is read anew. */
struct StoreRestored
{
    StoreEra m_era = 0;

    auto operator<=> (const StoreRestored&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_era); }
};

/** The store answers again, or no longer does. */
struct StoreReached
{
    bool m_isReached = false;

    auto operator<=> (const StoreReached&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_isReached); }
};

using EventBody =
    std::variant<TimePassed, RequestReceived, RequesterGone, PeerMessageReceived, PeerUnreachable, PeerLost,
                 LinkClosed, RumourReceived, TargetAnswered, TargetFailed, TargetObserved, ListReceived,
                 ConfigurationRead, JoinsRead, StopRequested, RelayRequestReceived, TargetReply,
                 TargetAnnounced, RoutesRead, RoutesConfirmed, MembersRead, StoreReached, StoreRestored>;

//==============================================================================
struct Event
{
    Time m_time;
    EventBody m_body;

    auto operator<=> (const Event&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_time, m_body); }
};

} // namespace plankledge
