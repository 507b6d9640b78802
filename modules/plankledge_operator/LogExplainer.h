#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plankledge
{

/** A line of a node's log. */
struct LoggedEvent
{
    std::string m_time; /**< UTC, sortable */
    std::string m_instance;
    std::string m_event;
    std::string m_request;                       /**< empty: not about one */
    std::map<std::string, std::string> m_fields; /**< the others, by name */

    auto operator<=> (const LoggedEvent&) const = default;
};

/** What made a request fail, as far as the logs show it. */
struct FailureCause
{
    std::string m_what;    /**< the event and its reason, "gate-ended target-broken" */
    std::string m_where;   /**< a target, service or instance; empty: not known */
    std::string m_request; /**< the request of the chain in which it began */
    LoggedEvent m_event;   /**< that tells it */

    auto operator<=> (const FailureCause&) const = default;
};

//==============================================================================
/**
    Puts the logs of several nodes together and tells a request's life and the cause of its
    failure. Chains are followed by the ids of requests, where those show them.

    @see docs/LOGS.md
*/
class LogExplainer
{
public:
    //==============================================================================
    /** Takes in a line; what stands before its JSON object is passed over.

        @returns whether it held an event
    */
    bool add (std::string_view line);

    /** @returns what the logs tell of a request and the calls below it, in order of time */
    std::vector<LoggedEvent> eventsOf (std::string_view request) const;

    /** @returns where the failure of a request began: the deepest request of its chain that failed, and
        the gate's word rather than the entry's; nullopt where the logs show none
    */
    std::optional<FailureCause> causeOf (std::string_view request) const;

    /** @returns how many chains failed, by cause */
    std::map<std::string, std::size_t> failuresByCause() const;

    /** @returns an event as a line for people */
    static std::string describe (const LoggedEvent& event);

private:
    //==============================================================================
    std::map<std::string, std::vector<LoggedEvent>, std::less<>>
        m_chains; /**< by the id of the first request */
};

} // namespace plankledge
