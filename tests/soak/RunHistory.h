#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plankledge::soak
{

//==============================================================================
/** A client's request and its result. */
struct SentRequest
{
    InstanceName m_node;        /**< the node that it was sent to */
    unsigned m_incarnation = 0; /**< incarnation of the node's process */
    bool m_isRepeatable = true;
    bool m_isHighPriority = false;

    /** The first configuration version with a route for the path; 0: all versions have one. */
    std::uint64_t m_probedVersion = 0;

    Time m_sentAt;
    Duration m_timeout {};
    std::optional<Time> m_endedAt;
    int m_status = 0;            /**< 0: ended without a response */
    bool m_isBodyCorrect = true; /**< false if the body of a 200 response differs from makeBody() */
};

/** The time in which a fault or a planned operation may affect requests. */
struct FaultWindow
{
    std::string m_kind;
    InstanceName m_node; /**< empty: all nodes are affected */
    bool m_isPlanned = false;
    Time m_from;
    Time m_until;
};

//==============================================================================
/**
    Records what clients, targets and operators observe during a run, and checks the guarantees against it.

    Only uses observations from outside the nodes' processes.
*/
class RunHistory
{
public:
    //==============================================================================
    void onSent (const std::string& id, const SentRequest& request) { m_requests[id] = request; }
    void onEnded (const std::string& id, int status, bool isBodyCorrect, Time now);
    void onCallSent (const std::string& service, Time now) { m_callsByService[service].push_back (now); }

    /** Records the arrival of a request at a target.

        @param ran   whether the target started to run it, rather than refuse it
    */
    void onArrival (const std::string& id, const std::string& service, const std::string& target, bool ran,
                    Time now);

    /** Records that a node acknowledged the announcement that a target is draining. */
    void onDrainAcknowledged (const std::string& target, Time now)
    {
        m_drainAcknowledgedAt.emplace (target, now);
    }

    void onPublished (std::uint64_t version, Time now) { m_publishedAt[version] = now; }
    void onFault (const FaultWindow& window) { m_faultWindows.push_back (window); }

    /** @returns a line for each violation of a guarantee, limited to a few of each kind */
    std::vector<std::string> violations() const;

    /** @returns the numbers of requests, faults and retries, and of responses by status */
    std::string summary() const;

private:
    //==============================================================================
    struct Arrivals
    {
        unsigned m_count = 0;
        unsigned m_runs = 0;
    };

    struct LateArrival
    {
        std::string m_id;
        std::string m_target;
        Time m_at;
    };

    using Lines = std::vector<std::string>;

    void checkAtMostOnce (Lines& lines) const;
    void checkRefusals (Lines& lines) const;
    void checkAnswers (Lines& lines) const;
    void checkDraining (Lines& lines) const;
    void checkPlannedStops (Lines& lines) const;
    void checkConfiguration (Lines& lines) const;
    void checkTimeouts (Lines& lines) const;
    void checkRetries (Lines& lines) const;
    void checkPriorityOrder (Lines& lines) const;
    void checkRecovery (Lines& lines) const;

    /** @returns whether no fault affected a node in a time span, bounds included

        @param node             empty: faults of any node count
        @param includePlanned   whether planned operations count as faults
    */
    bool isFaultFree (const InstanceName& node, Time from, Time until, bool includePlanned) const;

    std::map<std::string, SentRequest> m_requests;
    std::map<std::string, Arrivals> m_arrivals; /**< by request */

    /** Send times of client requests and nested calls, by service. */
    std::map<std::string, std::vector<Time>> m_callsByService;

    /** Arrivals after the first of each request, by service. */
    std::map<std::string, std::vector<Time>> m_retryArrivals;

    std::map<std::string, Time> m_drainAcknowledgedAt;
    std::vector<LateArrival> m_lateArrivals;
    std::map<std::uint64_t, Time> m_publishedAt;
    std::vector<FaultWindow> m_faultWindows;
};

} // namespace plankledge::soak
