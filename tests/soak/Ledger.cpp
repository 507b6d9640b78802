#include "soak/Ledger.h"

#include <algorithm>
#include <fmt/format.h>

namespace plankledge::soak
{

namespace
{

/** The users' bounds, see ProgramSettings of the programs under test. */
constexpr Duration drainTime = std::chrono::seconds (2);
constexpr Duration configurationApply = std::chrono::seconds (2);
constexpr Duration rollbackSlack = Milliseconds (500); // this machine is shared, timers may be late
constexpr Duration retryWindow = std::chrono::seconds (10);
constexpr double retryRatio = 0.2;
constexpr double retrySlack = 50.0;

/** So long after the last harm the promises with a time bound hold again. */
constexpr Duration calmAfter = std::chrono::seconds (4);

/** A request is to be answered so long after its time at the latest. */
constexpr Duration answerMargin = Milliseconds (700);

/** A less urgent class may be served better by this. */
constexpr double orderMargin = 0.07;
constexpr std::size_t fewestOfClass = 200;

/** What is to be served once all trouble is over. */
constexpr double servedAfterwards = 0.95;

constexpr std::size_t mostLinesOfKind = 5;

bool promisesNotRun (int status) noexcept
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isServed (const SentRequest& request) noexcept
{
    return request.m_status >= 200 && request.m_status < 300;
}

void add (std::vector<std::string>& lines, std::size_t& count, std::string line)
{
    if (++count <= mostLinesOfKind)
        lines.push_back (std::move (line));
}

double seconds (Duration duration) noexcept
{
    return static_cast<double> (duration.count()) / 1e6;
}

std::size_t countWithin (const std::vector<Time>& times, Time from, Time until)
{
    return static_cast<std::size_t> (std::lower_bound (times.begin(), times.end(), until) -
                                     std::lower_bound (times.begin(), times.end(), from));
}

} // namespace

//==============================================================================
void Ledger::onEnded (const std::string& id, int status, bool isWhole, Time now)
{
    auto& request = m_requests.at (id);
    request.m_endedAt = now;
    request.m_status = status;
    request.m_isWhole = isWhole;
}

void Ledger::onArrival (const std::string& id, const std::string& service, const std::string& target,
                        bool ran, Time now)
{
    auto& arrivals = m_arrivals[id];
    ++arrivals.m_count;
    arrivals.m_runs += ran ? 1 : 0;

    if (arrivals.m_count > 1)
        m_repeatArrivals[service].push_back (now);

    const auto leaving = m_leavingAt.find (target);

    if (leaving != m_leavingAt.end() && now - leaving->second > drainTime)
        m_lateArrivals.push_back ({ id, target, now });
}

bool Ledger::isCalm (const InstanceName& node, Time from, Time until, bool countPlanned) const
{
    return std::none_of (m_troubles.begin(), m_troubles.end(), [&] (const Trouble& trouble) {
        const bool concerns = trouble.m_node.empty() || node.empty() || trouble.m_node == node;
        const bool counts = countPlanned || ! trouble.m_isPlanned;
        return concerns && counts && trouble.m_from <= until && trouble.m_until >= from;
    });
}

//==============================================================================
std::vector<std::string> Ledger::violations() const
{
    Lines lines;
    checkAtMostOnce (lines);
    checkRefusals (lines);
    checkAnswers (lines);
    checkLeaving (lines);
    checkPlannedStops (lines);
    checkConfiguration (lines);
    checkTimeouts (lines);
    checkRetries (lines);
    checkOrder (lines);
    checkRecovery (lines);
    return lines;
}

void Ledger::checkAtMostOnce (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& [id, request] : m_requests)
    {
        const auto found = m_arrivals.find (id);

        if (! request.m_isRepeatable && found != m_arrivals.end() && found->second.m_runs > 1)
            add (lines, count, fmt::format ("at-most-once: {} ran {} times", id, found->second.m_runs));
    }
}

void Ledger::checkRefusals (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& [id, request] : m_requests)
    {
        const auto found = m_arrivals.find (id);

        if (promisesNotRun (request.m_status) && found != m_arrivals.end() && found->second.m_runs > 0)
            add (lines, count,
                 fmt::format ("true-refusal: {} was answered {} and ran", id, request.m_status));
    }
}

void Ledger::checkAnswers (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& [id, request] : m_requests)
        if (isServed (request) && ! request.m_isWhole)
            add (lines, count, fmt::format ("whole-answers: {} got a body that is not its own", id));
}

void Ledger::checkLeaving (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& late : m_lateArrivals)
        add (lines, count,
             fmt::format ("leaving: {} arrived at {} {:.1f} s after it had said that it leaves", late.m_id,
                          late.m_target, seconds (late.m_at - m_leavingAt.at (late.m_target))));
}

/** Planned stops, reloads and configurations cut no request. */
void Ledger::checkPlannedStops (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& [id, request] : m_requests)
    {
        if (! request.m_endedAt.has_value() || request.m_status != 0 || ! m_arrivals.contains (id))
            continue;

        if (isCalm ({}, request.m_sentAt - calmAfter, *request.m_endedAt, false))
            add (lines, count,
                 fmt::format (
                     "planned-stop: {} at {} reached a target and ended without an answer after {:.2f} s", id,
                     request.m_node, seconds (*request.m_endedAt - request.m_sentAt)));
    }
}

void Ledger::checkConfiguration (Lines& lines) const
{
    std::size_t count = 0;
    std::map<std::pair<InstanceName, unsigned>, std::vector<const SentRequest*>> probes;

    for (const auto& [id, request] : m_requests)
        if (request.m_probedVersion > 0 && request.m_status > 0 && request.m_status != 503)
            probes[{ request.m_node, request.m_life }].push_back (&request);

    for (const auto& [life, sent] : probes)
    {
        for (const auto* probe : sent)
        {
            if (probe->m_status != 404)
                continue;

            const auto published = m_publishedAt.at (probe->m_probedVersion);
            const bool isLate = probe->m_sentAt - published > configurationApply;

            if (isLate && isCalm (life.first, published - calmAfter, *probe->m_endedAt, true))
                add (lines, count,
                     fmt::format ("configuration: version {} is not in force at {} after {:.1f} s",
                                  probe->m_probedVersion, life.first, seconds (probe->m_sentAt - published)));

            const bool wasInForce = std::any_of (sent.begin(), sent.end(), [&] (const SentRequest* other) {
                return other->m_status != 404 && other->m_probedVersion >= probe->m_probedVersion &&
                       *other->m_endedAt + rollbackSlack < probe->m_sentAt;
            });

            if (wasInForce)
                add (lines, count,
                     fmt::format ("configuration: {} went back before version {}", life.first,
                                  probe->m_probedVersion));
        }
    }
}

void Ledger::checkTimeouts (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& [id, request] : m_requests)
    {
        const auto latest = request.m_sentAt + request.m_timeout + answerMargin;

        if (request.m_endedAt.value_or (Time::max()) > latest &&
            isCalm (request.m_node, request.m_sentAt - calmAfter, latest, true))
            add (lines, count, fmt::format ("time-out: {} at {} had no answer in time", id, request.m_node));
    }
}

void Ledger::checkRetries (Lines& lines) const
{
    for (const auto& [service, repeats] : m_repeatArrivals)
    {
        const auto sent = m_sentTo.find (service);
        std::size_t count = 0;

        for (const auto& until : repeats)
        {
            const auto from = until - retryWindow;
            const auto repeated = countWithin (repeats, from, until);
            const auto current = sent == m_sentTo.end() ? 0 : countWithin (sent->second, from, until);
            const auto earlier =
                sent == m_sentTo.end() ? 0 : countWithin (sent->second, from - retryWindow, from);
            const auto allowed = retryRatio * static_cast<double> (std::max (current, earlier)) + retrySlack;

            if (static_cast<double> (repeated) > allowed && count++ == 0)
                lines.push_back (
                    fmt::format ("retries: {} arrivals beyond the first at {} in {:.0f} s, {:.0f} allowed",
                                 repeated, service, seconds (retryWindow), allowed));
        }
    }
}

void Ledger::checkOrder (Lines& lines) const
{
    std::size_t sent[2] = {};
    std::size_t served[2] = {};

    for (const auto& [id, request] : m_requests)
    {
        // Requests that may not be repeated fail with a lost connection; only refusals are compared.
        if (request.m_probedVersion > 0 || ! request.m_endedAt.has_value())
            continue;

        ++sent[request.m_isUrgent ? 1 : 0];
        served[request.m_isUrgent ? 1 : 0] += promisesNotRun (request.m_status) ? 0 : 1;
    }

    if (sent[0] < fewestOfClass || sent[1] < fewestOfClass)
        return;

    const auto lesser = static_cast<double> (served[0]) / static_cast<double> (sent[0]);
    const auto urgent = static_cast<double> (served[1]) / static_cast<double> (sent[1]);

    if (urgent < lesser - orderMargin)
        lines.push_back (fmt::format (
            "order: {:.3f} of the urgent requests were let in, {:.3f} of the others", urgent, lesser));
}

void Ledger::checkRecovery (Lines& lines) const
{
    Time lastHarm {};

    for (const auto& trouble : m_troubles)
        lastHarm = std::max (lastHarm, trouble.m_until);

    std::size_t sent = 0;
    std::size_t served = 0;
    std::map<std::string, std::size_t> unserved;

    for (const auto& [id, request] : m_requests)
    {
        if (request.m_sentAt < lastHarm + calmAfter)
            continue;

        ++sent;

        if (isServed (request) || request.m_status == 404)
            ++served;
        else
            ++unserved[fmt::format ("{}:{}", request.m_node, request.m_status)];
    }

    if (sent < fewestOfClass || static_cast<double> (served) >= servedAfterwards * static_cast<double> (sent))
        return;

    auto line = fmt::format ("recovery: {} of {} requests were served once all trouble was over; others",
                             served, sent);

    for (const auto& [what, count] : unserved)
        line += fmt::format (" {} x {}", what, count);

    lines.push_back (std::move (line));
}

//==============================================================================
std::string Ledger::summary() const
{
    std::map<int, std::size_t> byStatus;
    std::size_t repeats = 0;

    for (const auto& [id, request] : m_requests)
        ++byStatus[request.m_status];

    for (const auto& [service, times] : m_repeatArrivals)
        repeats += times.size();

    std::string text = fmt::format ("{} requests, {} troubles, {} repeated arrivals;", m_requests.size(),
                                    m_troubles.size(), repeats);

    for (const auto& [status, count] : byStatus)
        text += fmt::format (" {}: {}", status == 0 ? "no answer" : std::to_string (status), count);

    return text;
}

} // namespace plankledge::soak
