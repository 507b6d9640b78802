#pragma once

#include "plankledge_core/RelayMessages.h"

#include <compare>
#include <optional>

namespace plankledge
{

/** Where the answer to a call at the gate is sent. */
struct GateCaller
{
    LinkId m_link = 0; /**< connection opened by the peer; 0 if this node is the caller */
    InstanceName m_instance;
    CallId m_call = 0;

    auto operator<=> (const GateCaller&) const = default;
};

namespace detail
{

/** State of a request at the gate, from arrival to answer. */
struct GateCall
{
    GateCaller m_caller;
    RelayRequest m_request;
    Time m_receivedAt;
    Time m_chainStartedAt;
    Time m_deadline;
    Time m_dispatchedAt;
    TargetIncarnation m_target {};          /**< that it was dispatched to */
    std::optional<Time> m_keyValidUntil {}; /**< latest dispatch; nullopt if unbounded */
    Time m_queueDeadline;                   /**< refused if not dispatched by then */
    Duration m_slotTime {};                 /**< expected time in a slot */
    bool m_isChainActive = false;           /**< a request of its chain was dispatched before */
    bool m_isDispatched = false;
    std::uint32_t m_completedCalls = 0; /**< nested calls that succeeded */

    /** @returns whether the entry's confirmation that the request's key is valid has not expired */
    bool isKeyValidAt (Time now) const noexcept
    {
        return ! m_keyValidUntil.has_value() || now < *m_keyValidUntil;
    }
};

} // namespace detail

} // namespace plankledge
