#include "plankledge_policy/relay/entry/EntryAdmission.h"

#include <algorithm>
#include <cmath>

namespace plankledge
{

namespace
{

/** Callers share one timeout among all their attempts. A request whose timeout is below this fraction of the
    longest recent timeout of its route is therefore taken to be a retry. */
constexpr double firstAttemptTimeoutShare = 0.97;

/** Decay per request of the longest recent timeout of a route, which lets it follow a change of callers. */
constexpr double timeoutDecayFactor = 0.9999;

/** Smoothing factor of the moving average of the request cost of a priority. */
constexpr double costSmoothingFactor = 0.01;

/** Upper bound of the relative cost of a request; its reciprocal is the lower bound. Expensive requests are
    shed first, and the bound keeps their admission rate at about two thirds or more of that of other requests
    of their priority. With 2, more requests were served in total, but the expensive ones fell to 0.28 of
    their value. */
constexpr double maxRelativeCost = 1.25;

/** Share of first attempts of lower priorities that are promoted to the highest priority, in thousandths.
    Prevents starvation: where the highest priority alone can saturate the bottleneck service, each lower
    priority is still admitted about a quarter as often as the highest one, and thus at least a quarter as
    often as all requests together, as operators require. Without it, none of 2,250 requests were served. */
constexpr std::uint64_t promotedPermille = 250;

/** @returns the mean service time of a route over the targets of a service, in microseconds; 0 if unknown */
double meanServiceTime (const ServiceName& service, const RouteName& route, const PeerTable& peers)
{
    double sum = 0.0;
    double reportingPeers = 0.0;

    for (const auto* peer : peers.acceptingRequests (service))
    {
        const auto time = static_cast<double> (peer->routeTimeOf (route).count());
        sum += time;
        reportingPeers += time > 0.0 ? 1.0 : 0.0;
    }

    return reportingPeers > 0.0 ? sum / reportingPeers : 0.0;
}

} // namespace

//==============================================================================
EntryAdmission::AdmissionDecision EntryAdmission::decide (const Route& route, const ServiceName& service,
                                                          Duration timeout, const RouteTable& routes,
                                                          const PeerTable& peers, CallGraph& calls,
                                                          Random& random)
{
    constexpr std::uint64_t cohorts = 1000;
    const auto& callees = calls.callsOf (route.m_name);
    const auto bottleneck = findBottleneck (service, calls.demandOf (route.m_name), peers);
    const auto cohort = static_cast<double> (random.below (cohorts)) / cohorts;
    const bool isRetry = isClientRetry (route.m_name, timeout);
    const auto priority = priorityOf (route, routes, isRetry, random);
    const auto cohortRank = isRetry ? (1.0 + cohort) / 2.0 : cohort / 2.0;
    const auto rankInPriority =
        1.0 - std::pow (1.0 - cohortRank, relativeCost (route, service, bottleneck, callees, peers));
    const auto shedRank = routes.shedRankOfPriority (priority) + rankInPriority * routes.shedRankWidth();

    if (shedRank >= bottleneck.m_level)
        return { Refusal { bottleneck.m_service, shedRank, bottleneck.m_level }, priority };

    return { std::nullopt, priority };
}

std::uint32_t EntryAdmission::priorityOf (const Route& route, const RouteTable& routes, bool isClientRetry,
                                          Random& random)
{
    if (isClientRetry || random.below (1000) >= promotedPermille)
        return route.m_priority;

    return std::min (route.m_priority, routes.highestPriority());
}

EntryAdmission::Bottleneck EntryAdmission::findBottleneck (const ServiceName& service,
                                                           const CallGraph::Demand& demand,
                                                           const PeerTable& peers) noexcept
{
    Bottleneck result { service, admissionLevelOf (service, peers) };

    for (const auto& [callee, count] : demand)
        if (const auto level = admissionLevelOf (callee, peers); level < result.m_level)
            result = { callee, level };

    return result;
}

/** @returns the cost of a request at the bottleneck service, relative to the mean cost of its priority there;
    clamped to [1 / maxRelativeCost, maxRelativeCost] */
double EntryAdmission::relativeCost (const Route& route, const ServiceName& service,
                                     const Bottleneck& bottleneck, const CallGraph::Calls& calls,
                                     const PeerTable& peers)
{
    const auto& bottleneckService = bottleneck.m_service;
    auto cost = bottleneckService == service ? meanServiceTime (bottleneckService, route.m_name, peers) : 0.0;

    for (const auto& [callee, count] : calls)
        if (callee.first == bottleneckService)
            cost += count * meanServiceTime (bottleneckService, callee.second, peers);

    auto& mean = m_meanCosts[{ bottleneckService, route.m_priority }];
    mean += (cost - mean) * (mean > 0.0 ? costSmoothingFactor : 1.0);
    return mean > 0.0 ? std::clamp (cost / mean, 1.0 / maxRelativeCost, maxRelativeCost) : 1.0;
}

double EntryAdmission::admissionLevelOf (const ServiceName& service, const PeerTable& peers) noexcept
{
    double levels = 0.0;
    double capacity = 0.0;

    for (const auto* peer : peers.acceptingRequests (service))
    {
        const auto share = peer->sustainableConcurrency();
        levels += static_cast<double> (peer->m_gate.m_admittedPermille) / 1000.0 * share;
        capacity += share;
    }

    return capacity > 0.0 ? levels / capacity : 1.0;
}

bool EntryAdmission::isClientRetry (const RouteName& route, Duration timeout)
{
    auto& maxTimeout = m_maxTimeouts[route];
    const auto decayed = static_cast<double> (maxTimeout.count()) * timeoutDecayFactor;
    maxTimeout = std::max (timeout, Duration (static_cast<Duration::rep> (decayed)));
    return static_cast<double> (timeout.count()) <
           static_cast<double> (maxTimeout.count()) * firstAttemptTimeoutShare;
}

} // namespace plankledge
