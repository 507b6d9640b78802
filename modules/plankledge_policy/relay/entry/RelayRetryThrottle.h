#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Time.h"
#include "plankledge_policy/relay/RelaySettings.h"

#include <array>
#include <map>

namespace plankledge
{

//==============================================================================
/**
    Limits the retries that this node sends to targets, for each service.

    All nodes share one limit: a ratio of the requests for the service in a sliding window,
    plus a slack. Each node uses the ratio of the requests that it sent itself and an equal
    share of the slack, both reduced by a margin, so that the total stays within the limit
    without coordination. A node that has not sent requests yet has no retries.

    If more retries are wanted than available, they are granted by shed rank: chains below a
    cutoff get all their retries and the others none, since a few retries for each of many
    chains would let none of them finish.

    Units: attempts that reach a target, after the first one of each request.
*/
class RelayRetryThrottle
{
public:
    //==============================================================================
    explicit RelayRetryThrottle (const RelaySettings& settings);

    /** Must be called before the first attempt of each request for the service. */
    void onRequest (const ServiceName& service, Time now);

    /** Sets the number of nodes that share the limit, this one included. */
    void setNodeCount (std::size_t nodeCount) noexcept { m_nodeCount = nodeCount; }

    /** Counts a nested call of a retried request as a retry, whether or not the limit allows one. */
    void charge (const ServiceName& service, Time now);

    /** Acquires the cost of one retry, at its service and at the services that it will call, or nothing.

        @param demand     number of nested calls that the retry leads to, by service
        @param shedRank   of the call chain, in [0, 1); higher ranks are shed first
        @returns whether the retry may be sent
    */
    bool tryAcquire (const ServiceName& service, const std::map<ServiceName, double>& demand, double shedRank,
                     Time now);

private:
    //==============================================================================
    static constexpr std::size_t intervalCount = 20; /**< in a window */
    static constexpr std::size_t rankBinCount = 200; /**< in [0, 1); several for each priority */

    struct WindowInterval
    {
        std::int64_t m_number = -1; /**< since the epoch of the clock; older ones are out of the window */
        double m_requests = 0.0;
        double m_spent = 0.0;
    };

    struct ServiceWindow
    {
        std::array<WindowInterval, intervalCount> m_intervals;

        /** Retries per second by shed rank, as a decaying average. */
        std::array<double, rankBinCount> m_wantedRates {};

        Time m_wantedUpdatedAt;
    };

    struct Totals
    {
        double m_requests = 0.0;
        double m_spent = 0.0;
    };

    WindowInterval& currentInterval (const ServiceName& service, Time now);
    std::int64_t intervalNumber (Time now) const noexcept;
    Totals totalsOf (const ServiceWindow& window, Time now) const noexcept;
    static void recordWanted (ServiceWindow& window, double shedRank, double cost, Time now) noexcept;
    static double cutoffRank (const ServiceWindow& window, double rate) noexcept;

    const RelaySettings m_settings;
    const Duration m_intervalLength;
    std::size_t m_nodeCount = 1;
    std::map<ServiceName, ServiceWindow> m_windows;
};

} // namespace plankledge
