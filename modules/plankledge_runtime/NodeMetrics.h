#pragma once

#include "plankledge_formats/PlatformJson.h"
#include "plankledge_policy/Reducer.h"
#include "plankledge_runtime/CallerHttp.h"
#include "plankledge_runtime/HttpServer.h"
#include "plankledge_runtime/ProcessResources.h"
#include "plankledge_runtime/TargetClient.h"
#include "plankledge_wire/WireError.h"
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <string>

namespace plankledge
{

//==============================================================================
/** Estimates quantiles of a duration since the start, with the P-square algorithm of Boost.Accumulators. */
class DurationQuantiles
{
public:
    //==============================================================================
    DurationQuantiles();

    void add (Duration duration);

    /** The probabilities whose quantiles are estimated. */
    static constexpr std::array<double, 3> probabilities { 0.5, 0.9, 0.99 };

    /** @param index   into probabilities
        @returns the quantile in milliseconds, or 0 while there are too few samples
    */
    double milliseconds (std::size_t index) const;

    std::size_t count() const;

private:
    //==============================================================================
    using Accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count,
                                           boost::accumulators::tag::extended_p_square>>;

    Accumulator m_accumulator;
};

//==============================================================================
/** Counters of the edges, in addition to those of the reducer. */
struct NodeMetrics
{
    Counters::By<WireError, WireError::wireErrorCount> m_badFrames;
    Counters::By<WireError, WireError::wireErrorCount> m_badDatagrams;
    Counters::By<CallerError, CallerError::callerErrorCount> m_badRequests;
    Counters::By<HttpServerError, HttpServerError::httpServerErrorCount> m_badHttp;
    Counters::By<PlatformError, PlatformError::platformErrorCount> m_platformErrors;
    std::uint64_t m_callsNotQueued = 0;   /**< not sent to a peer, since there was no room in its queue */
    std::uint64_t m_peerCallsRefused = 0; /**< peers' calls for which there was no memory */
    std::uint64_t m_brokenTargetCalls = 0;
    Counters::By<ResponseError, ResponseError::responseErrorCount>
        m_discardedResponses;              /**< of the target, by the rule that they break */
    std::uint64_t m_targetConnections = 0; /**< opened to the target, by nodes that serve relayed requests */
    std::uint64_t m_strayTargetResponses = 0; /**< skipped, since they belong to no request in progress */
    std::uint64_t m_requestsReadAhead = 0; /**< read while earlier ones of the connection were unanswered */
    std::size_t m_maxRequestsOnConnection =
        0;                           /**< unanswered at once, since the start; 0 if none read ahead */
    DurationQuantiles m_requestTime; /**< from a request's arrival to its response */

    /** Counts a call to the target that was sent and has no complete response; no others. */
    void countBrokenCall (const CallFailure& failure) noexcept
    {
        if (failure.m_failure != TargetFailure::broken)
            return;

        ++m_brokenTargetCalls;
        countDiscarded (failure.m_error);
    }

    /** @param error   none: the response was not discarded */
    void countDiscarded (ResponseError error) noexcept
    {
        if (error != ResponseError::none)
            ++m_discardedResponses[error];
    }
};

/** Bytes of control traffic since the start, by transport. */
struct ControlTraffic
{
    std::uint64_t m_frames = 0;
    std::uint64_t m_datagrams = 0;
    std::uint64_t m_platform = 0;
};

/** @returns the metrics of a node that serves keyed requests, in Prometheus text format */
std::string renderMetrics (const Reducer& reducer, const NodeMetrics& metrics, const ControlTraffic& traffic);

/** @returns the metrics of a node that serves relayed requests, in Prometheus text format */
std::string renderRelayMetrics (const Reducer& reducer, const NodeMetrics& metrics,
                                const ControlTraffic& traffic, Time now);

/** Appends the use of the process's resources, in Prometheus text format. */
void appendResources (std::string& text, const ProcessResources& resources);

/** @returns the node's state as JSON: members, configuration version, limits, and refusals by reason */
std::string renderState (const Reducer& reducer);

} // namespace plankledge
