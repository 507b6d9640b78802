#pragma once

#include "support/RelayRig.h"

#include <functional>
#include <map>
#include <vector>

namespace plankledge::test
{

/** A kind of request that is sent to the entry node of a ChainSite, and its counters. */
struct RequestKind
{
    RouteName m_route;
    double m_perSecond = 0.0;
    std::size_t m_branches = 0;       /**< concurrent series of nested calls */
    std::size_t m_callsPerBranch = 0; /**< made sequentially */
    std::size_t m_sent = 0;           /**< since resetCounts() */
    std::size_t m_served = 0;         /**< of those, completed with a status below 500 */
    std::size_t m_failed = 0;         /**< of those, neither served nor refused */
    double share() const { return static_cast<double> (m_served) / static_cast<double> (m_sent); }
};

//==============================================================================
/**
    A site with an entry node, a target of "front" and a target of "deep" with few slots. Requests of three
    kinds arrive at the entry at constant rates.

    "lodge" has the highest priority and makes two concurrent series of four calls to "deep"; "search" makes
    one. "correct" is routed to "deep" and occupies a slot there for 0.1 s. "front" works before it makes
    the first calls; a lodge times out after 0.8 s.
*/
class ChainSite : public RelayRig
{
public:
    //==============================================================================
    /** Service times of the targets. */
    struct Times
    {
        Duration m_front = Milliseconds (120); /**< before the first nested calls */
        Duration m_call = Milliseconds (30);   /**< of a nested call at "deep" */
    };

    /** @param lodges        requests per second
        @param searches      requests per second
        @param corrections   requests per second
        @param times         service times of the targets */
    ChainSite (double lodges, double searches, double corrections, const Times& times);

    /** Sends requests for a time, then waits until all have ended. */
    void load (Duration duration);

    /** Resets the counters; requests that were sent before are not counted any more. */
    void resetCounts();

    const RequestKind& lodges() const { return m_kinds[0]; }
    const RequestKind& searches() const { return m_kinds[1]; }
    const RequestKind& corrections() const { return m_kinds[2]; }

private:
    //==============================================================================
    struct Branch
    {
        Ticket m_call = 0;
        std::size_t m_completedCalls = 0;
    };

    struct Chain
    {
        const RequestKind* m_kind = nullptr;
        RelayToTarget m_dispatch;
        Time m_firstCallAt;
        Time m_deadline;
        std::vector<Branch> m_branches;
    };

    struct Sent
    {
        Ticket m_ticket = 0;
        RequestKind* m_kind = nullptr;
        unsigned m_measurement = 0; /**< number of the measurement that counts it */
    };

    void startChain (const RelayToTarget& dispatch);
    void sendNext();
    void call (const Chain& chain, Branch& branch);
    bool advanceChain (Chain& chain);
    void countResults();

    const Times m_times;
    std::vector<RequestKind> m_kinds;
    std::vector<double> m_requestsDue;
    std::vector<Chain> m_chains;
    std::vector<Sent> m_sent;
    unsigned m_measurement = 0;
    unsigned m_nextId = 0;
};

} // namespace plankledge::test
