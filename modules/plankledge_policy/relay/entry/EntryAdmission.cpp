#include "plankledge_policy/relay/entry/EntryAdmission.h"

#include <algorithm>
#include <cmath>

namespace plankledge
{

namespace
{

/** A sender keeps its whole time for all its attempts, so one that waits clearly less than others of its
   route has tried before. */
constexpr double shareOfFirstAttempt = 0.97;

/** The longest timeout of a route is forgotten by so much with each request, should senders change. */
constexpr double timeoutKept = 0.9999;

/** Weight of a new request in the mean work of its priority. */
constexpr double weightOfNew = 0.01;

/** Requests that ask more of the service that is short are refused sooner, but no kind is admitted less than
   about two thirds as often as others of its priority. With 2 in place of 1.25 more requests were served in
   all, and the heavy kind fell to 0.28 of its worth. */
constexpr double largestHeaviness = 1.25;

/** Of a thousand first attempts of a lesser priority, so many are ranked with the most urgent ones. Where
   these can fill the short service alone, each kind is then begun about a quarter as often as the most urgent
   one, and so at least a quarter as often as all together, which is what operators ask. Without, none of
   2,250 were served in ten seconds. */
constexpr std::uint64_t rankedFirstPermille = 250;

/** @returns how long requests of a route take at the targets of a service, microseconds; 0: not known */
double meanTime (const ServiceName& service, const RouteName& route, const PeerTable& peers)
{
    double sum = 0.0;
    double known = 0.0;

    for (const auto* peer : peers.takingWork (service))
    {
        const auto time = static_cast<double> (peer->timeOf (route).count());
        sum += time;
        known += time > 0.0 ? 1.0 : 0.0;
    }

    return known > 0.0 ? sum / known : 0.0;
}

} // namespace

//==============================================================================
EntryAdmission::Verdict EntryAdmission::judge (const Route& route, const ServiceName& service,
                                               Duration timeout, const RouteTable& routes,
                                               const PeerTable& peers, CallGraph& calls, Random& random)
{
    constexpr std::uint64_t cohorts = 1000;
    const auto& callees = calls.callsOf (route.m_name);
    const auto bottleneck = bottleneckOf (service, calls.demandOf (route.m_name), peers);
    const auto cohort = static_cast<double> (random.below (cohorts)) / cohorts;
    const bool isBack = isComingBack (route.m_name, timeout);
    const auto priority = priorityOf (route, routes, isBack, random);
    const auto order = isBack ? (1.0 + cohort) / 2.0 : cohort / 2.0;
    const auto share = 1.0 - std::pow (1.0 - order, heaviness (route, service, bottleneck, callees, peers));
    const auto place = routes.placeOfPriority (priority) + share * routes.widthOfPriority();

    if (place >= bottleneck.m_level)
        return { Refusal { bottleneck.m_service, place, bottleneck.m_level }, priority };

    return { std::nullopt, priority };
}

std::uint32_t EntryAdmission::priorityOf (const Route& route, const RouteTable& routes, bool isComingBack,
                                          Random& random)
{
    if (isComingBack || random.below (1000) >= rankedFirstPermille)
        return route.m_priority;

    return std::min (route.m_priority, routes.mostUrgentPriority());
}

EntryAdmission::Bottleneck EntryAdmission::bottleneckOf (const ServiceName& service,
                                                         const CallGraph::Demand& demand,
                                                         const PeerTable& peers) noexcept
{
    Bottleneck result { service, levelOf (service, peers) };

    for (const auto& [callee, count] : demand)
        if (const auto level = levelOf (callee, peers); level < result.m_level)
            result = { callee, level };

    return result;
}

/** @returns the work that a request asks of the service that is short, over the mean of its priority there */
double EntryAdmission::heaviness (const Route& route, const ServiceName& service,
                                  const Bottleneck& bottleneck, const CallGraph::Calls& calls,
                                  const PeerTable& peers)
{
    const auto& shortOf = bottleneck.m_service;
    auto work = shortOf == service ? meanTime (shortOf, route.m_name, peers) : 0.0;

    for (const auto& [callee, times] : calls)
        if (callee.first == shortOf)
            work += times * meanTime (shortOf, callee.second, peers);

    auto& mean = m_meanWork[{ shortOf, route.m_priority }];
    mean += (work - mean) * (mean > 0.0 ? weightOfNew : 1.0);
    return mean > 0.0 ? std::clamp (work / mean, 1.0 / largestHeaviness, largestHeaviness) : 1.0;
}

double EntryAdmission::levelOf (const ServiceName& service, const PeerTable& peers) noexcept
{
    double levels = 0.0;
    double limits = 0.0;

    for (const auto* peer : peers.takingWork (service))
    {
        levels += static_cast<double> (peer->m_gate.m_admittedPermille) / 1000.0 * peer->m_gate.m_limit;
        limits += peer->m_gate.m_limit;
    }

    return limits > 0.0 ? levels / limits : 1.0;
}

bool EntryAdmission::isComingBack (const RouteName& route, Duration timeout)
{
    auto& longest = m_longestTimeouts[route];
    const auto kept = static_cast<double> (longest.count()) * timeoutKept;
    longest = std::max (timeout, Duration (static_cast<Duration::rep> (kept)));
    return static_cast<double> (timeout.count()) <
           static_cast<double> (longest.count()) * shareOfFirstAttempt;
}

} // namespace plankledge
