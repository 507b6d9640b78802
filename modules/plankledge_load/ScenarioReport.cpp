#include "plankledge_load/ScenarioReport.h"

#include <algorithm>
#include <boost/json.hpp>

namespace plankledge
{

namespace json = boost::json;

namespace
{

constexpr double tolerance = 0.1;
constexpr double latencySlackMs = 5.0;
constexpr std::size_t warmUpBuckets = 4; // excluded: connections and moving averages are being established

/** @returns the quantile of the values; 0 if there are none */
double quantile (std::vector<double> values, double probability)
{
    if (values.empty())
        return 0.0;

    const auto index = static_cast<std::size_t> (probability * static_cast<double> (values.size() - 1));
    std::nth_element (values.begin(), values.begin() + static_cast<std::ptrdiff_t> (index), values.end());
    return values[index];
}

/** Requests whose first attempt is in one time bucket. */
struct Bucket
{
    std::size_t m_sent = 0;
    std::size_t m_completed = 0;
    std::size_t m_completedFirstAttempt = 0; /**< completed by the first attempt */
    std::vector<double> m_latencies;

    double share() const
    {
        return m_sent > 0 ? static_cast<double> (m_completed) / static_cast<double> (m_sent) : 1.0;
    }
};

std::vector<Bucket> bucketsOf (const Scenario& scenario, const std::vector<RequestResult>& results)
{
    std::vector<Bucket> buckets (static_cast<std::size_t> (scenario.m_duration / reportBucket) + 1);

    for (const auto& result : results)
    {
        auto& bucket = buckets[static_cast<std::size_t> (result.m_at / reportBucket)];
        ++bucket.m_sent;

        if (! result.m_isCompleted)
            continue;

        ++bucket.m_completed;
        bucket.m_completedFirstAttempt += result.m_attempts == 1 ? 1 : 0;
        bucket.m_latencies.push_back (static_cast<double> (result.m_latency.count()) / 1000.0);
    }

    return buckets;
}

double recoveryOf (const Scenario& scenario, const std::vector<RequestResult>& results)
{
    const auto buckets = bucketsOf (scenario, results);
    const auto from = static_cast<std::size_t> (scenario.m_trigger.m_from / reportBucket);
    const auto to = static_cast<std::size_t> (scenario.m_trigger.m_to / reportBucket);
    const auto last = static_cast<std::size_t> (scenario.m_duration / reportBucket);
    double shareBefore = 0.0;
    std::vector<double> latenciesBefore;

    for (auto index = warmUpBuckets; index < from; ++index)
    {
        shareBefore += buckets[index].share() / static_cast<double> (from - warmUpBuckets);
        latenciesBefore.insert (latenciesBefore.end(), buckets[index].m_latencies.begin(),
                                buckets[index].m_latencies.end());
    }

    const auto maxP99 = quantile (latenciesBefore, 0.99) * (1.0 + tolerance) + latencySlackMs;
    auto recovered = last;

    while (recovered > to)
    {
        const auto& bucket = buckets[recovered - 1];
        const bool isNormal = bucket.share() >= shareBefore * (1.0 - tolerance) &&
                              quantile (bucket.m_latencies, 0.99) <= maxP99;

        if (! isNormal)
            break;

        --recovered;
    }

    if (recovered == last)
        return -1.0;

    return static_cast<double> ((recovered - to) * static_cast<std::size_t> (reportBucket.count())) / 1000.0;
}

double goodputRecoveryOf (const Scenario& scenario, const std::vector<double>& goodput)
{
    const auto from = static_cast<std::size_t> (scenario.m_trigger.m_from / reportBucket);
    const auto to = static_cast<std::size_t> (scenario.m_trigger.m_to / reportBucket);
    const auto last = static_cast<std::size_t> (scenario.m_duration / reportBucket);
    double before = 0.0;

    for (auto index = warmUpBuckets; index < from; ++index)
        before += goodput[index] / static_cast<double> (from - warmUpBuckets);

    auto recovered = last;

    while (recovered > to && goodput[recovered - 1] >= before * (1.0 - tolerance))
        --recovered;

    if (recovered == last)
        return -1.0;

    return static_cast<double> ((recovered - to) * static_cast<std::size_t> (reportBucket.count())) / 1000.0;
}

} // namespace

//==============================================================================
ScenarioReport makeReport (const Scenario& scenario, const std::vector<RequestResult>& results,
                           const IdealAllocation& ideal)
{
    ScenarioReport report;
    std::vector<std::vector<double>> latencies (scenario.m_groups.size());
    report.m_goodput.assign (static_cast<std::size_t> (scenario.m_duration / reportBucket) + 1, 0.0);

    for (std::size_t index = 0; index < scenario.m_groups.size(); ++index)
    {
        GroupReport group;
        group.m_name = scenario.m_groups[index].m_name;
        group.m_isImportant = scenario.m_groups[index].m_isImportant;
        group.m_ideal = ideal.m_completed[index];
        report.m_groups.push_back (group);
    }

    std::size_t attempts = 0;

    for (const auto& result : results)
    {
        auto& group = report.m_groups[result.m_group];
        ++group.m_offered;
        attempts += result.m_attempts;
        report.m_maxLatenessMs =
            std::max (report.m_maxLatenessMs, static_cast<double> (result.m_lateness.count()) / 1000.0);

        if (! result.m_isCompleted)
        {
            group.m_unknown += result.m_hadUnknownOutcome ? 1 : 0;
            continue;
        }

        ++group.m_completed;
        const auto bucket = static_cast<std::size_t> ((result.m_at + result.m_latency) / reportBucket);

        if (bucket < report.m_goodput.size())
            report.m_goodput[bucket] += 1.0;

        if (result.m_attempts == 1)
            latencies[result.m_group].push_back (static_cast<double> (result.m_latency.count()) / 1000.0);
    }

    for (std::size_t index = 0; index < latencies.size(); ++index)
    {
        report.m_groups[index].m_p50Ms = quantile (latencies[index], 0.5);
        report.m_groups[index].m_p99Ms = quantile (latencies[index], 0.99);
    }

    for (const auto& bucket : bucketsOf (scenario, results))
        report.m_firstAttemptShare.push_back (bucket.m_sent > 0
                                                  ? static_cast<double> (bucket.m_completedFirstAttempt) /
                                                        static_cast<double> (bucket.m_sent)
                                                  : 1.0);

    if (scenario.m_trigger.m_to > scenario.m_trigger.m_from)
    {
        report.m_goodputRecoverySeconds = goodputRecoveryOf (scenario, report.m_goodput);
        report.m_recoverySeconds = recoveryOf (scenario, results);
    }

    report.m_attemptsPerRequest =
        results.empty() ? 0.0 : static_cast<double> (attempts) / static_cast<double> (results.size());
    return report;
}

std::string toJson (const Scenario& scenario, const ScenarioReport& report)
{
    json::array groups;

    for (const auto& group : report.m_groups)
        groups.push_back ({ { "name", group.m_name },
                            { "important", group.m_isImportant },
                            { "offered", group.m_offered },
                            { "completed", group.m_completed },
                            { "unknown", group.m_unknown },
                            { "ideal", group.m_ideal },
                            { "p50_ms", group.m_p50Ms },
                            { "p99_ms", group.m_p99Ms } });

    return json::serialize (json::object { { "scenario", scenario.m_name },
                                           { "groups", std::move (groups) },
                                           { "goodput", json::value_from (report.m_goodput) },
                                           { "first_time", json::value_from (report.m_firstAttemptShare) },
                                           { "goodput_recovery_s", report.m_goodputRecoverySeconds },
                                           { "recovery_s", report.m_recoverySeconds },
                                           { "sendings_per_request", report.m_attemptsPerRequest },
                                           { "worst_lateness_ms", report.m_maxLatenessMs } });
}

} // namespace plankledge
