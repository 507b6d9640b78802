#pragma once

#include "plankledge_core/RelayMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace plankledge
{

//==============================================================================
/**
    The time that requests of each route take at the local target: moving averages, and how the time depends
   on the work time that the target states.

    Times are kept per route, since the routes of one service may differ by more than a factor of ten and a
    common average would follow the mix of requests.

    Targets change their speed by a factor of 2.5 within a second, in which a moving average of a route with
   few requests hardly moves. Only a part of a request's duration depends on the work time of its target; the
   rest is spent waiting for calls to other targets. The dependence is therefore learned for each route, by
   linear regression. The slope is limited to between 0 (nothing depends on the work time) and the one at
   which the whole duration is proportional to it. It is 0 until samples show otherwise.

    @see StatedLoad
*/
class RouteTimes
{
public:
    //==============================================================================
    /** The work time that a target states, in percent of the usual; nullopt: none is valid. */
    using WorkTime = std::optional<std::uint16_t>;

    /** Adds the duration of a request that ended at a time.

        @param workTime   valid at that time
    */
    void addSample (const RouteName& route, Duration duration, Time now, WorkTime workTime = std::nullopt);

    /** Removes the routes whose last sample is older than a time, since routes are added and removed while
        the node runs. */
    void removeBefore (Time time);

    /** Removes all samples, as when the target is replaced. */
    void clear() noexcept { m_samples.clear(); }

    /** @returns the expected duration of a request of a route at a work time; without a work time, the
       average of the route. If the route has no samples, the mean of the other routes; zero if there are no
       samples at all. */
    Duration estimate (const RouteName& route, WorkTime workTime = std::nullopt) const noexcept;

    /** @returns the same, or nullopt if the route has no samples */
    std::optional<Duration> findEstimate (const RouteName& route, WorkTime workTime) const noexcept;

    /** @returns the average of a route, or nullopt if it has no samples */
    std::optional<Duration> findAverage (const RouteName& route) const noexcept
    {
        return findEstimate (route, std::nullopt);
    }

    bool isEmpty() const noexcept { return m_samples.empty(); }

    /** @returns the expected duration for each route that has samples, as sent to peers */
    std::vector<RouteTime> all (WorkTime workTime = std::nullopt) const;

private:
    //==============================================================================
    /** Moving averages of the samples that have a work time. */
    struct Averages
    {
        double m_microseconds = 0.0;
        double m_workTime = 0.0; /**< percent */
    };

    /** Regression of durations on work times. The weight of a sample decays with its age. */
    struct Regression
    {
        void add (double microseconds, double workTime, Time now) noexcept;

        double m_weight = 0.0;
        double m_meanMicroseconds = 0.0;
        double m_meanWorkTime = 0.0;
        double m_workTimeSquares = 0.0; /**< weighted sum of squared deviations of the work time */
        double m_products = 0.0;        /**< weighted sum of the products of both deviations */
        Time m_lastSampleAt;
    };

    struct Samples
    {
        double estimate (WorkTime workTime) const noexcept;

        double m_microseconds = 0.0; /**< moving average of all samples */
        Time m_lastSampleAt;
        std::optional<Averages> m_averages; /**< nullopt: no sample has a work time */
        Regression m_regression;
    };

    std::map<RouteName, Samples> m_samples;
};

} // namespace plankledge
