#pragma once

#include "plankledge_core/RelayMessages.h"

#include <map>
#include <optional>

namespace plankledge
{

//==============================================================================
/**
    Decides which requests a stopping process can still complete before it exits.

    A request that is accepted and cut at the exit is worse for its caller than one that is refused at
    once, which may return elsewhere: its outcome is unknown, and if its route is not repeatable it may
    not be sent again. A request is completed if its deadline comes before the exit, or if it takes no
    longer than requests of its route usually do: the mean of their durations plus four mean deviations,
    as TCP estimates its retransmission timeout (RFC 6298).
*/
class StopSchedule
{
public:
    //==============================================================================
    /** Adds the duration of a request that was answered, or that reached its deadline. */
    void addSample (const RouteName& route, Duration duration, Time now);

    /** Removes all samples, as when the target is replaced. */
    void clear() noexcept { m_samples.clear(); }

    /** The process exits at a time, even if requests are in progress. */
    void stop (Time exitsAt) noexcept { m_exitsAt = exitsAt; }

    /** @param deadline   of the request, at which it is answered in any case

        @returns whether a request that is accepted now can be completed before the exit; also true if no exit
                 is planned
    */
    bool canComplete (const RouteName& route, Time deadline, Time now) const noexcept;

    /** @returns a duration that few requests of a route exceed; nullopt if it has no recent samples */
    std::optional<Duration> findBound (const RouteName& route) const noexcept;

private:
    //==============================================================================
    /** Moving averages, in microseconds. */
    struct Samples
    {
        double m_mean = 0.0;
        double m_deviation = 0.0; /**< mean of the absolute differences from the mean */
        Time m_lastSampleAt;
    };

    void removeOutdated (Time now);

    std::map<RouteName, Samples> m_samples;
    Time m_outdatedRemovedAt;
    std::optional<Time> m_exitsAt; /**< nullopt: no exit is planned */
};

} // namespace plankledge
