#include "plankledge_policy/relay/entry/EntryAdmission.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** A sender keeps its whole time for all its attempts, so one that waits clearly less than others of its
   route has tried before. */
constexpr double shareOfFirstAttempt = 0.97;

/** The longest timeout of a route is forgotten by so much with each request, should senders change. */
constexpr double timeoutKept = 0.9999;

} // namespace

//==============================================================================
std::optional<EntryAdmission::Refusal> EntryAdmission::judge (const Route& route, const ServiceName& service,
                                                              Duration timeout, const RouteTable& routes,
                                                              const PeerTable& peers, CallGraph& calls,
                                                              Random& random)
{
    constexpr std::uint64_t cohorts = 1000;
    const auto cohort = static_cast<double> (random.below (cohorts)) / cohorts;
    const auto share = isComingBack (route.m_name, timeout) ? (1.0 + cohort) / 2.0 : cohort / 2.0;
    const auto place = routes.placeOfPriority (route.m_priority) + share * routes.widthOfPriority();

    if (const auto level = levelOf (service, peers); place >= level)
        return Refusal { service, place, level };

    for (const auto& [callee, count] : calls.demandOf (route.m_name))
        if (const auto level = levelOf (callee, peers); place >= level)
            return Refusal { callee, place, level };

    return std::nullopt;
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
