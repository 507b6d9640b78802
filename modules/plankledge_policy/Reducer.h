#pragma once

#include "plankledge_policy/KeyedRequests.h"
#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/RelayDecisions.h"

#include <memory>

namespace plankledge
{

//==============================================================================
/**
    All decisions of one node: takes an event, returns what is to be done.

    The same settings and events give the same effects. A node serves keyed requests
    (its own interface) or relayed ones, or both; the type of an event or message says
    which part it is for, and what a node does not serve costs it nothing.

    @see Event, Effect, KeyedRequests, RelayDecisions
*/
class Reducer
{
public:
    //==============================================================================
    /** Serves keyed requests. */
    Reducer (const NodeSettings& settings, DeclarationsParser parser);

    /** Serves relayed requests. */
    Reducer (const NodeSettings& settings, const RelaySettings& relay, RouteTableParser parser);

    Reducer (const Reducer&) = delete;
    Reducer& operator= (const Reducer&) = delete;

    /** Begins: the first effects of a node's life. */
    Effects start (Time now);

    /** Takes in one event. Times must not go back. */
    Effects apply (const Event& event);

    /** @returns when TimePassed must come at the latest; nullopt: never */
    std::optional<Time> nextWakeUp() const noexcept { return m_timers.next(); }

    //==============================================================================
    const Counters& counters() const noexcept { return m_counters; }

    /** The part for keyed requests; only where the node serves them. */
    const KeyedRequests& keyed() const noexcept { return *m_keyed; }

    const Membership& membership() const noexcept { return m_keyed->membership(); }
    const InboundCalls& inbound() const noexcept { return m_keyed->inbound(); }
    const OutgoingCalls& outgoing() const noexcept { return m_keyed->outgoing(); }
    const ConfigurationSync& configuration() const noexcept { return m_keyed->configuration(); }
    bool isEstablished() const noexcept { return m_keyed->isEstablished(); }
    bool isDraining() const noexcept { return m_keyed->isDraining(); }

    /** The part for relayed requests; only where the node serves them. */
    bool servesRelayed() const noexcept { return m_relay != nullptr; }
    const RelayDecisions& relay() const noexcept { return *m_relay; }

private:
    //==============================================================================
    template <class Body> void handle (const Body& body);
    void handle (const PeerMessageReceived& event);
    void noticePause (Time now);
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
