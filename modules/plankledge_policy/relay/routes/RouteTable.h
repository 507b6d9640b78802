#pragma once

#include "plankledge_core/ClientLimits.h"
#include "plankledge_core/Declarations.h"
#include "plankledge_core/RelayMessages.h"
#include "plankledge_policy/relay/access/Organisations.h"

#include <absl/status/statusor.h>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace plankledge
{

/** A service and its share of a route's requests. */
struct WeightedService
{
    ServiceName m_service;
    std::uint32_t m_weight = 1;

    auto operator<=> (const WeightedService&) const = default;
};

//==============================================================================
/** Handling of the requests of one host and path prefix, as configured by operators. */
struct Route
{
    RouteName m_name;
    bool m_isRepeatable = true;
    std::uint32_t m_priority = 0; /**< 0 is the highest and is refused last */
    Duration m_timeout {};        /**< every request is answered within this time, if need be with an error */
    Duration m_latencyObjective {};  /**< desired time to the answer */
    std::uint32_t m_maxAttempts = 1; /**< number of targets that one request may be sent to */
    std::vector<WeightedService> m_services;
    bool m_isPublic = true; /**< requests need no API key */

    auto operator<=> (const Route&) const = default;
};

//==============================================================================
/** All routes of one configuration version. Immutable. */
class RouteTable
{
public:
    //==============================================================================
    /** Routes by host, then by path prefix; prefixes begin and end with a slash. */
    using Hosts = std::map<std::string, std::map<std::string, Route, std::less<>>, std::less<>>;

    RouteTable() = default;

    RouteTable (ConfigurationVersion version, Hosts hosts, Organisations organisations = {},
                ClientLimits limits = {});

    ConfigurationVersion version() const noexcept { return m_version; }

    /** @param path   a query is ignored

        @returns the host's route with the longest prefix that matches the path, or nullptr
    */
    const Route* find (std::string_view host, std::string_view path) const noexcept;

    /** @returns the services of all routes, sorted */
    const std::vector<ServiceName>& services() const noexcept { return m_services; }

    const Organisations& organisations() const noexcept { return m_organisations; }

    const ClientLimits& clientLimits() const noexcept { return m_clientLimits; }

    /** Computes the priority that a request is ranked by.

        If organisations are declared, the organisation's priority comes first and the route's
        priority breaks ties, since an organisation is served best if its more urgent requests
        come first within its limit; otherwise it is the route's priority.

        @param organisation   the organisation of the request; nullptr if the route is public
    */
    std::uint32_t priorityOf (const Route& route, const Organisation* organisation) const noexcept;

    /** @returns the highest priority in use; 0 if there are no routes */
    std::uint32_t highestPriority() const noexcept { return m_priorities.empty() ? 0 : m_priorities.front(); }

    /** @returns the start of the priority's interval in [0, 1); the priorities in use divide it equally */
    double shedRankOfPriority (std::uint32_t priority) const noexcept;

    /** @returns the width of each priority's interval in [0, 1) */
    double shedRankWidth() const noexcept;

    auto operator<=> (const RouteTable&) const = default;

private:
    //==============================================================================
    ConfigurationVersion m_version = 0;
    void addPriorities (const Route& route);

    Hosts m_hosts;
    Organisations m_organisations;
    ClientLimits m_clientLimits;
    std::vector<std::uint32_t> m_priorities; /**< in use, sorted */
    std::vector<ServiceName> m_services;     /**< in use, sorted */
};

/** Parses the text of the routes; an error status says why it is invalid. Must be a pure function. */
using RouteTableParser = std::function<absl::StatusOr<RouteTable> (const std::string& text)>;

} // namespace plankledge
