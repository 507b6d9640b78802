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
    Bounds the requests that this node sends to a target for a second time, for each service.

    All nodes share one bound: a ratio of the requests for the service in a window, plus a
    slack. Each node uses a ratio of the requests that it sent there itself and an equal part
    of the slack, both with a margin, so that the sum stays under the bound without any
    agreement. A node that starts has nothing until it has sent requests.

    Where more is wanted than there is, it goes to whole requests: those whose chain comes
    first in the order of refusal get all the retries they want, and the others none. A few
    retries for each of many chains would save none of them.

    Units: requests that reach a target beyond their first.
*/
class RelayRetryThrottle
{
public:
    //==============================================================================
    explicit RelayRetryThrottle (const RelaySettings& settings);

    /** A request is about to be sent to the service for the first time. */
    void onRequest (const ServiceName& service, Time now);

    /** The number of nodes that share the bound, this one included. */
    void setNodes (std::size_t nodes) noexcept { m_nodes = nodes; }

    /** A call of a run that was itself a retry counts as one, whether there was room for it or not. */
    void charge (const ServiceName& service, Time now);

    /** Takes what one more sending costs, at the service and at those it will call, or nothing.

        @param demand   calls that the sending leads to, by service
        @param place    of the chain in the order of refusal, in [0, 1); 0 is the most important
        @returns whether all of it was there
    */
    bool take (const ServiceName& service, const std::map<ServiceName, double>& demand, double place,
               Time now);

private:
    //==============================================================================
    static constexpr std::size_t slotCount = 20; /**< of a window */
    static constexpr std::size_t binCount = 200; /**< of the order of refusal; several for each priority */

    struct Slot
    {
        std::int64_t m_number = -1; /**< since the clock's start; others are of an older window */
        double m_requests = 0.0;
        double m_spent = 0.0;
    };

    struct Bucket
    {
        std::array<Slot, slotCount> m_slots;
        std::array<double, binCount> m_wishes {}; /**< a second, by place; decaying */
        Time m_wishedAt;
    };

    struct Sum
    {
        double m_requests = 0.0;
        double m_spent = 0.0;
    };

    Slot& slotOf (const ServiceName& service, Time now);
    std::int64_t numberOf (Time now) const noexcept;
    Sum sumOf (const Bucket& bucket, Time now) const noexcept;
    static void wish (Bucket& bucket, double place, double cost, Time now) noexcept;
    static double levelOf (const Bucket& bucket, double rate) noexcept;

    const RelaySettings m_settings;
    const Duration m_slotTime;
    std::size_t m_nodes = 1;
    std::map<ServiceName, Bucket> m_buckets;
};

} // namespace plankledge
