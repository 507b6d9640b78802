#pragma once

#include "plankledge_core/Logger.h"
#include "plankledge_policy/Reducer.h"
#include "plankledge_runtime/TraceFile.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace boost::asio
{
class io_context;
}

namespace plankledge
{

/** Executes effects of some kinds.

    @returns false if the effect is of another kind
*/
using EffectHandler = std::function<bool (const Effect&)>;

/** @returns a handler for all effects for which the edge has a execute(). The edge must outlive it. */
template <class Edge> EffectHandler handlerOf (Edge& edge)
{
    return [&edge] (const Effect& effect) {
        const auto tryOne = [&edge] (const auto& value) {
            if constexpr (requires { edge.execute (value); })
            {
                edge.execute (value);
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

/** A part of the shutdown of the process, which may take some time. */
struct ShutdownStep
{
    std::function<void()> m_begin;
    std::function<bool()> m_isComplete;
};

//==============================================================================
/**
    The driver of one node process: passes events to the reducer and the resulting effects to the
    edges, all on one thread. An edge is the adapter for one external interface: callers, the
    target, peers, or the store.

    @see Reducer, KeyedNode
*/
class Node
{
public:
    //==============================================================================
    /** @param time   the clock for the timestamps of events. Timers use the steady clock, so a wake-up that
                      falls due while the machine is suspended occurs up to 100 ms after it resumes.
    */
    Node (boost::asio::io_context& context, std::unique_ptr<Reducer> reducer, Logger& logger,
          TimeSource time = BootClock::now);
    ~Node();

    Node (const Node&) = delete;
    Node& operator= (const Node&) = delete;

    /** Adds an edge. Each effect is handled by the first edge that accepts it. */
    void addEdge (EffectHandler handler) { m_edges.push_back (std::move (handler)); }

    /** Adds a step that is executed before the process ends. Steps are executed in the order in which they
        were added, each after the previous one is complete. Events are processed meanwhile. */
    void addShutdownStep (ShutdownStep step) { m_shutdownSteps.push_back (std::move (step)); }

    /** Records all events to a trace. To be called before start(). */
    void recordTo (std::unique_ptr<TraceWriter> trace, const NodeSettings& settings);

    /** Starts the reducer. All edges must have been added. */
    void start();

    /** Processes an event. May be called while an effect is executed; the event is then queued. */
    void submit (EventBody body);

    /** Starts a graceful shutdown. The context stops when it is complete. */
    void requestStop() { submit (StopRequested {}); }

    const Reducer& reducer() const noexcept { return *m_reducer; }
    Logger& logger() noexcept { return m_logger; }

    /** @returns a unique id for a request that is pending at an edge */
    Ticket newTicket() noexcept { return m_nextTicket++; }

private:
    //==============================================================================
    struct Timers;

    void applyOne (EventBody body);
    void executeAll (const Effects& effects);
    void executeOne (const Effect& effect);
    void beginExit (const Exit& effect);
    void continueExit();
    void endProcess();
    void armTimer();

    boost::asio::io_context& m_context;
    std::unique_ptr<Reducer> m_reducer;
    Logger& m_logger;
    const TimeSource m_time;
    std::vector<EffectHandler> m_edges;
    std::vector<ShutdownStep> m_shutdownSteps;
    std::size_t m_shutdownStep = 0; /**< index of the one in progress */
    std::unique_ptr<TraceWriter> m_trace;
    NodeSettings m_traceSettings;
    std::unique_ptr<Timers> m_timers;
    std::deque<EventBody> m_pending;
    Ticket m_nextTicket = 1;
    bool m_isProcessing = false;
    std::optional<Time> m_exitingSince;
    Time m_exitDeadline;
    Time m_nextWakeUp;
};

} // namespace plankledge
