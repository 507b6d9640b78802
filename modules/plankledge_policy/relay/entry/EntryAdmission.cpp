#include "plankledge_policy/relay/entry/EntryAdmission.h"

#include <algorithm>
#include <cmath>
#include <utility>

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

/** @returns the expected slot time of a request at a service, its nested calls included, in microseconds */
double costAt (const ServiceName& service, const EntryAdmission::Applicant& applicant,
               const CallGraph::Calls& calls, const PeerTable& peers)
{
    auto cost =
        service == applicant.m_service ? meanServiceTime (service, applicant.m_route.m_name, peers) : 0.0;

    for (const auto& [callee, count] : calls)
        if (callee.first == service)
            cost += count * meanServiceTime (service, callee.second, peers);

    return cost;
}

} // namespace

//==============================================================================
EntryAdmission::AdmissionDecision EntryAdmission::decide (const Applicant& applicant,
                                                          const RouteTable& routes, const PeerTable& peers,
                                                          CallGraph& calls, Random& random)
{
    constexpr std::uint64_t cohorts = 1000;
    const auto& route = applicant.m_route;
    const auto& demand = calls.demandOf (route.m_name);
    const auto& callees = calls.callsOf (route.m_name);
    const auto rooms = roomsOf (applicant, demand, peers);
    auto bottleneck = findBottleneck (rooms, &ServiceRoom::meanLevel);
    auto cost = costAt (bottleneck.m_service, applicant, callees, peers);
    updateMeanCost (applicant, bottleneck, cost);

    if (applicant.m_isTolerant)
    {
        const auto meanBottleneck = std::exchange (bottleneck, findBottleneck (rooms, &ServiceRoom::level));

        if (bottleneck.m_service != meanBottleneck.m_service)
            cost = costAt (bottleneck.m_service, applicant, callees, peers);
    }

    const auto cohort = static_cast<double> (random.below (cohorts)) / cohorts;
    const bool isRetry = isClientRetry (route.m_name, applicant.m_timeout);
    const auto priority = priorityOf (route, routes, isRetry, random);
    const auto cohortRank = isRetry ? (1.0 + cohort) / 2.0 : cohort / 2.0;
    const auto rankInPriority = 1.0 - std::pow (1.0 - cohortRank, relativeCost (applicant, bottleneck, cost));
    const auto shedRank = routes.shedRankOfPriority (priority) + rankInPriority * routes.shedRankWidth();

    if (shedRank < bottleneck.m_level)
        return { std::nullopt, priority };

    return { Refusal { bottleneck.m_service, shedRank, bottleneck.m_level, smallestRoom (rooms) }, priority };
}

std::uint32_t EntryAdmission::priorityOf (const Route& route, const RouteTable& routes, bool isClientRetry,
                                          Random& random)
{
    if (isClientRetry || random.below (1000) >= promotedPermille)
        return route.m_priority;

    return std::min (route.m_priority, routes.highestPriority());
}

/** @returns the services that a request needs, its own service first */
EntryAdmission::Rooms EntryAdmission::roomsOf (const Applicant& applicant, const CallGraph::Demand& demand,
                                               const PeerTable& peers)
{
    const auto roomOf = [&] (const ServiceName& service) {
        return ServiceRoom (peers.acceptingRequests (service), applicant.m_now);
    };

    Rooms rooms { { applicant.m_service, roomOf (applicant.m_service) } };

    for (const auto& [callee, count] : demand)
        rooms.emplace_back (callee, roomOf (callee));

    return rooms;
}

EntryAdmission::Bottleneck EntryAdmission::findBottleneck (const Rooms& rooms, LevelOf levelOf)
{
    Bottleneck result { rooms.front().first, (rooms.front().second.*levelOf)() };

    for (const auto& [service, room] : rooms)
        if (const auto level = (room.*levelOf)(); level < result.m_level)
            result = { service, level };

    return result;
}

double EntryAdmission::smallestRoom (const Rooms& rooms) noexcept
{
    auto result = 1.0;

    for (const auto& [service, room] : rooms)
        result = std::min (result, room.freeShare());

    return result;
}

/** Updates the mean cost of the requests of a priority at the service that limits them. For requests of
    latency-tolerant routes too, this is the service with the lowest mean level, so that they do not change
    the decisions on other routes. */
void EntryAdmission::updateMeanCost (const Applicant& applicant, const Bottleneck& bottleneck, double cost)
{
    auto& mean = m_meanCosts[{ bottleneck.m_service, applicant.m_route.m_priority }];
    mean += (cost - mean) * (mean > 0.0 ? costSmoothingFactor : 1.0);
}

/** @returns the cost of a request at the bottleneck service, relative to the mean cost of its priority there;
    clamped to [1 / maxRelativeCost, maxRelativeCost] */
double EntryAdmission::relativeCost (const Applicant& applicant, const Bottleneck& bottleneck,
                                     double cost) const
{
    const auto found = m_meanCosts.find ({ bottleneck.m_service, applicant.m_route.m_priority });

    if (found == m_meanCosts.end() || ! (found->second > 0.0))
        return 1.0;

    return std::clamp (cost / found->second, 1.0 / maxRelativeCost, maxRelativeCost);
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
