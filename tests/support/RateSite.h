#pragma once

#include "support/RelayRig.h"

#include <map>
#include <optional>
#include <set>

namespace plankledge::test
{

//==============================================================================
/** A site of one service whose targets state their condition in their answers, with entry nodes of another
    service. Counts what reaches each target. */
class RateSite : public RelayRig
{
public:
    //==============================================================================
    static constexpr Duration work = Milliseconds (50); /**< service time */
    static constexpr Duration window = std::chrono::seconds (4);

    /** Path prefixes of the routes: both lead to the targets; "urgent" has the highest priority. */
    static constexpr std::string_view urgentPath = "/urgent/";
    static constexpr std::string_view lesserPath = "/lesser/";

    RateSite (unsigned targets, unsigned entries, std::uint32_t slots = 20);

    //==============================================================================
    /** Sets what a target states in its answers from now on. */
    void state (const InstanceName& target, const TargetCondition& condition);
    void stateRate (const InstanceName& target, double perSecond)
    {
        state (target, { perSecond, false, false });
    }
    void stateRateEverywhere (double perSecond);

    /** Makes a target reject all requests, in answers that state its condition. */
    void reject (const InstanceName& target) { m_rejecting.insert (target); }

    /** Restarts a node's process, then sends it the member list, the routes and its target's announcement. */
    void restart (const InstanceName& instance);

    /** Sends requests at a constant rate to random entry nodes, half of them urgent. */
    std::vector<Ticket> runUnderLoad (Duration duration, unsigned perSecond);

    /** Adds a service whose targets make one call to the service of targets() for each request, and from now
       on sends all load to it. */
    void addFrontService (unsigned targets);

    //==============================================================================
    /** @returns the most requests that reached the target in any window since a point in time */
    std::size_t maxArrivals (const InstanceName& target, Time since) const;

    std::size_t arrivals (const InstanceName& target, Time since, Time until) const;

    /** @returns how many of the requests were answered with a success; with a prefix, only of those with this
     * path prefix */
    std::size_t served (const std::vector<Ticket>& tickets, std::string_view pathPrefix = {}) const;

    std::size_t countAnswersWith (const std::vector<Ticket>& tickets, Reason reason) const;
    const std::vector<InstanceName>& targets() const noexcept { return m_targets; }
    const std::vector<InstanceName>& entries() const noexcept { return m_entries; }

private:
    //==============================================================================
    /** A request at a target of the front service that waits for the answer to its call. */
    struct PendingCall
    {
        InstanceName m_instance;
        CallId m_request = 0;
        Ticket m_call = 0;
    };

    void onDispatch (const InstanceName& instance, const RelayToTarget& dispatch);
    void finishCalls();

    std::vector<InstanceName> m_targets;
    std::vector<InstanceName> m_entries;
    std::map<InstanceName, TargetCondition> m_conditions;
    std::set<InstanceName> m_rejecting;
    std::map<Ticket, std::string_view> m_paths;
    std::vector<PendingCall> m_pendingCalls;
    bool m_hasFrontService = false;
    Random m_random { 11 };
    std::uint64_t m_sent = 0;
};

/** @returns the most requests that the service's rules allow in a window for a stated rate */
double allowedInWindow (double perSecond) noexcept;

} // namespace plankledge::test
