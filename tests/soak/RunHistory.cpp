#include "soak/RunHistory.h"

#include <algorithm>
#include <fmt/format.h>

namespace plankledge::soak
{

namespace
{

// Guaranteed bounds. Those of retries match the flags of the nodes under test.
constexpr Duration drainBound = std::chrono::seconds (2);
constexpr Duration rateBound = std::chrono::seconds (3); // from when a target first states a rate limit
constexpr Duration rateWindow = std::chrono::seconds (4);
constexpr Duration rateToldDelay = Milliseconds (500); // after a node passed on an answer that states it
constexpr Duration configurationBound = std::chrono::seconds (2);
constexpr Duration rollbackMargin = Milliseconds (500); // tolerates late timers on a loaded machine
constexpr Duration retryWindow = std::chrono::seconds (10);
constexpr double retryRatio = 0.2;
constexpr double retrySlack = 50.0;

/** Time after a fault until guarantees with a time bound apply again. */
constexpr Duration settlingTime = std::chrono::seconds (4);

/** Maximum delay of a response beyond the request's timeout. */
constexpr Duration responseMargin = Milliseconds (700);

/** Maximum excess of the admitted share of other requests over that of high-priority requests. */
constexpr double priorityMargin = 0.07;

/** Minimum share of requests served after all faults have ended. */
constexpr double minServedAfterFaults = 0.95;

constexpr std::size_t maxLinesOfKind = 5;

bool meansNotRun (int status) noexcept
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool isServed (const SentRequest& request) noexcept
{
    return request.m_status >= 200 && request.m_status < 300;
}

void addLine (std::vector<std::string>& lines, std::size_t& count, std::string line)
{
    if (++count <= maxLinesOfKind)
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
void RunHistory::onEnded (const std::string& id, int status, bool isBodyCorrect, Time now)
{
    auto& request = m_requests.at (id);
    request.m_endedAt = now;
    request.m_status = status;
    request.m_isBodyCorrect = isBodyCorrect;
}

void RunHistory::onArrival (const std::string& id, const std::string& service, const std::string& target,
                            bool ran, Time now)
{
    auto& arrivals = m_arrivals[id];
    ++arrivals.m_count;
    arrivals.m_runs += ran ? 1 : 0;

    m_arrivalsByTarget[target].push_back ({ id, originOf (id), now });

    if (arrivals.m_count > 1)
        m_retryArrivals[service].push_back (now);

    const auto acknowledged = m_drainAcknowledgedAt.find (target);

    if (acknowledged != m_drainAcknowledgedAt.end() && now - acknowledged->second > drainBound)
        m_lateArrivals.push_back ({ id, target, now });
}

bool RunHistory::isFaultFree (const InstanceName& node, Time from, Time until, bool includePlanned) const
{
    return std::none_of (m_faultWindows.begin(), m_faultWindows.end(), [&] (const FaultWindow& window) {
        const bool isAffected = window.m_node.empty() || node.empty() || window.m_node == node;
        const bool isIncluded = includePlanned || ! window.m_isPlanned;
        return isAffected && isIncluded && window.m_from <= until && window.m_until >= from;
    });
}

//==============================================================================
std::vector<std::string> RunHistory::violations() const
{
    Lines lines;
    checkAtMostOnce (lines);
    checkRefusals (lines);
    checkAnswers (lines);
    checkDraining (lines);
    checkStatedRates (lines);
    checkStatedLeaving (lines);
    checkPlannedStops (lines);
    checkConfiguration (lines);
    checkTimeouts (lines);
    checkRetries (lines);
    checkPriorityOrder (lines);
    checkRecovery (lines);
    checkPipelining (lines);
    return lines;
}

std::size_t RunHistory::arrivalsAt (const std::string& target, Time since) const
{
    const auto found = m_arrivalsByTarget.find (target);

    if (found == m_arrivalsByTarget.end())
        return 0;

    return static_cast<std::size_t> (
        std::count_if (found->second.begin(), found->second.end(),
                       [since] (const TargetArrival& arrival) { return arrival.m_at >= since; }));
}

void RunHistory::checkAtMostOnce (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& [id, request] : m_requests)
    {
        const auto found = m_arrivals.find (id);

        if (! request.m_isRepeatable && found != m_arrivals.end() && found->second.m_runs > 1)
            addLine (lines, count,
                     fmt::format ("at-most-once: non-repeatable request {} ran {} times", id,
                                  found->second.m_runs));
    }
}

void RunHistory::checkRefusals (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& [id, request] : m_requests)
    {
        const auto found = m_arrivals.find (id);

        if (meansNotRun (request.m_status) && found != m_arrivals.end() && found->second.m_runs > 0)
            addLine (lines, count,
                     fmt::format ("true-refusal: request {} was answered with status {} although it ran", id,
                                  request.m_status));
    }
}

void RunHistory::checkAnswers (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& [id, request] : m_requests)
        if (isServed (request) && ! request.m_isBodyCorrect)
            addLine (lines, count,
                     fmt::format ("whole-answers: request {} got a body that does not belong to it", id));
}

void RunHistory::checkDraining (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& late : m_lateArrivals)
        addLine (lines, count,
                 fmt::format (
                     "leaving: request {} arrived at target {} {:.1f} s after its draining was acknowledged",
                     late.m_id, late.m_target,
                     seconds (late.m_at - m_drainAcknowledgedAt.at (late.m_target))));
}

void RunHistory::onStandstill (Time from, Time until)
{
    m_standstills.push_back ({ from, until });
    m_faultWindows.push_back ({ "standstill", {}, false, from, until });
}

void RunHistory::onRateStated (const std::string& target, double perSecond, Time from, Time until)
{
    for (auto& earlier : m_statedRates)
        if (earlier.m_target == target)
            earlier.m_until = std::min (earlier.m_until, from);

    m_statedRates.push_back ({ target, perSecond, from, until });
}

void RunHistory::onAnswerPassed (const InstanceName& node, const HttpResponse& response, Time now)
{
    const std::pair key { node, std::string (findHeader (response.m_headers, targetIdHeader)) };

    if (! findHeader (response.m_headers, rateLimitHeader).empty())
        m_ratePassedAt.try_emplace (key, now);

    if (! findHeader (response.m_headers, leavingHeader).empty())
        m_leavingPassedAt.try_emplace (key, now);
}

/** A nested call's id ends with the name of the instance that made it and a number. */
InstanceName RunHistory::originOf (const std::string& id) const
{
    if (const auto found = m_requests.find (id); found != m_requests.end())
        return found->second.m_node;

    const auto start = id.rfind ('.') + 1;
    return id.substr (start, id.rfind ('-') - start);
}

/** @returns whether the node at which a request began had passed on the target's statement some time before,
    and no fault of that node's own has occurred since */
bool RunHistory::wasTold (const PassedAt& passed, const std::string& target, const TargetArrival& arrival,
                          Duration delay) const
{
    const auto found = passed.find ({ arrival.m_origin, target });

    if (found == passed.end() || arrival.m_at < found->second + delay)
        return false;

    return std::none_of (m_faultWindows.begin(), m_faultWindows.end(), [&] (const FaultWindow& window) {
        return window.m_node == arrival.m_origin && window.m_from <= arrival.m_at &&
               window.m_until >= found->second;
    });
}

void RunHistory::checkStatedRates (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& rate : m_statedRates)
    {
        std::vector<Time> times;
        const auto arrivals = m_arrivalsByTarget.find (rate.m_target);

        if (arrivals == m_arrivalsByTarget.end())
            continue;

        for (const auto& arrival : arrivals->second)
            if (arrival.m_at >= rate.m_from + rateBound && arrival.m_at < rate.m_until &&
                wasTold (m_ratePassedAt, rate.m_target, arrival, rateToldDelay))
                times.push_back (arrival.m_at);

        const auto allowed = 1.5 * rate.m_perSecond * seconds (rateWindow) + 5.0;

        for (const auto& from : times)
            if (const auto most = countWithin (times, from, from + rateWindow);
                static_cast<double> (most) > allowed)
                addLine (
                    lines, count,
                    fmt::format ("rate-limit: {} requests reached target {} within {:.0f} s, {:.0f} allowed",
                                 most, rate.m_target, seconds (rateWindow), allowed));
    }
}

void RunHistory::checkStatedLeaving (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& [target, arrivals] : m_arrivalsByTarget)
        for (const auto& arrival : arrivals)
            if (wasTold (m_leavingPassedAt, target, arrival, drainBound))
                addLine (lines, count,
                         fmt::format ("leaving: request {} reached target {} although its node had passed on "
                                      "that it is leaving",
                                      arrival.m_id, target));
}

/** Checks that shutdowns, reloads and new configurations interrupt no request. */
void RunHistory::checkPlannedStops (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& [id, request] : m_requests)
    {
        if (! request.m_endedAt.has_value() || request.m_status != 0 || ! m_arrivals.contains (id))
            continue;

        if (isFaultFree ({}, request.m_sentAt - settlingTime, *request.m_endedAt, false))
            addLine (lines, count,
                     fmt::format ("planned-stop: request {} at {} reached a target but ended without a "
                                  "response after {:.2f} s",
                                  id, request.m_node, seconds (*request.m_endedAt - request.m_sentAt)));
    }
}

void RunHistory::checkConfiguration (Lines& lines) const
{
    std::size_t count = 0;
    std::map<std::pair<InstanceName, unsigned>, std::vector<const SentRequest*>> probes;

    for (const auto& [id, request] : m_requests)
        if (request.m_probedVersion > 0 && request.m_status > 0 && request.m_status != 503)
            probes[{ request.m_node, request.m_incarnation }].push_back (&request);

    for (const auto& [incarnation, sent] : probes)
    {
        for (const auto* probe : sent)
        {
            if (probe->m_status != 404)
                continue;

            const auto published = m_publishedAt.at (probe->m_probedVersion);
            const bool isLate = probe->m_sentAt - published > configurationBound;

            if (isLate && isFaultFree (incarnation.first, published - settlingTime, *probe->m_endedAt, true))
                addLine (lines, count,
                         fmt::format (
                             "configuration: version {} is not in force at {} {:.1f} s after its publication",
                             probe->m_probedVersion, incarnation.first,
                             seconds (probe->m_sentAt - published)));

            const bool wasInForce = std::any_of (sent.begin(), sent.end(), [&] (const SentRequest* other) {
                return other->m_status != 404 && other->m_probedVersion >= probe->m_probedVersion &&
                       *other->m_endedAt + rollbackMargin < probe->m_sentAt;
            });

            if (wasInForce)
                addLine (lines, count,
                         fmt::format ("configuration: {} reverted to a version before {}", incarnation.first,
                                      probe->m_probedVersion));
        }
    }
}

void RunHistory::checkTimeouts (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& [id, request] : m_requests)
    {
        const auto deadline = request.m_sentAt + request.m_timeout + responseMargin;

        if (request.m_endedAt.value_or (Time::max()) > deadline &&
            isFaultFree (request.m_node, request.m_sentAt - settlingTime, deadline, true))
            addLine (lines, count,
                     fmt::format ("time-out: request {} at {} got no response in time", id, request.m_node));
    }
}

void RunHistory::checkRetries (Lines& lines) const
{
    for (const auto& [service, retries] : m_retryArrivals)
    {
        const auto sent = m_callsByService.find (service);
        std::size_t count = 0;

        for (const auto& until : retries)
        {
            const auto from = until - retryWindow;
            const auto retryCount = countWithin (retries, from, until);
            const auto current = sent == m_callsByService.end() ? 0 : countWithin (sent->second, from, until);
            const auto previous =
                sent == m_callsByService.end() ? 0 : countWithin (sent->second, from - retryWindow, from);
            const auto allowed = retryRatio * static_cast<double> (std::max (current, previous)) + retrySlack;

            if (static_cast<double> (retryCount) > allowed && count++ == 0)
                lines.push_back (
                    fmt::format ("retries: {} retries arrived at {} within {:.0f} s, {:.0f} allowed",
                                 retryCount, service, seconds (retryWindow), allowed));
        }
    }
}

void RunHistory::checkPriorityOrder (Lines& lines) const
{
    std::size_t sent[2] = {};
    std::size_t admitted[2] = {};

    for (const auto& [id, request] : m_requests)
    {
        if (request.m_probedVersion > 0 || ! request.m_endedAt.has_value())
            continue;

        // Non-repeatable requests fail more often when connections are lost, so only refusals are compared.
        ++sent[request.m_isHighPriority ? 1 : 0];
        admitted[request.m_isHighPriority ? 1 : 0] += meansNotRun (request.m_status) ? 0 : 1;
    }

    if (sent[0] < minRequestsOfClass || sent[1] < minRequestsOfClass)
        return;

    const auto others = static_cast<double> (admitted[0]) / static_cast<double> (sent[0]);
    const auto highPriority = static_cast<double> (admitted[1]) / static_cast<double> (sent[1]);

    if (highPriority < others - priorityMargin)
        lines.push_back (
            fmt::format ("order: {:.3f} of the high-priority requests were admitted, {:.3f} of the others",
                         highPriority, others));
}

Time RunHistory::calmSince() const
{
    Time lastFaultEnd {};

    for (const auto& window : m_faultWindows)
        lastFaultEnd = std::max (lastFaultEnd, window.m_until);

    for (const auto& rate : m_statedRates)
        lastFaultEnd = std::max (lastFaultEnd, rate.m_until);

    return lastFaultEnd + settlingTime;
}

void RunHistory::checkRecovery (Lines& lines) const
{
    const auto since = calmSince();

    std::size_t sent = 0;
    std::size_t served = 0;
    std::map<std::string, std::size_t> unserved;
    Time firstUnserved = Time::max();
    Time lastUnserved;

    for (const auto& [id, request] : m_requests)
    {
        if (request.m_sentAt < since)
            continue;

        ++sent;

        if (isServed (request) || request.m_status == 404)
        {
            ++served;
            continue;
        }

        ++unserved[fmt::format ("{}:{}", request.m_node, request.m_status)];
        firstUnserved = std::min (firstUnserved, request.m_sentAt);
        lastUnserved = std::max (lastUnserved, request.m_sentAt);
    }

    if (sent < minRequestsOfClass)
        return lines.push_back (
            fmt::format ("recovery: not judged, only {} requests were sent after all faults{}", sent,
                         describeStandstills()));

    if (static_cast<double> (served) >= minServedAfterFaults * static_cast<double> (sent))
        return;

    auto line = fmt::format ("recovery: {} of {} requests were served after all faults had ended, others "
                             "sent from {:.2f} to {:.2f} s{}:",
                             served, sent, sinceFirstRequest (firstUnserved),
                             sinceFirstRequest (lastUnserved), describeStandstills());

    for (const auto& [what, count] : unserved)
        line += fmt::format (" {} x {}", what, count);

    lines.push_back (std::move (line));
}

void RunHistory::checkPipelining (Lines& lines) const
{
    std::size_t count = 0;

    for (const auto& what : m_pipeliningErrors)
        addLine (lines, count, fmt::format ("pipelining: {}", what));

    for (const auto& id : m_sentBehindClose)
        if (m_arrivals.contains (id))
            addLine (lines, count,
                     fmt::format ("pipelining: request {} reached a target although the one before it closes "
                                  "the connection",
                                  id));
}

//==============================================================================
double RunHistory::sinceFirstRequest (Time time) const
{
    Time first = Time::max();

    for (const auto& [id, request] : m_requests)
        first = std::min (first, request.m_sentAt);

    return seconds (time - first);
}

std::string RunHistory::describeStandstills() const
{
    std::string text;

    for (const auto& [from, until] : m_standstills)
        text += fmt::format (", standstill from {:.2f} to {:.2f} s", sinceFirstRequest (from),
                             sinceFirstRequest (until));

    return text;
}

std::string RunHistory::summary() const
{
    std::map<int, std::size_t> byStatus;
    std::size_t retries = 0;

    for (const auto& [id, request] : m_requests)
        ++byStatus[request.m_status];

    for (const auto& [service, times] : m_retryArrivals)
        retries += times.size();

    std::string text = fmt::format ("{} requests, {} faults, {} retries;", m_requests.size(),
                                    m_faultWindows.size(), retries);

    for (const auto& [status, count] : byStatus)
        text += fmt::format (" {}: {}", status == 0 ? "no response" : std::to_string (status), count);

    if (m_sentAhead > 0)
        text += fmt::format ("; {} sent together, {} behind one that closes", m_sentAhead,
                             m_sentBehindClose.size());

    return text + describeStandstills();
}

} // namespace plankledge::soak
