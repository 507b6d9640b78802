#include "plankledge_runtime/Node.h"

#include "plankledge_runtime/NoticeLog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace plankledge
{

namespace
{

/** The longest interval between time events. The reducer treats gaps above the pause threshold as pauses of
   the process. */
constexpr Duration maxWakeUpInterval = Milliseconds (100);

/** Interval of checking whether the shutdown can continue. */
constexpr Duration shutdownCheckPeriod = Milliseconds (5);

} // namespace

struct Node::Timers
{
    explicit Timers (boost::asio::io_context& context)
        : m_wakeUp (context)
        , m_shutdown (context)
    {
    }

    boost::asio::steady_timer m_wakeUp;
    boost::asio::steady_timer m_shutdown;
};

//==============================================================================
Node::Node (boost::asio::io_context& context, std::unique_ptr<Reducer> reducer, Logger& logger,
            TimeSource time)
    : m_context (context)
    , m_reducer (std::move (reducer))
    , m_logger (logger)
    , m_time (std::move (time))
    , m_timers (std::make_unique<Timers> (context))
{
}

Node::~Node() = default;

void Node::recordTo (std::unique_ptr<TraceWriter> trace, const NodeSettings& settings)
{
    m_trace = std::move (trace);
    m_traceSettings = settings;
}

void Node::start()
{
    const auto now = m_time();
    const auto effects = m_reducer->start (now);

    if (m_trace != nullptr)
        m_trace->write (TraceHeader { 1, m_traceSettings, now, hashEffects (effects) });

    executeAll (effects);
    armTimer();
}

//==============================================================================
void Node::submit (EventBody body)
{
    m_pending.push_back (std::move (body));

    if (m_isProcessing)
        return;

    m_isProcessing = true;

    while (! m_pending.empty())
    {
        auto next = std::move (m_pending.front());
        m_pending.pop_front();
        applyOne (std::move (next));
    }

    m_isProcessing = false;
    armTimer();
}

void Node::applyOne (EventBody body)
{
    const Event event { m_time(), std::move (body) };
    const auto effects = m_reducer->apply (event);

    if (m_trace != nullptr)
        m_trace->write (TraceStep { event, hashEffects (effects) });

    executeAll (effects);
}

void Node::executeAll (const Effects& effects)
{
    for (const auto& effect : effects)
        executeOne (effect);
}

void Node::executeOne (const Effect& effect)
{
    if (const auto* notice = std::get_if<WriteLog> (&effect))
        return writeNotice (m_logger, *notice);

    if (const auto* decision = std::get_if<LogDecision> (&effect))
        return writeDecision (m_logger, *decision);

    if (const auto* end = std::get_if<Exit> (&effect))
        return beginExit (*end);

    for (const auto& edge : m_edges)
        if (edge (effect))
            return;

    m_logger.write (Severity::error, "effect-without-edge",
                    { { "kind", fmt::format ("{}", effect.index()) } });
}

//==============================================================================
void Node::beginExit (const Exit& effect)
{
    if (m_exitingSince.has_value())
        return;

    m_exitingSince = m_time();
    m_exitDeadline = *m_exitingSince + effect.m_maxDelay;
    m_logger.write (Severity::info, "exiting");
    m_logger.flush();

    if (! m_shutdownSteps.empty())
        m_shutdownSteps.front().m_begin();

    continueExit();
}

/** Continues the shutdown as far as possible, and then checks again after a while. Never ends the process
    synchronously, since effects of the same turn may still have to be executed. */
void Node::continueExit()
{
    m_timers->m_shutdown.expires_after (shutdownCheckPeriod);
    m_timers->m_shutdown.async_wait ([this] (const boost::system::error_code& error) {
        if (error)
            return;

        while (m_shutdownStep < m_shutdownSteps.size() && m_shutdownSteps[m_shutdownStep].m_isComplete())
            if (++m_shutdownStep < m_shutdownSteps.size())
                m_shutdownSteps[m_shutdownStep].m_begin();

        if (m_shutdownStep == m_shutdownSteps.size() || m_time() >= m_exitDeadline)
            return endProcess();

        continueExit();
    });
}

void Node::endProcess()
{
    const bool isComplete = m_shutdownStep == m_shutdownSteps.size();
    m_logger.write (isComplete ? Severity::info : Severity::warning, "exited",
                    { { "complete", isComplete ? "true" : "false" },
                      { "ms", fmt::format ("{}", toMilliseconds (m_time() - *m_exitingSince)) },
                      { "requests", fmt::format ("{}", m_reducer->counters().m_requestsAtExit) } });
    m_logger.flush();
    m_context.stop();
}

void Node::armTimer()
{
    const auto now = m_time();
    const auto due =
        std::min (m_reducer->nextWakeUp().value_or (now + maxWakeUpInterval), now + maxWakeUpInterval);

    // A timer that is already set for an earlier time is sufficient.
    if (m_nextWakeUp > now && m_nextWakeUp <= due)
        return;

    m_nextWakeUp = due;
    m_timers->m_wakeUp.expires_after (std::max (Duration::zero(), due - now));
    m_timers->m_wakeUp.async_wait ([this] (const boost::system::error_code& error) {
        if (error)
            return;

        m_nextWakeUp = Time();
        submit (TimePassed {});
        m_logger.flush();
    });
}

} // namespace plankledge
