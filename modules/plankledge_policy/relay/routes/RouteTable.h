#pragma once

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

/** A service that takes part of a route's requests. */
struct WeightedService
{
    ServiceName m_service;
    std::uint32_t m_weight = 1;

    auto operator<=> (const WeightedService&) const = default;
};

//==============================================================================
/** How requests of one host and path prefix are to be handled, as operators declare it. */
struct Route
{
    RouteName m_name;
    bool m_isRepeatable = true;
    std::uint32_t m_priority = 0;     /**< 0 is the last to be refused */
    Duration m_timeout {};            /**< a request is answered by then, whatever the answer */
    Duration m_latencyObjective {};   /**< an answer by then is worth most */
    std::uint32_t m_mostAttempts = 1; /**< targets that one request may reach */
    std::vector<WeightedService> m_services;
    bool m_isPublic = true; /**< its requests need no key */

    auto operator<=> (const Route&) const = default;
};

//==============================================================================
/** One version of all routes. */
class RouteTable
{
public:
    //==============================================================================
    /** Routes by host, then by path prefix; prefixes begin and end with a slash. */
    using Hosts = std::map<std::string, std::map<std::string, Route, std::less<>>, std::less<>>;

    RouteTable() = default;

    RouteTable (ConfigurationVersion version, Hosts hosts, Organisations organisations = {});

    ConfigurationVersion version() const noexcept { return m_version; }

    /** @param path   may hold a query, which does not count

        @returns the route with the longest prefix of the path at that host, or nullptr
    */
    const Route* find (std::string_view host, std::string_view path) const noexcept;

    /** @returns all services that routes lead to, sorted */
    const std::vector<ServiceName>& services() const noexcept { return m_services; }

    const Organisations& organisations() const noexcept { return m_organisations; }

    /** Where organisations are declared, their priority takes the place of the routes', and among the
       requests of equally urgent organisations the route's own decides: within what an organisation may have,
       it is best served if its lodgements come before its searches.

        @param organisation   that the request is for; nullptr: it needs none
        @returns the priority that a request is ranked by
    */
    std::uint32_t priorityOf (const Route& route, const Organisation* organisation) const noexcept;

    /** @returns the priority in use that is refused last; 0 where there are no routes */
    std::uint32_t mostUrgentPriority() const noexcept
    {
        return m_priorities.empty() ? 0 : m_priorities.front();
    }

    /** @returns a priority's place among those in use, in [0, 1) */
    double placeOfPriority (std::uint32_t priority) const noexcept;

    /** @returns how much of [0, 1) one priority takes up */
    double widthOfPriority() const noexcept;

    auto operator<=> (const RouteTable&) const = default;

private:
    //==============================================================================
    ConfigurationVersion m_version = 0;
    void notePriorities (const Route& route);

    Hosts m_hosts;
    Organisations m_organisations;
    std::vector<std::uint32_t> m_priorities; /**< those in use, sorted */
    std::vector<ServiceName> m_services;     /**< those in use, sorted */
};

/** Turns the operators' text into routes, or says why it is not valid. Must be a pure function. */
using RouteTableParser = std::function<absl::StatusOr<RouteTable> (const std::string& text)>;

} // namespace plankledge
