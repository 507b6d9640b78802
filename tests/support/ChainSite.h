#pragma once

#include "support/RelayRig.h"

#include <functional>
#include <map>
#include <vector>

namespace plankledge::test
{

/** A kind of request that comes to the entry of a ChainSite. */
struct RequestKind
{
    RouteName m_route;
    double m_perSecond = 0.0;
    std::size_t m_branches = 0; /**< series of calls that each makes at the same time; 0: it makes none */
    std::size_t m_callsOfBranch = 0; /**< one after the other */
    std::size_t m_sent = 0;          /**< since the last reset */
    std::size_t m_served = 0;        /**< answered with success, of those */
    std::size_t m_failed = 0;        /**< neither served nor refused, of those */
    double share() const { return static_cast<double> (m_served) / static_cast<double> (m_sent); }
};

//==============================================================================
/**
    One node with a small target of "deep", one with a large target of "front" whose requests call "deep", and
   an entry at which requests of several kinds come in evenly.

    "lodge" is most urgent and makes two branches of four calls, "search" makes one, and "correct" goes
   straight to "deep" and needs 0.1 s of a slot there. "front" works for a time before it makes the first
   calls; of a lodge's 0.8 s the rest is left for these.
*/
class ChainSite : public RelayRig
{
public:
    //==============================================================================
    /** How long work takes at the targets. */
    struct Times
    {
        Duration m_front = Milliseconds (120); /**< before the first calls */
        Duration m_call = Milliseconds (30);   /**< that a call holds one of the 20 slots of "deep" */
    };

    /** The kinds are given by how many come in a second. */
    ChainSite (double lodges, double searches, double corrections, const Times& times);

    /** Lets requests come in for a time, and then those that run end. */
    void load (Duration duration);

    /** Counts anew what is sent from now on. */
    void resetCounts();

    const RequestKind& lodges() const { return m_kinds[0]; }
    const RequestKind& searches() const { return m_kinds[1]; }
    const RequestKind& corrections() const { return m_kinds[2]; }

private:
    //==============================================================================
    struct Branch
    {
        Ticket m_call = 0;
        std::size_t m_done = 0;
    };

    struct Chain
    {
        const RequestKind* m_kind = nullptr;
        RelayToTarget m_dispatch;
        Time m_callsAt;
        Time m_deadline;
        std::vector<Branch> m_branches;
    };

    struct Sent
    {
        Ticket m_ticket = 0;
        RequestKind* m_kind = nullptr;
        unsigned m_count = 0; /**< the count it belongs to */
    };

    void begin (const RelayToTarget& dispatch);
    void sendNext();
    void call (const Chain& chain, Branch& branch);
    bool goOn (Chain& chain);
    void count();

    const Times m_times;
    std::vector<RequestKind> m_kinds;
    std::vector<double> m_due;
    std::vector<Chain> m_chains;
    std::vector<Sent> m_sent;
    unsigned m_count = 0;
    unsigned m_nextId = 0;
};

} // namespace plankledge::test
