#pragma once

#include "plankledge_load/IdealAllocation.h"
#include "plankledge_load/LoadRunner.h"

namespace plankledge
{

/** Results of one group of callers. */
struct GroupReport
{
    std::string m_name;
    bool m_isImportant = false;
    std::size_t m_offered = 0;
    std::size_t m_completed = 0;
    std::size_t m_unknown = 0; /**< not completed, and an attempt may have run */
    double m_ideal = 0.0;      /**< requests that an ideal allocator completes */
    double m_p50Ms = 0.0;      /**< of requests completed by the first attempt */
    double m_p99Ms = 0.0;
};

/** Results of a scenario. */
struct ScenarioReport
{
    std::vector<GroupReport> m_groups;
    std::vector<double> m_goodput; /**< completed requests per bucket, by time of the answer */
    std::vector<double>
        m_firstAttemptShare; /**< share of each bucket's new requests that the first attempt completed */
    double m_goodputRecoverySeconds = 0.0; /**< after the trigger's end; negative: not reached */
    double m_recoverySeconds = 0.0;        /**< the same, of completion rate and latency */
    double m_attemptsPerRequest = 0.0;
    double m_maxLatenessMs = 0.0; /**< maximum delay of a first attempt after its scheduled time */
};

/** Length of the time buckets of a report. */
inline constexpr Milliseconds reportBucket { 500 };

/** Aggregates the results of a scenario.

    Goodput has recovered from the first bucket after the trigger's end from which on at least 90 % as many
    requests complete as before the trigger.

    Recovery also includes latency: by time of the first attempt, the share of completed requests and their
    99th percentile, retries included, are within 10 % of those before the trigger. The percentile may
    exceed this bound by a few milliseconds.
*/
ScenarioReport makeReport (const Scenario& scenario, const std::vector<RequestResult>& results,
                           const IdealAllocation& ideal);

/** @returns the report as JSON */
std::string toJson (const Scenario& scenario, const ScenarioReport& report);

} // namespace plankledge
