#include "plankledge_policy/relay/routes/CallGraph.h"

namespace plankledge
{

namespace
{

/** Counts are halved after this many requests, so that recent observations outweigh old ones. */
constexpr double requestsPerDecay = 200.0;

/** Call rates from fewer requests are not reported. */
constexpr double minRequests = 5.0;

/** Recursion limit; the deepest supported request chain has 18 calls. */
constexpr unsigned maxChainDepth = 18;

constexpr double permille = 1000.0;

} // namespace

//==============================================================================
void CallGraph::onRequest (const RouteName& route)
{
    auto& caller = m_own[route];
    caller.m_requests += 1.0;

    if (caller.m_requests < requestsPerDecay)
        return;

    caller.m_requests /= 2.0;

    for (auto& [name, callee] : caller.m_callees)
        callee.m_calls /= 2.0;
}

void CallGraph::onCall (const RouteName& caller, const RouteName& callee, const ServiceName& service)
{
    auto& entry = m_own[caller].m_callees[callee];
    entry.m_service = service;
    entry.m_calls += 1.0;
}

std::vector<CallEdge> CallGraph::ownEdges() const
{
    std::vector<CallEdge> edges;

    for (const auto& [route, caller] : m_own)
    {
        if (caller.m_requests < minRequests)
            continue;

        for (const auto& [name, callee] : caller.m_callees)
            edges.push_back ({ route, name, callee.m_service,
                               static_cast<std::uint32_t> (callee.m_calls / caller.m_requests * permille) });
    }

    return edges;
}

//==============================================================================
void CallGraph::setPeerEdges (const InstanceName& peer, const std::vector<CallEdge>& edges)
{
    auto& known = m_peers[peer];

    if (known == edges)
        return;

    known = edges;
    mergeEdges();
}

void CallGraph::removePeer (const InstanceName& peer)
{
    if (m_peers.erase (peer) > 0)
        mergeEdges();
}

void CallGraph::mergeEdges()
{
    struct Sum
    {
        ServiceName m_service;
        std::uint64_t m_callsPermille = 0;
        std::uint64_t m_observers = 0;
    };

    std::map<std::pair<RouteName, RouteName>, Sum> sums;

    for (const auto& [peer, edges] : m_peers)
    {
        for (const auto& edge : edges)
        {
            auto& sum = sums[{ edge.m_caller, edge.m_callee }];
            sum.m_service = edge.m_service;
            sum.m_callsPermille += edge.m_callsPermille;
            ++sum.m_observers;
        }
    }

    m_merged.clear();
    m_totals.clear();

    for (const auto& [names, sum] : sums)
        m_merged[names.first].push_back (
            { names.first, names.second, sum.m_service,
              static_cast<std::uint32_t> (sum.m_callsPermille / sum.m_observers) });
}

//==============================================================================
const CallGraph::CallTotals& CallGraph::totalsOf (const RouteName& route)
{
    const auto [entry, isNew] = m_totals.try_emplace (route);

    if (isNew)
        addCalls (route, 1.0, 0, entry->second);

    return entry->second;
}

void CallGraph::addCalls (const RouteName& route, double multiplier, unsigned depth, CallTotals& totals) const
{
    const auto found = m_merged.find (route);

    if (found == m_merged.end() || depth >= maxChainDepth)
        return;

    for (const auto& edge : found->second)
    {
        const auto calls = multiplier * edge.m_callsPermille / permille;
        totals.m_demand[edge.m_service] += calls;
        totals.m_calls[{ edge.m_service, edge.m_callee }] += calls;
        addCalls (edge.m_callee, calls, depth + 1, totals);
    }
}

} // namespace plankledge
