#include "plankledge_policy/admission/ThresholdBook.h"

#include <algorithm>

namespace plankledge
{

namespace
{

constexpr Duration reopenStepTime = Milliseconds (100);
constexpr Rank reopenStep = 16;
constexpr Duration holdTime = Milliseconds (200);
constexpr Duration forgetAfter = std::chrono::seconds (10);
constexpr std::size_t mostOperations = 1000;
constexpr std::size_t mostDownstream = 32;

} // namespace

//==============================================================================
Rank ThresholdBook::Heard::reopened (Time now) const noexcept
{
    const auto age = now - m_at;

    if (age <= holdTime)
        return m_threshold;

    const auto steps = (age - holdTime) / reopenStepTime;
    return static_cast<Rank> (std::min<long long> (admitAll, m_threshold + steps * reopenStep));
}

void ThresholdBook::onInstance (const ServiceName& service, const InstanceName& instance, Rank threshold,
                                Time now)
{
    m_instances[service][instance] = Heard { threshold, now };
}

void ThresholdBook::onDownstream (const ServiceName& service, const OperationName& operation,
                                  const std::vector<ServiceThreshold>& downstream, Time now)
{
    if (downstream.empty())
        return;

    if (m_downstream.size() >= mostOperations && ! m_downstream.contains ({ service, operation }))
        return;

    auto& known = m_downstream[{ service, operation }];

    for (const auto& entry : downstream)
        if (known.size() < mostDownstream || known.contains (entry.m_service))
            known[entry.m_service] = Heard { std::min (entry.m_threshold, admitAll), now };
}

Rank ThresholdBook::ofInstance (const ServiceName& service, const InstanceName& instance, Time now) const
{
    const auto byService = m_instances.find (service);

    if (byService == m_instances.end())
        return admitAll;

    const auto heard = byService->second.find (instance);
    return heard != byService->second.end() ? heard->second.reopened (now) : admitAll;
}

Rank ThresholdBook::ofService (const ServiceName& service, Time now) const
{
    const auto byService = m_instances.find (service);

    if (byService == m_instances.end())
        return admitAll;

    Rank highest = 0;
    bool isKnown = false;

    for (const auto& [instance, heard] : byService->second)
    {
        if (now - heard.m_at > forgetAfter)
            continue;

        highest = std::max (highest, heard.reopened (now));
        isKnown = true;
    }

    return isKnown ? highest : admitAll;
}

Rank ThresholdBook::belowOperation (const ServiceName& service, const OperationName& operation,
                                    Time now) const
{
    Rank lowest = admitAll;

    if (const auto found = m_downstream.find ({ service, operation }); found != m_downstream.end())
        for (const auto& [name, heard] : found->second)
            lowest = std::min (lowest, heard.reopened (now));

    return lowest;
}

std::vector<ServiceThreshold> ThresholdBook::downstreamOf (const ServiceName& service,
                                                           const OperationName& operation, Time now) const
{
    std::vector<ServiceThreshold> result;

    if (const auto found = m_downstream.find ({ service, operation }); found != m_downstream.end())
        for (const auto& [name, heard] : found->second)
            result.push_back ({ name, heard.reopened (now) });

    return result;
}

} // namespace plankledge
