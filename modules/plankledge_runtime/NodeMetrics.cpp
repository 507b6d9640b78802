#include "plankledge_runtime/NodeMetrics.h"

#include "plankledge_runtime/MetricsText.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace plankledge
{

namespace accumulators = boost::accumulators;
namespace json = boost::json;
using namespace detail;

namespace
{

std::string_view nameOf (MemberState state) noexcept
{
    switch (state)
    {
    case MemberState::joining:
        return "joining";
    case MemberState::serving:
        return "serving";
    case MemberState::leaving:
        break;
    }

    return "leaving";
}

} // namespace

//==============================================================================
DurationQuantiles::DurationQuantiles()
    : m_accumulator (accumulators::tag::extended_p_square::probabilities = probabilities)
{
}

void DurationQuantiles::add (Duration duration)
{
    m_accumulator (static_cast<double> (duration.count()) / 1000.0);
}

double DurationQuantiles::milliseconds (std::size_t index) const
{
    if (count() < probabilities.size() * 2 + 3)
        return 0.0;

    return accumulators::extended_p_square (m_accumulator)[static_cast<std::ptrdiff_t> (index)];
}

std::size_t DurationQuantiles::count() const
{
    return accumulators::count (m_accumulator);
}

//==============================================================================
namespace
{

void appendRetriesByPriority (std::string& text, const Counters& counters)
{
    const auto& retries = counters.m_retriesByPriority;
    text += "# TYPE plankledge_retries_by_priority_total counter\n";

    for (std::size_t priority = 0; priority < retries.size(); ++priority)
        text += fmt::format ("plankledge_retries_by_priority_total{{priority=\"{}{}\"}} {}\n", priority,
                             priority + 1 < retries.size() ? "" : "-and-lower", retries[priority]);
}

void appendRequestCounters (std::string& text, const Counters& counters)
{
    appendCounters (text, "refusals_total", counters.m_refusals);
    appendCounters (text, "system_answers_total", counters.m_systemAnswers);
    appendCounters (text, "retries_total", counters.m_retries);
    appendCounters (text, "retries_denied_total", counters.m_retriesDenied);
    appendRetriesByPriority (text, counters);
    text += "# TYPE plankledge_outcomes_total counter\n";

    for (std::size_t index = 0; index < counters.m_outcomes.size(); ++index)
        text += fmt::format ("plankledge_outcomes_total{{outcome=\"{}\"}} {}\n",
                             nameOf (static_cast<Outcome> (index)), counters.m_outcomes[index]);

    appendCounter (text, "dispatches_total", counters.m_dispatches);
    appendCounter (text, "lost_calls_total", counters.m_lostCalls);
    appendCounter (text, "redirects_total", counters.m_redirects);
    appendCounter (text, "rate_limit_redirects_total", counters.m_rateLimitRedirects);
    appendCounter (text, "busy_redirects_total", counters.m_busyRedirects);
    appendCounter (text, "overloaded_offers_total", counters.m_overloadedOffers);
    appendCounter (text, "refused_with_room_total", counters.m_refusedWithRoom);
    appendCounter (text, "crash_reports_total", counters.m_crashReports);
    appendCounter (text, "crashes_withdrawn_total", counters.m_crashesWithdrawn);
    appendCounter (text, "malformed_rate_limits_total", counters.m_malformedRateLimits);
    appendCounter (text, "malformed_loads_total", counters.m_malformedLoads);
    appendCounter (text, "store_restores_total", counters.m_storeRestores);
    appendCounter (text, "acquittals_total", counters.m_acquittals);
    appendCounter (text, "requests_at_exit_total", counters.m_requestsAtExit);
    appendCounter (text, "peer_answers_discarded_total", counters.m_discardedPeerAnswers);
    appendCounter (text, "late_answers_total", counters.m_lateAnswers);
    appendCounter (text, "pauses_total", counters.m_detectedPauses);
}

void appendEdgeCounters (std::string& text, const NodeMetrics& metrics, const ControlTraffic& traffic)
{
    appendCounters (text, "bad_frames_total", metrics.m_badFrames);
    appendCounters (text, "bad_datagrams_total", metrics.m_badDatagrams);
    appendCounters (text, "bad_requests_total", metrics.m_badRequests);
    appendCounters (text, "bad_http_total", metrics.m_badHttp);
    appendCounters (text, "platform_errors_total", metrics.m_platformErrors);
    appendCounter (text, "calls_not_queued_total", metrics.m_callsNotQueued);
    appendCounter (text, "peer_calls_refused_total", metrics.m_peerCallsRefused);
    appendCounter (text, "target_broken_total", metrics.m_brokenTargetCalls);
    appendCounters (text, "target_responses_discarded_total", metrics.m_discardedResponses);
    appendCounter (text, "target_connections_total", metrics.m_targetConnections);
    appendCounter (text, "target_stray_responses_total", metrics.m_strayTargetResponses);
    appendCounter (text, "control_frame_bytes_total", traffic.m_frames);
    appendCounter (text, "control_datagram_bytes_total", traffic.m_datagrams);
    appendCounter (text, "control_platform_bytes_total", traffic.m_platform);
    text += "# TYPE plankledge_request_milliseconds summary\n";

    for (std::size_t index = 0; index < DurationQuantiles::probabilities.size(); ++index)
        text +=
            fmt::format ("plankledge_request_milliseconds{{quantile=\"{}\"}} {}\n",
                         DurationQuantiles::probabilities[index], metrics.m_requestTime.milliseconds (index));

    text += fmt::format ("plankledge_request_milliseconds_count {}\n", metrics.m_requestTime.count());
}

} // namespace

std::string renderMetrics (const Reducer& reducer, const NodeMetrics& metrics, const ControlTraffic& traffic)
{
    const auto& counters = reducer.counters();
    const auto& admission = reducer.inbound().admission();
    std::string text;

    appendRequestCounters (text, counters);
    appendEdgeCounters (text, metrics, traffic);
    appendCounter (text, "resendings_attached_total", counters.m_attached);
    appendCounter (text, "resendings_replayed_total", counters.m_replayed);
    appendCounter (text, "inquiries_total", counters.m_inquiries);
    appendGauge (text, "configuration_version", static_cast<double> (reducer.configuration().version()));
    appendGauge (text, "members", static_cast<double> (reducer.membership().size()));
    appendGauge (text, "calls_running", admission.inUse());
    appendGauge (text, "calls_queued", static_cast<double> (admission.queued()));
    appendGauge (text, "concurrency_limit", admission.limit());
    appendGauge (text, "threshold_rank", admission.threshold());
    appendGauge (text, "records", static_cast<double> (reducer.inbound().records().size()));
    appendGauge (text, "fences", static_cast<double> (reducer.inbound().records().fenceCount()));
    return text;
}

namespace
{

/** The organisations with the most requests have individual counters, to limit the number of time series, as
    there may be thousands of organisations. The others are summed. */
constexpr std::size_t maxListedOrganisations = 16;
constexpr std::string_view otherOrganisations = "(others)";

using NamedCount = std::pair<OrganisationName, OrganisationCount>;

std::uint64_t requestsOf (const OrganisationCount& count) noexcept
{
    return count.m_admitted + count.m_beyondLimit + count.m_limitUnknown + count.m_counted;
}

void addTo (OrganisationCount& sum, const OrganisationCount& count) noexcept
{
    sum.m_admitted += count.m_admitted;
    sum.m_beyondLimit += count.m_beyondLimit;
    sum.m_limitUnknown += count.m_limitUnknown;
    sum.m_counted += count.m_counted;
}

/** @returns the largest counts, followed by the sum of the others, if any */
std::vector<NamedCount> largestCounts (const OrganisationCounts& counts)
{
    std::vector<NamedCount> result (counts.begin(), counts.end());
    std::stable_sort (result.begin(), result.end(), [] (const NamedCount& one, const NamedCount& other) {
        return requestsOf (one.second) > requestsOf (other.second);
    });

    if (result.size() <= maxListedOrganisations)
        return result;

    OrganisationCount others;

    for (auto organisation = result.begin() + maxListedOrganisations; organisation != result.end();
         ++organisation)
        addTo (others, organisation->second);

    result.resize (maxListedOrganisations);
    result.emplace_back (otherOrganisations, others);
    return result;
}

void appendOrganisations (std::string& text, const OrganisationCounts& counts)
{
    text += "# TYPE plankledge_organisation_requests_total counter\n";

    for (const auto& [name, count] : largestCounts (counts))
        for (const auto& [result, number] :
             { std::pair { "admitted", count.m_admitted }, std::pair { "beyond-limit", count.m_beyondLimit },
               std::pair { "limit-unknown", count.m_limitUnknown },
               std::pair { "counted", count.m_counted } })
            if (number > 0)
                text += fmt::format (
                    "plankledge_organisation_requests_total{{organisation=\"{}\",result=\"{}\"}} {}\n", name,
                    result, number);
}

/** Appends the load that the target states. */
void appendStatedLoad (std::string& text, const StatedLoad& load, Time now)
{
    if (! load.last().has_value())
        return;

    const auto& stated = *load.last();
    appendGauge (text, "target_stated_running", stated.m_running);
    appendGauge (text, "target_stated_waiting", stated.m_waiting);
    appendGauge (text, "target_stated_waiting_max", load.maxWaiting());
    appendGauge (text, "target_stated_slots", stated.m_slots);
    appendGauge (text, "target_stated_load_age_milliseconds",
                 static_cast<double> (toMilliseconds (load.age (now))));

    if (stated.m_workTimePercent.has_value())
        appendGauge (text, "target_stated_work_time_percent", *stated.m_workTimePercent);
}

} // namespace

std::string renderRelayMetrics (const Reducer& reducer, const NodeMetrics& metrics,
                                const ControlTraffic& traffic, Time now)
{
    const auto& relay = reducer.relay();
    const auto gate = relay.gate().status (now);
    std::string text;

    appendRequestCounters (text, reducer.counters());
    appendEdgeCounters (text, metrics, traffic);
    appendCounter (text, "requests_read_ahead_total", metrics.m_requestsReadAhead);
    appendGauge (text, "max_requests_on_connection", static_cast<double> (metrics.m_maxRequestsOnConnection));
    appendGauge (text, "configuration_version", static_cast<double> (relay.routes().version()));
    appendGauge (text, "members", static_cast<double> (relay.peers().size()));
    appendGauge (text, "requests_at_entry", static_cast<double> (relay.entry().size()));
    appendGauge (text, "gate_open", gate.m_isOpen ? 1.0 : 0.0);
    appendGauge (text, "calls_running", static_cast<double> (relay.gate().running()));
    appendGauge (text, "calls_queued", static_cast<double> (relay.gate().queued()));
    appendGauge (text, "concurrency_limit", gate.m_limit);
    appendGauge (text, "admitted_permille", gate.m_admittedPermille);
    appendGauge (text, "queued_slot_milliseconds", static_cast<double> (gate.m_queuedWork.count()) / 1000.0);

    for (const auto& time : relay.gate().routeTimes (now))
        appendGauge (text, fmt::format ("target_milliseconds{{route=\"{}\"}}", time.m_route),
                     static_cast<double> (time.m_time.count()) / 1000.0);

    appendGauge (text, "target_failure_permille", gate.m_failurePermille);

    if (const auto limit = relay.gate().rateLimit().perSecond(); limit.has_value())
    {
        appendGauge (text, "target_rate_limit", *limit);
        appendGauge (text, "target_rate_limit_age_milliseconds",
                     static_cast<double> (toMilliseconds (relay.gate().rateLimit().age (now))));
    }

    appendStatedLoad (text, relay.gate().statedLoad(), now);
    appendGauge (text, "crashes_remembered", static_cast<double> (relay.crashes().crashHistory().crashes()));
    appendGauge (text, "contents_held", static_cast<double> (relay.crashes().crashHistory().held()));

    if (const auto age = relay.keys().age (now); age.has_value())
        appendGauge (text, "configuration_proof_age_milliseconds",
                     static_cast<double> (toMilliseconds (*age)));

    appendOrganisations (text, relay.limits().counts());
    return text;
}

void appendResources (std::string& text, const ProcessResources& resources)
{
    const auto& memory = resources.m_memory;
    const auto& connections = resources.m_connections;
    text += "# TYPE plankledge_memory_held_bytes gauge\n";

    for (std::size_t use = 0; use < static_cast<std::size_t> (MemoryUse::memoryUseCount); ++use)
        text +=
            fmt::format ("plankledge_memory_held_bytes{{use=\"{}\"}} {}\n",
                         nameOf (static_cast<MemoryUse> (use)), memory.held (static_cast<MemoryUse> (use)));

    appendGauge (text, "memory_budget_bytes", static_cast<double> (memory.limit()));
    appendCounter (text, "messages_dropped_total", memory.dropped());
    appendGauge (text, "connections_accepted", static_cast<double> (connections.size()));
    appendGauge (text, "connections_limit", static_cast<double> (connections.limit()));
    appendCounter (text, "idle_connections_closed_total", connections.closed());
    appendCounter (text, "connections_refused_total", connections.refused());
}

//==============================================================================
std::string renderState (const Reducer& reducer)
{
    const auto& self = reducer.membership().self();
    const auto& admission = reducer.inbound().admission();
    json::array members;

    for (const auto& member : reducer.membership().others())
        members.push_back ({ { "instance", member.m_id.m_instance },
                             { "incarnation", member.m_id.m_incarnation },
                             { "service", member.m_service },
                             { "zone", member.m_zone },
                             { "state", std::string (nameOf (member.m_state)) } });

    json::object refusals;
    const auto& counts = reducer.counters().m_refusals.m_values;

    for (std::size_t index = 0; index < counts.size(); ++index)
        if (counts[index] > 0)
            refusals[json::string (std::string (nameOf (static_cast<Reason> (index))))] = counts[index];

    return json::serialize (json::object { { "instance", self.m_id.m_instance },
                                           { "incarnation", self.m_id.m_incarnation },
                                           { "service", self.m_service },
                                           { "zone", self.m_zone },
                                           { "state", std::string (nameOf (self.m_state)) },
                                           { "established", reducer.isEstablished() },
                                           { "configuration_version", reducer.configuration().version() },
                                           { "limit", admission.limit() },
                                           { "running", admission.inUse() },
                                           { "queued", admission.queued() },
                                           { "threshold", admission.threshold() },
                                           { "service_time_ms", toMilliseconds (admission.serviceTime()) },
                                           { "refusals", std::move (refusals) },
                                           { "members", std::move (members) } });
}

} // namespace plankledge
