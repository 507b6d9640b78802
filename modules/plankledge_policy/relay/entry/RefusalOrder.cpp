#include "plankledge_policy/relay/entry/RefusalOrder.h"

namespace plankledge
{

namespace
{

/** What is kept of the counts with each new request: some 500 requests are remembered, 15 s at the 31 requests
    a second of a node. */
constexpr double keptWithEach = 0.998;

/** Before so many requests nothing is known of the mix. */
constexpr double fewestToTell = 50.0;

/** A priority that a smaller share of the requests has is hardly in use. */
constexpr double leastShareInUse = 0.01;

/** Of the part that a priority in use has, for one that is hardly in use: should its requests come, they are
    told apart by it until they are remembered. */
constexpr double partOfUnused = 0.1;

} // namespace

//==============================================================================
void RefusalOrder::onRequest (std::uint32_t priority)
{
    for (auto& [known, count] : m_seen)
        count *= keptWithEach;

    m_seen[priority] += 1.0;
    m_all = m_all * keptWithEach + 1.0;
}

double RefusalOrder::weightOf (std::uint32_t priority) const
{
    if (m_all < fewestToTell)
        return 1.0;

    const auto found = m_seen.find (priority);
    const auto count = found != m_seen.end() ? found->second : 0.0;
    return count >= leastShareInUse * m_all ? 1.0 : partOfUnused;
}

RefusalOrder::Part RefusalOrder::partOf (std::uint32_t priority, const RouteTable& routes) const
{
    double before = 0.0;
    double all = 0.0;

    for (const auto known : routes.priorities())
    {
        const auto weight = weightOf (known);
        before += known < priority ? weight : 0.0;
        all += weight;
    }

    if (all <= 0.0)
        return {};

    return { before / all, weightOf (priority) / all };
}

} // namespace plankledge
