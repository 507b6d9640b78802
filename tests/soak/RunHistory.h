#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Time.h"

#include "plankledge_runtime/Http.h"

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

/** Headers of a target's answers, which nodes pass on. */
constexpr std::string_view targetIdHeader = "Soak-Target";
constexpr std::string_view rateLimitHeader = "Server-Limit";
constexpr std::string_view leavingHeader = "Server-Leaving";
constexpr std::string_view loadHeader = "Server-Load";

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
    /** Checks of shares need this many requests. */
    static constexpr std::size_t minRequestsOfClass = 200;

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

    /** Records that a target states a rate limit in its answers for a time, in place of an earlier one. */
    void onRateStated (const std::string& target, double perSecond, Time from, Time until);

    /** Records that a node has passed on an answer, which may state that its target is limited or leaving. */
    void onAnswerPassed (const InstanceName& node, const HttpResponse& response, Time now);

    void onPublished (std::uint64_t version, Time now) { m_publishedAt[version] = now; }
    void onFault (const FaultWindow& window) { m_faultWindows.push_back (window); }

    /** Records that the process of the soak test itself, and with it all clients, targets and proxies, has
       stood still. That is a fault, although no schedule contains it. */
    void onStandstill (Time from, Time until);

    /** Records that requests were sent together on one connection. */
    void onSentAhead (std::size_t count) { m_sentAhead += count; }

    /** Records a request that was sent behind one that closes its connection, so that it must not arrive. */
    void onSentBehindClose (const std::string& id) { m_sentBehindClose.push_back (id); }

    /** Records that the answers on one connection were not those that its requests must get. */
    void onPipeliningError (std::string what) { m_pipeliningErrors.push_back (std::move (what)); }

    /** @returns how many requests have arrived at a target from a time on */
    std::size_t arrivalsAt (const std::string& target, Time since) const;

    /** @returns the time from which all requests must be served: some time after the last fault */
    Time calmSince() const;

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

    struct TargetArrival
    {
        std::string m_id;
        InstanceName m_origin; /**< node at which the request began */
        Time m_at;
    };

    struct StatedRate
    {
        std::string m_target;
        double m_perSecond = 0.0;
        Time m_from;
        Time m_until;
    };

    /** When a node first passed on an answer of a target that states something. */
    using PassedAt = std::map<std::pair<InstanceName, std::string>, Time>;

    using Lines = std::vector<std::string>;

    InstanceName originOf (const std::string& id) const;
    bool wasTold (const PassedAt& passed, const std::string& target, const TargetArrival& arrival,
                  Duration delay) const;
    void checkStatedRates (Lines& lines) const;
    void checkStatedLeaving (Lines& lines) const;

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
    void checkPipelining (Lines& lines) const;

    double sinceFirstRequest (Time time) const;

    /** @returns the standstills, in seconds after the first request; empty if there were none */
    std::string describeStandstills() const;

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

    std::map<std::string, std::vector<TargetArrival>> m_arrivalsByTarget;
    std::vector<StatedRate> m_statedRates;
    PassedAt m_ratePassedAt;
    PassedAt m_leavingPassedAt;

    std::map<std::string, Time> m_drainAcknowledgedAt;
    std::vector<LateArrival> m_lateArrivals;
    std::map<std::uint64_t, Time> m_publishedAt;
    std::vector<FaultWindow> m_faultWindows;
    std::vector<std::pair<Time, Time>> m_standstills;
    std::vector<std::string> m_sentBehindClose;
    std::vector<std::string> m_pipeliningErrors;
    std::size_t m_sentAhead = 0;
};

} // namespace plankledge::soak
