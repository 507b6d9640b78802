#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Time.h"
#include "plankledge_policy/relay/RelaySettings.h"

#include <map>

namespace plankledge
{

//==============================================================================
/**
    Bounds the requests that this node sends to a second target, for each service.

    All nodes share one bound: a ratio of the requests for the service in a window, plus
    a slack. Each earns its ratio from the requests that it sent there itself and takes an
    equal part of the slack, both with a margin, so that the sum stays under the bound
    without any agreement. A node that starts has nothing until it has sent requests.

    Units: requests that reach a target beyond their first.
*/
class RetryTokens
{
public:
    //==============================================================================
    explicit RetryTokens (const RelaySettings& settings);

    /** A request is about to be sent to the service for the first time. */
    void onRequest (const ServiceName& service, Time now);

    /** The number of nodes that share the bound, this one included. */
    void setNodes (std::size_t nodes) noexcept { m_nodes = nodes; }

    /** Takes what one more sending costs, at the service and at those it will call, or nothing.

        @param demand   calls that the sending leads to, by service
        @returns whether all of it was there
    */
    bool take (const ServiceName& service, const std::map<ServiceName, double>& demand, Time now);

private:
    //==============================================================================
    struct Bucket
    {
        double m_tokens = 0.0;
        double m_requests = 0.0; /**< of about the last window, decaying */
        Time m_updatedAt;
    };

    Bucket& refreshed (const ServiceName& service, Time now);

    const RelaySettings m_settings;
    std::size_t m_nodes = 1;
    std::map<ServiceName, Bucket> m_buckets;
};

} // namespace plankledge
