#pragma once

#include "plankledge_policy/Turn.h"
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Holds requests for services of which no instance is known until the platform's list has been read again.

    The list is read periodically, so that an instance which appeared after the last read, such as all others
    when this node was the first to start, would otherwise stay unknown for that long.

    @see OutgoingCalls
*/
class InstanceLookup
{
public:
    //==============================================================================
    struct Hooks
    {
        /** @returns whether an instance of the request's service is known */
        std::function<bool (CallId request)> m_isInstanceKnown;

        /** Ends the lookup of a request: sends it, or refuses it if there is still no instance. */
        std::function<void (Turn&, CallId request)> m_onEnded;
    };

    explicit InstanceLookup (Hooks hooks);

    /** Holds a request, and has the list read unless that has just been done. */
    void add (Turn& turn, CallId request);

    /** The request has ended otherwise. Does nothing if it isn't held. */
    void remove (CallId request) { m_requests.erase (request); }

    /** A list was received: ends the lookups of the requests whose service has an instance now, and of those
        that were held already when the list was asked for. */
    void onListReceived (Turn& turn);

    /** @param request   the timer's subject: a request that has been held for too long, or 0 if the list may
                         be read again
    */
    void onTimer (Turn& turn, CallId request);

    std::size_t size() const noexcept { return m_requests.size(); }

private:
    //==============================================================================
    void readList (Turn& turn);
    void end (Turn& turn, CallId request);

    const Hooks m_hooks;
    std::map<CallId, Time> m_requests; /**< to the time at which they were added */
    std::optional<Time> m_listReadAt;  /**< when this class last had the list read */
    bool m_isReadScheduled = false;
};

} // namespace plankledge
