#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plankledge
{

/** An event from a node's log. */
struct LoggedEvent
{
    std::string m_time; /**< UTC, sortable */
    std::string m_instance;
    std::string m_event;
    std::string m_request;                       /**< the request's id; empty if the event concerns none */
    std::map<std::string, std::string> m_fields; /**< remaining fields, by name */

    auto operator<=> (const LoggedEvent&) const = default;
};

/** The cause of a request's failure, as derived from the logs. */
struct FailureCause
{
    std::string m_what;    /**< the event and its reason, e.g. "gate-ended target-broken" */
    std::string m_where;   /**< a target, service or instance; empty: unknown */
    std::string m_request; /**< the request of the chain that failed first */
    LoggedEvent m_event;   /**< the event from which the cause was derived */

    auto operator<=> (const FailureCause&) const = default;
};

//==============================================================================
/**
    Merges the logs of several nodes to show the events of a request and the cause of its
    failure. The calls of a chain are found by request ids: a call's id is its parent's id, a dot
    and a suffix.

    @see docs/LOGS.md
*/
class LogExplainer
{
public:
    //==============================================================================
    /** Adds a log line. Text in front of its JSON object is skipped.

        @returns whether the line contained an event
    */
    bool add (std::string_view line);

    /** @returns the events of a request and of the calls made for it, in chronological order */
    std::vector<LoggedEvent> eventsOf (std::string_view request) const;

    /** @returns the cause of a request's failure: the event of the deepest failed request of its chain,
        preferring a gate's event to an entry's; nullopt if the logs contain no failure
    */
    std::optional<FailureCause> causeOf (std::string_view request) const;

    /** @returns the number of failed chains for each cause */
    std::map<std::string, std::size_t> failuresByCause() const;

    /** @returns an event as a human-readable line */
    static std::string describe (const LoggedEvent& event);

private:
    //==============================================================================
    std::map<std::string, std::vector<LoggedEvent>, std::less<>>
        m_chains; /**< keyed by the id of the chain's first request */
};

} // namespace plankledge
