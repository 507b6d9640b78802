#pragma once

#include "plankledge_core/RelayMessages.h"

#include <compare>
#include <optional>

namespace plankledge
{

/** Who waits for the answer of a call at the gate. */
struct GateCaller
{
    LinkId m_link = 0; /**< the connection that the peer opened; 0: this node itself */
    InstanceName m_instance;
    CallId m_call = 0;

    auto operator<=> (const GateCaller&) const = default;
};

namespace detail
{

/** A request at the gate, from its arrival to its answer. */
struct GateCall
{
    GateCaller m_caller;
    RelayRequest m_request;
    Time m_receivedAt;
    Time m_chainStartedAt;
    Time m_deadline;
    Time m_dispatchedAt;
    std::optional<Time> m_keyHoldsUntil {}; /**< it may not be dispatched later; nullopt: no such bound */
    Time m_holdEnd;                         /**< it is refused if it has no slot by then */
    Duration m_slotTime {};                 /**< that it is expected to hold a slot */
    bool m_hasBegun = false;                /**< the target has worked for its chain already */
    bool m_isDispatched = false;
    std::uint32_t m_callsDone = 0; /**< its calls that ended well */

    /** @returns whether the word of the request's entry that its key is valid still counts */
    bool holdsKeyAt (Time now) const noexcept
    {
        return ! m_keyHoldsUntil.has_value() || now < *m_keyHoldsUntil;
    }
};

} // namespace detail

} // namespace plankledge
