#pragma once

#include "plankledge_core/PeerMessages.h"
#include <map>
#include <optional>

namespace plankledge
{

//==============================================================================
/**
    Caches the shed thresholds that other nodes report in their answers, per instance
    and for the downstream services of each operation. A threshold admits the ranks
    below it, so higher ranks are refused first.

    A cached threshold rises with its age: while all calls are refused locally no answer
    can update it, so some calls must be admitted to probe the service.
*/
class ThresholdCache
{
public:
    //==============================================================================
    /** Stores the threshold that an instance of the service reported. */
    void onInstanceThreshold (const ServiceName& service, const InstanceName& instance, Rank threshold,
                              Time now);

    /** Stores the thresholds of downstream services that were reported in an answer of the operation. */
    void onDownstreamThresholds (const ServiceName& service, const OperationName& operation,
                                 const std::vector<ServiceThreshold>& downstream, Time now);

    /** @returns the instance's threshold, relaxed by its age; admitAll if none is known */
    Rank ofInstance (const ServiceName& service, const InstanceName& instance, Time now) const;

    /** @returns the highest recent threshold of the service's instances; admitAll if none is known */
    Rank ofService (const ServiceName& service, Time now) const;

    /** @returns the lowest threshold of the operation's downstream services; admitAll if none is known */
    Rank lowestDownstreamThreshold (const ServiceName& service, const OperationName& operation,
                                    Time now) const;

    /** @returns the operation's known downstream services with their thresholds */
    std::vector<ServiceThreshold> downstreamOf (const ServiceName& service, const OperationName& operation,
                                                Time now) const;

private:
    //==============================================================================
    struct CachedThreshold
    {
        Rank m_threshold = admitAll;
        Time m_at;

        Rank relaxed (Time now) const noexcept;
    };

    struct OperationKey
    {
        ServiceName m_service;
        OperationName m_operation;

        auto operator<=> (const OperationKey&) const = default;
    };

    std::map<ServiceName, std::map<InstanceName, CachedThreshold>> m_instances;
    std::map<OperationKey, std::map<ServiceName, CachedThreshold>> m_downstream;
};

} // namespace plankledge
