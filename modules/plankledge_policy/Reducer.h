#pragma once

#include "plankledge_policy/KeyedRequests.h"
#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/RelayDecisions.h"

#include <memory>

namespace plankledge
{

//==============================================================================
/**
    The decision logic of a node: maps each event to effects.

    Deterministic: the same settings and events give the same effects. Handles either
    keyed requests (the native interface) or relayed requests, depending on the constructor.
    Events and messages are dispatched by type.

    @see Event, Effect, KeyedRequests, RelayDecisions
*/
class Reducer
{
public:
    //==============================================================================
    /** Creates a reducer for keyed requests. */
    Reducer (const NodeSettings& settings, DeclarationsParser parser);

    /** Creates a reducer for relayed requests. */
    Reducer (const NodeSettings& settings, const RelaySettings& relay, RouteTableParser parser);

    Reducer (const Reducer&) = delete;
    Reducer& operator= (const Reducer&) = delete;

    /** Starts the node.

        @returns the first effects
    */
    Effects start (Time now);

    /** Applies an event. Times must not decrease. */
    Effects apply (const Event& event);

    /** @returns the latest time at which TimePassed must be applied; nullopt: none is needed */
    std::optional<Time> nextWakeUp() const noexcept { return m_timers.next(); }

    //==============================================================================
    const Counters& counters() const noexcept { return m_counters; }

    /** The component for keyed requests. Must only be called if the node serves them. */
    const KeyedRequests& keyed() const noexcept { return *m_keyed; }

    const Membership& membership() const noexcept { return m_keyed->membership(); }
    const InboundCalls& inbound() const noexcept { return m_keyed->inbound(); }
    const OutgoingCalls& outgoing() const noexcept { return m_keyed->outgoing(); }
    const ConfigurationSync& configuration() const noexcept { return m_keyed->configuration(); }
    bool isEstablished() const noexcept { return m_keyed->isEstablished(); }
    bool isDraining() const noexcept { return m_keyed->isDraining(); }

    bool servesRelayed() const noexcept { return m_relay != nullptr; }

    /** The component for relayed requests. Must only be called if the node serves them. */
    const RelayDecisions& relay() const noexcept { return *m_relay; }

private:
    //==============================================================================
    template <class Body> void handle (const Body& body);
    void handle (const PeerMessageReceived& event);
    void detectPause (Time now);
    void runTimers();

    const NodeSettings m_settings;
    Counters m_counters;
    TimerQueue m_timers;
    Random m_random;
    Turn m_turn;
    std::unique_ptr<KeyedRequests> m_keyed;
    std::unique_ptr<RelayDecisions> m_relay;
    Time m_lastEvent;
};

} // namespace plankledge
