#include "support/RateSite.h"

#include <algorithm>
#include <array>

namespace plankledge::test
{

namespace
{

constexpr Duration step = Milliseconds (5);
constexpr Duration startupTime = std::chrono::seconds (2);
constexpr std::array<const char*, 3> zones { "zone-a", "zone-b", "zone-c" };
constexpr std::uint16_t serviceUnavailable = 503;
constexpr std::uint16_t serverError = 500;

Route withPriority (Route route, std::uint32_t priority)
{
    route.m_priority = priority;
    return route;
}

} // namespace

//==============================================================================
RateSite::RateSite (unsigned targets, unsigned entries, std::uint32_t slots)
{
    for (unsigned index = 0; index < targets + entries; ++index)
    {
        const auto isTarget = index < targets;
        const auto name = (isTarget ? "target-" : "entry-") + std::to_string (index);
        add (name, isTarget ? "plans" : "web", zones[index % zones.size()], slots);
        (isTarget ? m_targets : m_entries).push_back (name);

        if (isTarget)
            setTarget (name, [this] (RelayRig&, const InstanceName& instance, const RelayToTarget& dispatch) {
                onDispatch (instance, dispatch);
            });
    }

    publish (makeTable (1, { withPriority (makeRoute ("urgent", "plans"), 0),
                             withPriority (makeRoute ("lesser", "plans"), 2) }));
    run (startupTime);
}

void RateSite::onDispatch (const InstanceName& instance, const RelayToTarget& dispatch)
{
    const bool isRejected = m_rejecting.contains (instance);
    replyWith (instance,
               { dispatch.m_call,
                 isRejected ? TargetReplyKind::rejected : TargetReplyKind::answered,
                 { isRejected ? serviceUnavailable : std::uint16_t (200), {}, "answer" },
                 m_conditions[instance] },
               isRejected ? latency : work);
}

void RateSite::state (const InstanceName& target, const TargetCondition& condition)
{
    m_conditions[target] = condition;
}

void RateSite::stateRateEverywhere (double perSecond)
{
    for (const auto& target : m_targets)
        stateRate (target, perSecond);
}

void RateSite::restart (const InstanceName& instance)
{
    kill (instance);
    start (instance);
    sendMembersAndRoutes (instance);
    announce (instance);
}

void RateSite::addFrontService (unsigned targets)
{
    for (unsigned index = 0; index < targets; ++index)
    {
        const auto name = "front-" + std::to_string (index);
        add (name, "front", zones[index % zones.size()]);
        setTarget (name, [this] (RelayRig&, const InstanceName& instance, const RelayToTarget& dispatch) {
            const auto call = send (instance, dispatch.m_content.m_id + ".1", std::string (urgentPath) + "x");
            m_pendingCalls.push_back ({ instance, dispatch.m_call, call });
        });
    }

    m_hasFrontService = true;
    publish (makeTable (2, { withPriority (makeRoute ("urgent", "plans"), 0),
                             withPriority (makeRoute ("front", "front"), 0) }));
    run (startupTime);
}

void RateSite::finishCalls()
{
    std::erase_if (m_pendingCalls, [this] (const PendingCall& pending) {
        const auto answer = answers().find (pending.m_call);

        if (answer == answers().end())
            return false;

        const bool isServed = answer->second.m_result.m_outcome == Outcome::completed;
        reply (pending.m_instance, pending.m_request, TargetReplyKind::answered, latency,
               isServed ? 200 : serverError);
        return true;
    });
}

std::vector<Ticket> RateSite::runUnderLoad (Duration duration, unsigned perSecond)
{
    std::vector<Ticket> tickets;
    const auto end = now() + duration;
    double due = 0.0;

    while (now() < end)
    {
        for (due += perSecond * std::chrono::duration<double> (step).count(); due >= 1.0; due -= 1.0)
        {
            const auto path =
                m_hasFrontService ? "/front/" : (m_random.below (2) == 0 ? urgentPath : lesserPath);
            const auto& entry = m_entries[m_random.below (m_entries.size())];
            tickets.push_back (send (entry, "r" + std::to_string (++m_sent), std::string (path) + "x"));
            m_paths[tickets.back()] = path;
        }

        run (step);
        finishCalls();
    }

    return tickets;
}

//==============================================================================
std::size_t RateSite::arrivals (const InstanceName& target, Time since, Time until) const
{
    return static_cast<std::size_t> (std::count_if (runs().begin(), runs().end(), [&] (const Run& run) {
        return run.m_instance == target && run.m_at >= since && run.m_at < until;
    }));
}

std::size_t RateSite::maxArrivals (const InstanceName& target, Time since) const
{
    std::size_t most = 0;

    for (const auto& run : runs())
        if (run.m_instance == target && run.m_at >= since)
            most = std::max (most, arrivals (target, run.m_at, run.m_at + window));

    return most;
}

std::size_t RateSite::served (const std::vector<Ticket>& tickets, std::string_view pathPrefix) const
{
    return static_cast<std::size_t> (std::count_if (tickets.begin(), tickets.end(), [&] (Ticket ticket) {
        const auto answer = answers().find (ticket);
        return answer != answers().end() && answer->second.m_result.m_outcome == Outcome::completed &&
               answer->second.m_result.m_answer.m_status < serverError &&
               (pathPrefix.empty() || m_paths.at (ticket) == pathPrefix);
    }));
}

std::size_t RateSite::countAnswersWith (const std::vector<Ticket>& tickets, Reason reason) const
{
    return static_cast<std::size_t> (std::count_if (tickets.begin(), tickets.end(), [&] (Ticket ticket) {
        const auto answer = answers().find (ticket);
        return answer != answers().end() && answer->second.m_result.m_reason == reason;
    }));
}

double allowedInWindow (double perSecond) noexcept
{
    return 1.5 * perSecond * std::chrono::duration<double> (RateSite::window).count() + 5.0;
}

} // namespace plankledge::test
