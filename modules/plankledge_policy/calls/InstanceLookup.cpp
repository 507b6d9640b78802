#include "plankledge_policy/calls/InstanceLookup.h"

namespace plankledge
{

namespace
{

/** Minimum interval of reading the list, for a service that has no instance for longer. */
constexpr Duration listReadInterval = Milliseconds (250);

/** Bound on the lookup of a request if the platform doesn't respond. */
constexpr Duration maxLookupTime = std::chrono::seconds (1);

} // namespace

//==============================================================================
InstanceLookup::InstanceLookup (Hooks hooks)
    : m_hooks (std::move (hooks))
{
}

void InstanceLookup::add (Turn& turn, CallId request)
{
    m_requests[request] = turn.now();
    turn.timers().set (turn.now() + maxLookupTime, TimerKind::instanceLookup, request);
    readList (turn);
}

void InstanceLookup::readList (Turn& turn)
{
    if (m_isReadScheduled)
        return;

    if (m_listReadAt.has_value() && turn.now() - *m_listReadAt < listReadInterval)
    {
        m_isReadScheduled = true;
        return turn.timers().set (*m_listReadAt + listReadInterval, TimerKind::instanceLookup);
    }

    m_listReadAt = turn.now();
    turn.emit (FetchList {});
}

void InstanceLookup::onListReceived (Turn& turn)
{
    std::vector<CallId> ended;

    for (const auto& [request, addedAt] : m_requests)
        if (addedAt <= m_listReadAt.value_or (Time()) || m_hooks.m_isInstanceKnown (request))
            ended.push_back (request);

    for (const auto request : ended)
        end (turn, request);
}

void InstanceLookup::onTimer (Turn& turn, CallId request)
{
    if (request != 0)
        return end (turn, request);

    m_isReadScheduled = false;

    if (! m_requests.empty())
        readList (turn);
}

void InstanceLookup::end (Turn& turn, CallId request)
{
    if (m_requests.erase (request) > 0)
        m_hooks.m_onEnded (turn, request);
}

} // namespace plankledge
