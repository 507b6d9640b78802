#include "plankledge_policy/Reducer.h"

namespace plankledge
{

namespace
{

/** Passes an event to a component if the component handles its type. */
template <class Component, class Body> void dispatch (Component* component, const Body& body)
{
    if constexpr (requires { component->handle (body); })
        if (component != nullptr)
            component->handle (body);
}

/** Passes a peer's message to a component if the component handles its type. */
template <class Component, class Message>
void dispatch (Component* component, LinkId link, const NodeId& from, const Message& message)
{
    if constexpr (requires { component->onMessage (link, from, message); })
        if (component != nullptr)
            component->onMessage (link, from, message);
}

} // namespace

//==============================================================================
Reducer::Reducer (const NodeSettings& settings, DeclarationsParser parser)
    : m_settings (settings)
    , m_random (settings.m_seed)
    , m_turn (m_settings, m_counters, m_timers, m_random)
    , m_keyed (std::make_unique<KeyedRequests> (m_turn, std::move (parser)))
{
}

Reducer::Reducer (const NodeSettings& settings, const RelaySettings& relay, RouteTableParser parser)
    : m_settings (settings)
    , m_random (settings.m_seed)
    , m_turn (m_settings, m_counters, m_timers, m_random)
    , m_relay (std::make_unique<RelayDecisions> (m_turn, relay, std::move (parser)))
{
}

Effects Reducer::start (Time now)
{
    m_turn.begin (now);
    m_lastEvent = now;

    if (m_keyed != nullptr)
        m_keyed->start();

    if (m_relay != nullptr)
        m_relay->start();

    return m_turn.takeEffects();
}

Effects Reducer::apply (const Event& event)
{
    m_turn.begin (event.m_time);
    detectPause (event.m_time);
    runTimers();
    std::visit ([this] (const auto& body) { handle (body); }, event.m_body);
    return m_turn.takeEffects();
}

//==============================================================================
void Reducer::detectPause (Time now)
{
    const auto pause = now - m_lastEvent;
    m_lastEvent = now;

    if (pause <= m_settings.m_pauseThreshold)
        return;

    ++m_counters.m_detectedPauses;

    if (m_keyed != nullptr)
        m_keyed->onPause();

    if (m_relay != nullptr)
        m_relay->onPause();

    m_turn.emit (WriteLog { Notice::wokeFromPause, {}, toMilliseconds (pause) });
}

void Reducer::runTimers()
{
    while (const auto timer = m_timers.takeDue (m_turn.now()))
    {
        if (m_keyed != nullptr)
            m_keyed->onTimer (*timer);

        if (m_relay != nullptr)
            m_relay->onTimer (*timer);
    }
}

template <class Body> void Reducer::handle (const Body& body)
{
    dispatch (m_keyed.get(), body);
    dispatch (m_relay.get(), body);
}

void Reducer::handle (const PeerMessageReceived& event)
{
    if (m_keyed != nullptr)
        m_keyed->onMessageFrom (event.m_from);

    if (m_relay != nullptr)
        m_relay->onMessageFrom (event.m_from);

    const auto dispatchMessage = [&] (const auto& message) {
        dispatch (m_keyed.get(), event.m_link, event.m_from, message);
        dispatch (m_relay.get(), event.m_link, event.m_from, message);
    };
    std::visit (dispatchMessage, event.m_message);
}

} // namespace plankledge
