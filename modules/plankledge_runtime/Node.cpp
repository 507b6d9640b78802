#include "plankledge_runtime/Node.h"

#include "plankledge_runtime/NoticeLog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace plankledge
{

namespace
{

/** The reducer hears of the time at least so often, and so notices that the process stood still. */
constexpr Duration longestSleep = Milliseconds (100);

/** What was answered last gets this long to leave the sockets. */
constexpr Duration flushTime = Milliseconds (200);

} // namespace

struct Node::Timers
{
    explicit Timers (boost::asio::io_context& context)
        : m_wake (context)
        , m_flush (context)
    {
    }

    boost::asio::steady_timer m_wake;
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

    carryOutAll (effects);
    armTimer();
}

//==============================================================================
void Node::submit (EventBody body)
{
    m_pending.push_back (std::move (body));

    if (m_isBusy)
        return;

    m_isBusy = true;

    while (! m_pending.empty())
    {
        auto next = std::move (m_pending.front());
        m_pending.pop_front();
        applyOne (std::move (next));
    }

    m_isBusy = false;
    armTimer();
}

void Node::applyOne (EventBody body)
{
    const Event event { m_time(), std::move (body) };
    const auto effects = m_reducer->apply (event);

    if (m_trace != nullptr)
        m_trace->write (TraceStep { event, hashEffects (effects) });

    carryOutAll (effects);
}

void Node::carryOutAll (const Effects& effects)
{
    for (const auto& effect : effects)
        carryOutOne (effect);
}

void Node::carryOutOne (const Effect& effect)
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

    for (const auto& call : m_onExit)
        call();

    m_logger.write (Severity::info, "exiting");
    m_logger.flush();
    m_timers->m_flush.expires_after (flushTime);
    m_timers->m_flush.async_wait ([this] (const boost::system::error_code&) { m_context.stop(); });
}

void Node::armTimer()
{
    const auto now = m_time();
    const auto due = std::min (m_reducer->nextWakeUp().value_or (now + longestSleep), now + longestSleep);

    // An earlier wake-up that is armed already serves as well.
    if (m_armedFor > now && m_armedFor <= due)
        return;

    m_armedFor = due;
    m_timers->m_wake.expires_after (std::max (Duration::zero(), due - now));
    m_timers->m_wake.async_wait ([this] (const boost::system::error_code& error) {
        if (error)
            return;

        m_armedFor = Time();
        submit (TimePassed {});
        m_logger.flush();
    });
}

} // namespace plankledge
