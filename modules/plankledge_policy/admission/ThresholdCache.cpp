#include "plankledge_policy/admission/ThresholdCache.h"

#include <algorithm>

namespace plankledge
{

namespace
{

constexpr Duration relaxationInterval = Milliseconds (100);
constexpr Rank relaxationStep = 16;
constexpr Duration relaxationDelay = Milliseconds (200);
constexpr Duration maxAge = std::chrono::seconds (10);
constexpr std::size_t maxOperations = 1000;
constexpr std::size_t maxDownstream = 32;

} // namespace

//==============================================================================
Rank ThresholdCache::CachedThreshold::relaxed (Time now) const noexcept
{
    const auto age = now - m_at;

    if (age <= relaxationDelay)
        return m_threshold;

    const auto steps = (age - relaxationDelay) / relaxationInterval;
    return static_cast<Rank> (std::min<long long> (admitAll, m_threshold + steps * relaxationStep));
}

void ThresholdCache::onInstanceThreshold (const ServiceName& service, const InstanceName& instance,
                                          Rank threshold, Time now)
{
    m_instances[service][instance] = CachedThreshold { threshold, now };
}

void ThresholdCache::onDownstreamThresholds (const ServiceName& service, const OperationName& operation,
                                             const std::vector<ServiceThreshold>& downstream, Time now)
{
    if (downstream.empty())
        return;

    if (m_downstream.size() >= maxOperations && ! m_downstream.contains ({ service, operation }))
        return;

    auto& known = m_downstream[{ service, operation }];

    for (const auto& entry : downstream)
        if (known.size() < maxDownstream || known.contains (entry.m_service))
            known[entry.m_service] = CachedThreshold { std::min (entry.m_threshold, admitAll), now };
}

Rank ThresholdCache::ofInstance (const ServiceName& service, const InstanceName& instance, Time now) const
{
    const auto byService = m_instances.find (service);

    if (byService == m_instances.end())
        return admitAll;

    const auto cached = byService->second.find (instance);
    return cached != byService->second.end() ? cached->second.relaxed (now) : admitAll;
}

Rank ThresholdCache::ofService (const ServiceName& service, Time now) const
{
    const auto byService = m_instances.find (service);

    if (byService == m_instances.end())
        return admitAll;

    Rank highest = 0;
    bool isKnown = false;

    for (const auto& [instance, cached] : byService->second)
    {
        if (now - cached.m_at > maxAge)
            continue;

        highest = std::max (highest, cached.relaxed (now));
        isKnown = true;
    }

    return isKnown ? highest : admitAll;
}

Rank ThresholdCache::lowestDownstreamThreshold (const ServiceName& service, const OperationName& operation,
                                                Time now) const
{
    Rank lowest = admitAll;

    if (const auto found = m_downstream.find ({ service, operation }); found != m_downstream.end())
        for (const auto& [name, cached] : found->second)
            lowest = std::min (lowest, cached.relaxed (now));

    return lowest;
}

std::vector<ServiceThreshold> ThresholdCache::downstreamOf (const ServiceName& service,
                                                            const OperationName& operation, Time now) const
{
    std::vector<ServiceThreshold> result;

    if (const auto found = m_downstream.find ({ service, operation }); found != m_downstream.end())
        for (const auto& [name, cached] : found->second)
            result.push_back ({ name, cached.relaxed (now) });

    return result;
}

} // namespace plankledge
