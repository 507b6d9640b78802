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

/** Delay before the event loop stops, so that pending responses can be sent. */
constexpr Duration shutdownFlushDelay = Milliseconds (200);

} // namespace

struct Node::Timers
{
    explicit Timers (boost::asio::io_context& context)
        : m_wakeUp (context)
        , m_flush (context)
    {
    }

    boost::asio::steady_timer m_wakeUp;
    boost::asio::steady_timer m_flush;
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

    if (std::holds_alternative<Exit> (effect))
        return exit();

    for (const auto& edge : m_edges)
        if (edge (effect))
            return;

    m_logger.write (Severity::error, "effect-without-edge",
                    { { "kind", fmt::format ("{}", effect.index()) } });
}

void Node::exit()
{
    if (m_isExiting)
        return;

    m_isExiting = true;

    for (const auto& callback : m_onExit)
        callback();

    m_logger.write (Severity::info, "exiting");
    m_logger.flush();
    m_timers->m_flush.expires_after (shutdownFlushDelay);
    m_timers->m_flush.async_wait ([this] (const boost::system::error_code&) { m_context.stop(); });
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
