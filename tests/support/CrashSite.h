#pragma once

#include "support/RelayRig.h"

#include <map>
#include <set>

namespace plankledge::test
{

//==============================================================================
/**
    A site of one service whose targets can crash: running requests are aborted, connections
    are refused for downTime, and then another target replaces the crashed one.
*/
class CrashSite : public RelayRig
{
public:
    //==============================================================================
    /** Requests with this path prefix crash each target that runs them. */
    static constexpr std::string_view crashingPathPrefix = "/read/deadly";

    static constexpr Duration work = Milliseconds (90);        /**< service time of other requests */
    static constexpr Duration timeToCrash = Milliseconds (80); /**< from a dispatch to the crash */
    static constexpr Duration downTime = std::chrono::seconds (3);

    /** @param targets   number of nodes with a target of the service, spread over three zones
        @param entries   number of nodes with a target of another service, which receive requests too
        @param slots     concurrency of each target */
    CrashSite (unsigned targets, unsigned entries, std::uint32_t slots = 84);

    /** Crashes the node's target, unless it is down. */
    void crash (const InstanceName& instance);

    /** Makes targets break the connection of a random one in oneOf requests, without crashing. */
    void loseOneAnswerIn (unsigned oneOf) { m_lossOneIn = oneOf; }

    /** Delays the first announcement of targets that start. */
    void setAnnouncementDelay (Duration delay) { m_announcementDelay = delay; }

    /** Makes requests with the crashing path run like others. */
    void disableCrashes() { m_isCrashingEnabled = false; }

    /** Makes callers retry each failed request once, at a random node. */
    void enableCallerRetry() { m_areCallersRetrying = true; }

    /** Restarts a node's process, then sends it the member list, the routes and its target's announcement. */
    void restart (const InstanceName& instance);

    /** Sends a request with the given path to a random node. */
    Ticket sendToRandomNode (const std::string& path);

    /** Sends requests with distinct paths to random nodes at a constant rate.

        @param onEach100Ms   called every 0.1 s
        @returns             the requests' tickets
    */
    std::vector<Ticket> runUnderLoad (Duration duration, unsigned perSecond,
                                      const std::function<void()>& onEach100Ms = {});

    /** @returns the fraction of these requests that completed */
    double servedShare (const std::vector<Ticket>& tickets) const;

    /** @returns the times of all dispatches with this path */
    std::vector<Time> runsOfPath (std::string_view path) const;

    /** @returns the number of answers with this reason */
    std::size_t countAnswersWith (Reason reason) const;

    const std::vector<InstanceName>& targets() const noexcept { return m_targets; }
    const std::vector<InstanceName>& nodes() const noexcept { return m_nodes; }
    const std::vector<Time>& crashes() const noexcept { return m_crashes; }
    Random& random() noexcept { return m_random; }

private:
    //==============================================================================
    struct Target
    {
        bool m_isUp = true;
        std::set<CallId> m_running;
        Time m_restartsAt;
        bool m_isAnnounced = true;
    };

    void retryFailed();
    void onDispatch (const InstanceName& instance, const RelayToTarget& dispatch);
    void step();

    std::vector<InstanceName> m_targets;
    std::vector<InstanceName> m_nodes;
    std::map<InstanceName, Target> m_state;
    std::multimap<Time, std::pair<InstanceName, CallId>> m_completionsDue; /**< of running requests */
    std::multimap<Time, InstanceName> m_crashesDue;
    std::vector<Time> m_crashes;
    Random m_random { 7 };
    std::uint64_t m_sent = 0;
    Duration m_announcementDelay {};
    unsigned m_lossOneIn = 0;
    bool m_isCrashingEnabled = true;
    bool m_areCallersRetrying = false;
    std::map<Ticket, std::string> m_firstAttempts; /**< their paths; filled if callers retry */
};

} // namespace plankledge::test
