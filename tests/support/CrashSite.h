#pragma once

#include "support/RelayRig.h"

#include <map>
#include <set>

namespace plankledge::test
{

//==============================================================================
/**
    A site of one service whose targets can crash: what runs there breaks off, connections are
    refused for some seconds, and another target takes the place.
*/
class CrashSite : public RelayRig
{
public:
    //==============================================================================
    /** A request under this path crashes each target that runs it. */
    static constexpr std::string_view deadly = "/read/deadly";

    static constexpr Duration work = Milliseconds (90);        /**< of a usual request */
    static constexpr Duration workToCrash = Milliseconds (80); /**< that a deadly one does before */
    static constexpr Duration downTime = std::chrono::seconds (3);

    /** @param targets   nodes with a target of the service, over three zones
        @param entries   nodes with a target of another service, where requests come in as well */
    CrashSite (unsigned targets, unsigned entries, std::uint32_t slots = 84);

    /** The node's target ends now. */
    void crash (const InstanceName& instance);

    /** From now on targets break off one of so many requests, and live. */
    void loseAnswers (unsigned oneOf) { m_lostOneOf = oneOf; }

    /** From now on targets that start announce themselves so much later. */
    void announceLate (Duration late) { m_announcedLate = late; }

    /** From now on deadly requests are as others. */
    void mend() { m_isDeadly = false; }

    /** From now on senders ask once more, at any node, where no target's answer came. */
    void repeatOnce() { m_repeats = true; }

    /** Starts a node's process again; it knows nothing. */
    void restart (const InstanceName& instance);

    /** Sends a request of the given path to any node. */
    Ticket sendAnywhere (const std::string& path);

    /** Sends requests that differ from each other, so many a second, while the time passes.

        @returns their tickets
    */
    std::vector<Ticket> runUnderLoad (Duration duration, unsigned perSecond,
                                      const std::function<void()>& eachTenth = {});

    /** @returns the part of these requests that ended with the target's answer */
    double servedShare (const std::vector<Ticket>& tickets) const;

    /** @returns when the request of this path was begun by a target, each time */
    std::vector<Time> runsOfPath (std::string_view path) const;

    /** @returns how many ended with this reason, of all answers */
    std::size_t answeredWith (Reason reason) const;

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
        Time m_backAt;
        bool m_isAnnounced = true;
    };

    void repeatFailed();
    void onDispatch (const InstanceName& instance, const RelayToTarget& dispatch);
    void step();

    std::vector<InstanceName> m_targets;
    std::vector<InstanceName> m_nodes;
    std::map<InstanceName, Target> m_state;
    std::multimap<Time, std::pair<InstanceName, CallId>> m_ends; /**< of requests that run */
    std::multimap<Time, InstanceName> m_crashesDue;
    std::vector<Time> m_crashes;
    Random m_random { 7 };
    std::uint64_t m_sent = 0;
    Duration m_announcedLate {};
    unsigned m_lostOneOf = 0;
    bool m_isDeadly = true;
    bool m_repeats = false;
    std::map<Ticket, std::string> m_repeatable; /**< first sendings and their paths */
};

} // namespace plankledge::test
