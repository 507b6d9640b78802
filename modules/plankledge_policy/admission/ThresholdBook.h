#pragma once

#include "plankledge_core/PeerMessages.h"
#include <map>
#include <optional>

namespace plankledge
{

//==============================================================================
/**
    Thresholds that others gave on their answers, and which services an operation
    was seen to call.

    What was heard reopens with its age, step by step: where everything is refused
    early no answer comes any more, and the next calls must find out.
*/
class ThresholdBook
{
public:
    //==============================================================================
    /** A node of the service answered with its own threshold. */
    void onInstance (const ServiceName& service, const InstanceName& instance, Rank threshold, Time now);

    /** An answer of an operation said what the services below it admit. */
    void onDownstream (const ServiceName& service, const OperationName& operation,
                       const std::vector<ServiceThreshold>& downstream, Time now);

    /** @returns the instance's threshold, reopened by age; admitAll where none is known */
    Rank ofInstance (const ServiceName& service, const InstanceName& instance, Time now) const;

    /** @returns the highest threshold among the service's instances heard lately */
    Rank ofService (const ServiceName& service, Time now) const;

    /** @returns the lowest threshold among the services that the operation calls, itself not included */
    Rank belowOperation (const ServiceName& service, const OperationName& operation, Time now) const;

    /** @returns the services the operation calls, with their thresholds */
    std::vector<ServiceThreshold> downstreamOf (const ServiceName& service, const OperationName& operation,
                                                Time now) const;

private:
    //==============================================================================
    struct Heard
    {
        Rank m_threshold = admitAll;
        Time m_at;

        Rank reopened (Time now) const noexcept;
    };

    struct OperationKey
    {
        ServiceName m_service;
        OperationName m_operation;

        auto operator<=> (const OperationKey&) const = default;
    };

    std::map<ServiceName, std::map<InstanceName, Heard>> m_instances;
    std::map<OperationKey, std::map<ServiceName, Heard>> m_downstream;
};

} // namespace plankledge
