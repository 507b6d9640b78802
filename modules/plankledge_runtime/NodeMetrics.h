#pragma once

#include "plankledge_formats/PlatformJson.h"
#include "plankledge_policy/Reducer.h"
#include "plankledge_runtime/CallerHttp.h"
#include "plankledge_runtime/HttpServer.h"
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
/** Quantiles of a duration since the start, by Boost.Accumulators (P-square). */
class DurationQuantiles
{
public:
    //==============================================================================
    DurationQuantiles();

    void add (Duration duration);

    /** The probabilities that are kept. */
    static constexpr std::array<double, 3> probabilities { 0.5, 0.9, 0.99 };

    /** @param index   of the probability
        @returns milliseconds; 0 while there is nothing to tell from
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
/** What the driver counts besides the reducer's own counters. */
struct NodeMetrics
{
    Counters::By<WireError, WireError::wireErrorCount> m_badFrames;
    Counters::By<WireError, WireError::wireErrorCount> m_badDatagrams;
    Counters::By<CallerError, CallerError::callerErrorCount> m_badRequests;
    Counters::By<HttpServerError, HttpServerError::httpServerErrorCount> m_badHttp;
    Counters::By<PlatformError, PlatformError::platformErrorCount> m_platformErrors;
    std::uint64_t m_targetBroken = 0;
    DurationQuantiles m_requestTime; /**< from a request's arrival to its answer */
};

/** Bytes for control since the start, by what carries them. */
struct ControlTraffic
{
    std::uint64_t m_frames = 0;
    std::uint64_t m_datagrams = 0;
    std::uint64_t m_platform = 0;
};

/** @returns all counters and gauges in Prometheus text format */
std::string renderMetrics (const Reducer& reducer, const NodeMetrics& metrics, const ControlTraffic& traffic);

/** @returns the same of a node that serves relayed requests */
std::string renderRelayMetrics (const Reducer& reducer, const NodeMetrics& metrics,
                                const ControlTraffic& traffic, Time now);

/** @returns this node's view as JSON: members, version, limits, refusals by reason */
std::string renderState (const Reducer& reducer);

} // namespace plankledge
