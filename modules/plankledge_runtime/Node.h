#pragma once

#include "plankledge_core/Logger.h"
#include "plankledge_policy/Reducer.h"
#include "plankledge_runtime/TraceFile.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace boost::asio
{
class io_context;
}

namespace plankledge
{

/** Carries out effects of some kinds; returns whether the effect was of one of them. */
using EffectHandler = std::function<bool (const Effect&)>;

/** @returns a handler for all effects that the edge has a carryOut() for; the edge must outlive it */
template <class Edge> EffectHandler handlerOf (Edge& edge)
{
    return [&edge] (const Effect& effect) {
        const auto tryOne = [&edge] (const auto& value) {
            if constexpr (requires { edge.carryOut (value); })
            {
                edge.carryOut (value);
                return true;
            }
            else
            {
                return false;
            }
        };
        return std::visit (tryOne, effect);
    };
}

//==============================================================================
/**
    One node process: leads events to its reducer and the effects to its edges, all in one
    thread. An edge is whatever meets the world outside: callers, the target, peers, the
    store.

    @see Reducer, KeyedNode
*/
class Node
{
public:
    //==============================================================================
    /** @param time   stamped on each event; timers run by the steady clock, so a wake-up that is due while
       the machine is suspended comes up to 100 ms after it
    */
    Node (boost::asio::io_context& context, std::unique_ptr<Reducer> reducer, Logger& logger,
          TimeSource time = BootClock::now);
    ~Node();

    Node (const Node&) = delete;
    Node& operator= (const Node&) = delete;

    /** Adds an edge; each effect goes to the first that takes it. */
    void addEdge (EffectHandler handler) { m_edges.push_back (std::move (handler)); }

    /** Calls this when the process is about to end, before what was written last is flushed. */
    void onExit (std::function<void()> call) { m_onExit.push_back (std::move (call)); }

    /** Records all events from the start on. */
    void recordTo (std::unique_ptr<TraceWriter> trace, const NodeSettings& settings);

    /** Begins the reducer's life; all edges must be there. */
    void start();

    /** Takes in an event; may be called from within an effect. */
    void submit (EventBody body);

    /** Begins a planned stop; the context stops once it is done. */
    void requestStop() { submit (StopRequested {}); }

    const Reducer& reducer() const noexcept { return *m_reducer; }
    Logger& logger() noexcept { return m_logger; }

    /** @returns a name for a request that waits at an edge */
    Ticket newTicket() noexcept { return m_nextTicket++; }

private:
    //==============================================================================
    struct Timers;

    void applyOne (EventBody body);
    void carryOutAll (const Effects& effects);
    void carryOutOne (const Effect& effect);
    void exit();
    void armTimer();

    boost::asio::io_context& m_context;
    std::unique_ptr<Reducer> m_reducer;
    Logger& m_logger;
    const TimeSource m_time;
    std::vector<EffectHandler> m_edges;
    std::vector<std::function<void()>> m_onExit;
    std::unique_ptr<TraceWriter> m_trace;
    NodeSettings m_traceSettings;
    std::unique_ptr<Timers> m_timers;
    std::deque<EventBody> m_pending;
    Ticket m_nextTicket = 1;
    bool m_isBusy = false;
    bool m_isExiting = false;
    Time m_armedFor;
};

} // namespace plankledge
