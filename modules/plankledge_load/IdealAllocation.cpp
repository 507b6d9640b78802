#include "plankledge_load/IdealAllocation.h"

#include <algorithm>
#include <numeric>

namespace plankledge
{

namespace
{

constexpr Milliseconds step { 1000 };
constexpr Milliseconds typicalRetryDelay { 1500 }; // delay between attempts that obey Retry-After
constexpr Milliseconds immediateRetryDelay { 50 }; // delay between attempts that ignore Retry-After

/** @returns the slot time that a service provides per step, in milliseconds */
double slotTimeIn (const Scenario& scenario, const ServiceName& service)
{
    return static_cast<double> (scenario.m_services.at (service).m_slots) *
           static_cast<double> (step.count());
}

/** @returns the service time at a point of the scenario, in milliseconds */
double serviceMsAt (const Scenario& scenario, const ServiceName& service, Milliseconds at)
{
    const auto& trigger = scenario.m_trigger;
    const bool isSlow = service == trigger.m_slowService && at >= trigger.m_from && at < trigger.m_to;
    return scenario.m_services.at (service).m_serviceMs * (isSlow ? trigger.m_slowFactor : 1.0);
}

} // namespace

//==============================================================================
Milliseconds retryDurationOf (const CallerGroup& group)
{
    return (group.m_obeysRetryAfter ? typicalRetryDelay : immediateRetryDelay) * group.m_maxRetries;
}

IdealAllocation allocateIdeally (const Scenario& scenario, const std::vector<Arrival>& arrivals)
{
    const auto& groups = scenario.m_groups;
    IdealAllocation ideal { std::vector<double> (groups.size(), 0.0) };
    std::vector<std::vector<double>> waiting (groups.size()); // requests by age in steps, oldest last
    std::vector<std::size_t> order (groups.size());
    std::iota (order.begin(), order.end(), 0U);
    std::stable_sort (order.begin(), order.end(), [&groups] (std::size_t left, std::size_t right) {
        return groups[left].m_isImportant && ! groups[right].m_isImportant;
    });

    auto next = arrivals.begin();

    for (Milliseconds at { 0 }; at < scenario.m_duration; at += step)
    {
        std::map<ServiceName, double> slotTime;

        for (const auto& [service, capacity] : scenario.m_services)
            slotTime[service] = slotTimeIn (scenario, service);

        for (auto& ages : waiting)
            ages.insert (ages.begin(), 0.0);

        for (; next != arrivals.end() && next->m_at < at + step; ++next)
            waiting[next->m_group].front() += 1.0;

        for (const auto group : order)
        {
            auto& ages = waiting[group];
            ages.resize (std::min (ages.size(),
                                   1 + static_cast<std::size_t> (retryDurationOf (groups[group]) / step)));

            double maxServed = 1e18;

            for (const auto& [service, visits] : groups[group].m_visits)
                maxServed =
                    std::min (maxServed, slotTime[service] / (visits * serviceMsAt (scenario, service, at)));

            double served = 0.0;

            for (auto age = ages.rbegin(); age != ages.rend(); ++age)
            {
                const auto completed = std::min (*age, maxServed - served);
                *age -= completed;
                served += completed;
            }

            for (const auto& [service, visits] : groups[group].m_visits)
                slotTime[service] -= served * visits * serviceMsAt (scenario, service, at);

            ideal.m_completed[group] += served;
        }
    }

    return ideal;
}

} // namespace plankledge
