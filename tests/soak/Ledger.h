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
/** A request of a client, from its sending to its end. */
struct SentRequest
{
    InstanceName m_node; /**< that it was sent to */
    unsigned m_life = 0; /**< of the node's process */
    bool m_isRepeatable = true;
    bool m_isUrgent = false;
    std::uint64_t m_probedVersion = 0; /**< of the routes that have its path; 0: all have it */
    Time m_sentAt;
    Duration m_timeout {};
    std::optional<Time> m_endedAt;
    int m_status = 0;      /**< 0: ended without an answer */
    bool m_isWhole = true; /**< a success had the body that belongs to the request */
};

/** A time in which something was harmed, planned or not. */
struct Trouble
{
    std::string m_what;
    InstanceName m_node; /**< empty: it concerns all */
    bool m_isPlanned = false;
    Time m_from;
    Time m_until;
};

//==============================================================================
/**
    What callers, targets and operators saw in a run, and what the promises say of it.

    Only what was seen from outside the processes is judged.
*/
class Ledger
{
public:
    //==============================================================================
    void onSent (const std::string& id, const SentRequest& request) { m_requests[id] = request; }
    void onEnded (const std::string& id, int status, bool isWhole, Time now);
    void onCallSent (const std::string& service, Time now) { m_sentTo[service].push_back (now); }

    /** A request arrived at a target; `ran`: the target began to work on it. */
    void onArrival (const std::string& id, const std::string& service, const std::string& target, bool ran,
                    Time now);

    /** A node acknowledged that a target leaves. */
    void onLeavingAcknowledged (const std::string& target, Time now) { m_leavingAt.emplace (target, now); }

    void onPublished (std::uint64_t version, Time now) { m_publishedAt[version] = now; }
    void onTrouble (const Trouble& trouble) { m_troubles.push_back (trouble); }

    /** @returns a line for each broken promise */
    std::vector<std::string> violations() const;

    /** @returns what happened, in numbers */
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
    void checkLeaving (Lines& lines) const;
    void checkPlannedStops (Lines& lines) const;
    void checkConfiguration (Lines& lines) const;
    void checkTimeouts (Lines& lines) const;
    void checkRetries (Lines& lines) const;
    void checkOrder (Lines& lines) const;
    void checkRecovery (Lines& lines) const;

    /** @returns whether nothing unplanned touched the node, or anything that concerns all, in a span */
    bool isCalm (const InstanceName& node, Time from, Time until, bool countPlanned) const;

    std::map<std::string, SentRequest> m_requests;
    std::map<std::string, Arrivals> m_arrivals;                /**< by request */
    std::map<std::string, std::vector<Time>> m_sentTo;         /**< requests for a service */
    std::map<std::string, std::vector<Time>> m_repeatArrivals; /**< beyond the first of each request */
    std::map<std::string, Time> m_leavingAt;
    std::vector<LateArrival> m_lateArrivals;
    std::map<std::uint64_t, Time> m_publishedAt;
    std::vector<Trouble> m_troubles;
};

} // namespace plankledge::soak
