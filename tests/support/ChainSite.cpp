#include "support/ChainSite.h"

#include <algorithm>

namespace plankledge::test
{

namespace
{

constexpr Duration step = Milliseconds (5);
constexpr Duration lodgeTimeout = Milliseconds (800);
constexpr Duration callTimeout = Milliseconds (700);
constexpr Duration correctionTime = Milliseconds (100);
constexpr Duration frontOverhead = Milliseconds (1); /**< service time of "front" after its nested calls */
constexpr std::uint16_t failed = 500;

Route routeOf (const RouteName& name, const ServiceName& service, std::uint32_t priority, Duration timeout,
               Duration objective)
{
    auto route = makeRoute (name, service, name == "search" || name == "call");
    route.m_priority = priority;
    route.m_timeout = timeout;
    route.m_latencyObjective = objective;
    return route;
}

bool isSuccess (const RelayResult& result)
{
    return result.m_outcome == Outcome::completed && result.m_answer.m_status < failed;
}

} // namespace

//==============================================================================
ChainSite::ChainSite (double lodges, double searches, double corrections, const Times& times)
    : m_times (times)
    , m_kinds { { "lodge", lodges, 2, 4 }, { "search", searches, 1, 4 }, { "correct", corrections, 0, 0 } }
    , m_requestsDue (m_kinds.size(), 0.0)
{
    using std::chrono::seconds;
    add ("entry", "web");
    add ("front", "front", "zone-a", 1000);
    add ("deep", "deep", "zone-a", 20);
    publish (makeTable (1, { routeOf ("lodge", "front", 0, lodgeTimeout, Milliseconds (1500)),
                             routeOf ("search", "front", 2, seconds (5), Milliseconds (1200)),
                             routeOf ("correct", "deep", 2, seconds (1), Milliseconds (250)),
                             routeOf ("call", "deep", 2, callTimeout, Milliseconds (300)) }));
    run (Milliseconds (100));

    setTarget ("front", [this] (RelayRig&, const InstanceName&, const RelayToTarget& dispatch) {
        startChain (dispatch);
    });
    setTarget ("deep", [callTime = times.m_call] (RelayRig& rig, const InstanceName& instance,
                                                  const RelayToTarget& dispatch) {
        const bool isCall = dispatch.m_content.m_path.starts_with ("/call/");
        rig.reply (instance, dispatch.m_call, TargetReplyKind::answered, isCall ? callTime : correctionTime);
    });
}

void ChainSite::load (Duration duration)
{
    for (const auto end = now() + duration; now() < end;)
    {
        sendNext();
        run (step);
        std::erase_if (m_chains, [this] (Chain& chain) { return ! advanceChain (chain); });
    }

    while (! m_chains.empty())
    {
        run (step);
        std::erase_if (m_chains, [this] (Chain& chain) { return ! advanceChain (chain); });
    }

    run (std::chrono::seconds (1));
    countResults();
}

void ChainSite::resetCounts()
{
    ++m_measurement;

    for (auto& kind : m_kinds)
        kind.m_sent = kind.m_served = kind.m_failed = 0;
}

void ChainSite::sendNext()
{
    for (std::size_t index = 0; index < m_kinds.size(); ++index)
    {
        auto& kind = m_kinds[index];
        m_requestsDue[index] += kind.m_perSecond * std::chrono::duration<double> (step).count();

        for (; m_requestsDue[index] >= 1.0; m_requestsDue[index] -= 1.0)
        {
            const auto ticket = send ("entry", "r" + std::to_string (++m_nextId), "/" + kind.m_route + "/x");
            m_sent.push_back ({ ticket, &kind, m_measurement });
            ++kind.m_sent;
        }
    }
}

void ChainSite::countResults()
{
    for (const auto& sent : m_sent)
    {
        if (sent.m_measurement != m_measurement)
            continue;

        const auto& result = answers().at (sent.m_ticket).m_result;
        sent.m_kind->m_served += isSuccess (result) ? 1 : 0;
        sent.m_kind->m_failed += ! isSuccess (result) && result.m_outcome != Outcome::notRun ? 1 : 0;
    }
}

//==============================================================================
void ChainSite::startChain (const RelayToTarget& dispatch)
{
    const auto isOfRoute = [&] (const RequestKind& kind) {
        return dispatch.m_content.m_path.starts_with ("/" + kind.m_route + "/");
    };
    const auto& kind = *std::find_if (m_kinds.begin(), m_kinds.end(), isOfRoute);
    m_chains.push_back ({ &kind, dispatch, now() + m_times.m_front, now() + dispatch.m_timeLeft,
                          std::vector<Branch> (kind.m_branches) });
}

void ChainSite::call (const Chain& chain, Branch& branch)
{
    const auto id = chain.m_dispatch.m_content.m_id + ".c" + std::to_string (++m_nextId);
    branch.m_call = send ("front", id, "/call/x", chain.m_deadline - now());
}

/** @returns whether the request is still running */
bool ChainSite::advanceChain (Chain& chain)
{
    if (now() < chain.m_firstCallAt)
        return true;

    std::size_t completedBranches = 0;

    for (auto& branch : chain.m_branches)
    {
        if (branch.m_call == 0)
            call (chain, branch);

        const auto answer = answers().find (branch.m_call);

        if (branch.m_completedCalls < chain.m_kind->m_callsPerBranch && answer != answers().end())
        {
            if (! isSuccess (answer->second.m_result))
            {
                reply ("front", chain.m_dispatch.m_call, TargetReplyKind::answered, frontOverhead, failed);
                return false;
            }

            if (++branch.m_completedCalls < chain.m_kind->m_callsPerBranch)
                call (chain, branch);
        }

        completedBranches += branch.m_completedCalls == chain.m_kind->m_callsPerBranch ? 1 : 0;
    }

    if (completedBranches == chain.m_branches.size())
        reply ("front", chain.m_dispatch.m_call, TargetReplyKind::answered, frontOverhead);

    return completedBranches < chain.m_branches.size() && now() < chain.m_deadline;
}

} // namespace plankledge::test
