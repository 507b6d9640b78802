#include "support/CrashSite.h"

#include <algorithm>
#include <array>

namespace plankledge::test
{

namespace
{

constexpr Duration step = Milliseconds (10);
constexpr unsigned stepsPer100Ms = 10;
constexpr unsigned stepsPerSecond = 100;
constexpr Duration startupTime = std::chrono::seconds (1);
constexpr std::array<const char*, 3> zones { "zone-a", "zone-b", "zone-c" };

} // namespace

//==============================================================================
CrashSite::CrashSite (unsigned targets, unsigned entries, std::uint32_t slots)
{
    for (unsigned index = 0; index < targets + entries; ++index)
    {
        const auto isTarget = index < targets;
        const auto name = (isTarget ? "target-" : "entry-") + std::to_string (index);
        add (name, isTarget ? "plans" : "web", zones[index % zones.size()], slots);
        m_nodes.push_back (name);

        if (! isTarget)
            continue;

        m_targets.push_back (name);
        m_state[name] = {};
        setTarget (name, [this] (RelayRig&, const InstanceName& instance, const RelayToTarget& dispatch) {
            onDispatch (instance, dispatch);
        });
    }

    publish (makeTable (1, { makeRoute ("read", "plans"), makeRoute ("write", "plans", false) }));
    run (startupTime);
}

void CrashSite::onDispatch (const InstanceName& instance, const RelayToTarget& dispatch)
{
    auto& target = m_state.at (instance);

    if (! target.m_isUp)
        return reply (instance, dispatch.m_call, TargetReplyKind::notSent, latency);

    if (m_lossOneIn > 0 && m_random.below (m_lossOneIn) == 0)
        return reply (instance, dispatch.m_call, TargetReplyKind::broken, work);

    target.m_running.insert (dispatch.m_call);

    if (m_isCrashingEnabled && dispatch.m_content.m_path.starts_with (crashingPathPrefix))
        m_crashesDue.emplace (now() + timeToCrash, instance);
    else
        m_completionsDue.emplace (now() + work, std::pair { instance, dispatch.m_call });
}

void CrashSite::crash (const InstanceName& instance)
{
    auto& target = m_state.at (instance);

    if (! target.m_isUp)
        return;

    m_crashes.push_back (now());
    target.m_isUp = false;
    target.m_isAnnounced = false;
    target.m_restartsAt = now() + downTime;
    stopAnnouncing (instance);

    for (const auto call : target.m_running)
        reply (instance, call, TargetReplyKind::broken, latency);

    target.m_running.clear();
}

void CrashSite::restart (const InstanceName& instance)
{
    start (instance);
    sendMembersAndRoutes (instance);
    announce (instance);
}

Ticket CrashSite::sendToRandomNode (const std::string& path)
{
    const auto ticket =
        send (m_nodes[m_random.below (m_nodes.size())], "request-" + std::to_string (++m_sent), path);

    if (m_areCallersRetrying)
        m_firstAttempts.emplace (ticket, path);

    return ticket;
}

void CrashSite::retryFailed()
{
    std::vector<std::string> failedPaths;

    for (auto entry = m_firstAttempts.begin(); entry != m_firstAttempts.end();)
    {
        const auto answer = answers().find (entry->first);

        if (answer == answers().end())
        {
            ++entry;
            continue;
        }

        if (answer->second.m_result.m_outcome != Outcome::completed)
            failedPaths.push_back (entry->second);

        entry = m_firstAttempts.erase (entry);
    }

    for (const auto& path : failedPaths)
        send (m_nodes[m_random.below (m_nodes.size())], "request-" + std::to_string (++m_sent), path);
}

//==============================================================================
/** Handles crashes, completions, restarts and retries that are due, then advances time by one step. */
void CrashSite::step()
{
    while (! m_crashesDue.empty() && m_crashesDue.begin()->first <= now())
    {
        const auto instance = m_crashesDue.begin()->second;
        m_crashesDue.erase (m_crashesDue.begin());
        crash (instance);
    }

    while (! m_completionsDue.empty() && m_completionsDue.begin()->first <= now())
    {
        const auto [instance, call] = m_completionsDue.begin()->second;
        m_completionsDue.erase (m_completionsDue.begin());

        if (m_state.at (instance).m_running.erase (call) > 0)
            reply (instance, call, TargetReplyKind::answered, Duration::zero());
    }

    for (auto& [instance, target] : m_state)
    {
        target.m_isUp = target.m_isUp || now() >= target.m_restartsAt;

        if (target.m_isAnnounced || now() < target.m_restartsAt + m_announcementDelay)
            continue;

        target.m_isAnnounced = true;
        replaceTarget (instance);
        announce (instance);
    }

    retryFailed();
    run (plankledge::test::step);
}

std::vector<Ticket> CrashSite::runUnderLoad (Duration duration, unsigned perSecond,
                                             const std::function<void()>& onEach100Ms)
{
    std::vector<Ticket> sent;
    const auto end = now() + duration;
    unsigned credit = 0;

    for (unsigned steps = 0; now() < end; ++steps)
    {
        for (credit += perSecond; credit >= stepsPerSecond; credit -= stepsPerSecond)
            sent.push_back (sendToRandomNode ("/read/usual-" + std::to_string (m_sent)));

        if (onEach100Ms && steps % stepsPer100Ms == 0)
            onEach100Ms();

        step();
    }

    return sent;
}

double CrashSite::servedShare (const std::vector<Ticket>& tickets) const
{
    const auto served = std::count_if (tickets.begin(), tickets.end(), [this] (Ticket ticket) {
        const auto found = answers().find (ticket);
        return found != answers().end() && found->second.m_result.m_outcome == Outcome::completed;
    });
    return tickets.empty() ? 1.0 : static_cast<double> (served) / static_cast<double> (tickets.size());
}

std::vector<Time> CrashSite::runsOfPath (std::string_view path) const
{
    std::vector<Time> result;

    for (const auto& run : runs())
        if (run.m_dispatch.m_content.m_path == path)
            result.push_back (run.m_at);

    return result;
}

std::size_t CrashSite::countAnswersWith (Reason reason) const
{
    return static_cast<std::size_t> (
        std::count_if (answers().begin(), answers().end(),
                       [reason] (const auto& answer) { return answer.second.m_result.m_reason == reason; }));
}

} // namespace plankledge::test
