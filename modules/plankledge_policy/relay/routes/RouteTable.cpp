#include "plankledge_policy/relay/routes/RouteTable.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Priorities of organisations and routes are clamped to [0, maxPriorities). */
constexpr std::uint32_t maxPriorities = 256;

template <class Value> void sortUnique (std::vector<Value>& values)
{
    std::sort (values.begin(), values.end());
    values.erase (std::unique (values.begin(), values.end()), values.end());
}

} // namespace

RouteTable::RouteTable (ConfigurationVersion version, Hosts hosts, Organisations organisations,
                        ClientLimits limits)
    : m_version (version)
    , m_hosts (std::move (hosts))
    , m_organisations (std::move (organisations))
    , m_clientLimits (limits)
{
    for (const auto& [host, routes] : m_hosts)
    {
        for (const auto& [prefix, route] : routes)
        {
            addPriorities (route);

            for (const auto& weighted : route.m_services)
                m_services.push_back (weighted.m_service);
        }
    }

    sortUnique (m_priorities);
    sortUnique (m_services);
}

void RouteTable::addPriorities (const Route& route)
{
    if (route.m_isPublic || ! m_organisations.areDeclared())
        return m_priorities.push_back (priorityOf (route, nullptr));

    for (const auto& organisation : m_organisations.all())
        m_priorities.push_back (priorityOf (route, &organisation));
}

std::uint32_t RouteTable::priorityOf (const Route& route, const Organisation* organisation) const noexcept
{
    if (! m_organisations.areDeclared())
        return route.m_priority;

    const auto own = std::min (route.m_priority, maxPriorities - 1);
    const auto primary =
        organisation != nullptr ? std::min (organisation->m_priority, maxPriorities - 1) : own;
    return primary * maxPriorities + own;
}

const Route* RouteTable::find (std::string_view host, std::string_view path) const noexcept
{
    const auto routes = m_hosts.find (host);

    if (routes == m_hosts.end())
        return nullptr;

    path = path.substr (0, path.find ('?'));

    // Prefixes end with a slash, so only parts of the path that end with one can match.
    for (auto slash = path.rfind ('/'); slash != std::string_view::npos; slash = path.rfind ('/', slash - 1))
    {
        const auto found = routes->second.find (path.substr (0, slash + 1));

        if (found != routes->second.end())
            return &found->second;

        if (slash == 0)
            break;
    }

    return nullptr;
}

double RouteTable::shedRankOfPriority (std::uint32_t priority) const noexcept
{
    const auto found = std::lower_bound (m_priorities.begin(), m_priorities.end(), priority);
    return static_cast<double> (found - m_priorities.begin()) * shedRankWidth();
}

double RouteTable::shedRankWidth() const noexcept
{
    return 1.0 / static_cast<double> (std::max<std::size_t> (1, m_priorities.size()));
}

} // namespace plankledge
