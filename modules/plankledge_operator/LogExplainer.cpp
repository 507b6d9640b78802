#include "plankledge_operator/LogExplainer.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <tuple>

namespace plankledge
{

namespace json = boost::json;

namespace
{

constexpr std::string_view serverErrorPrefix = "5"; // first digit of HTTP 5xx status codes

std::string_view rootOf (std::string_view request)
{
    return request.substr (0, request.find ('.'));
}

bool isSameOrNested (std::string_view request, std::string_view parent)
{
    return request == parent || (request.starts_with (parent) && request[parent.size()] == '.');
}

std::string fieldOf (const LoggedEvent& event, const std::string& name)
{
    const auto found = event.m_fields.find (name);
    return found == event.m_fields.end() ? std::string() : found->second;
}

bool isFailure (const LoggedEvent& event)
{
    if (event.m_event == "request-answered")
        return fieldOf (event, "status").starts_with (serverErrorPrefix);

    return event.m_event == "gate-ended" || event.m_event == "gate-refused" ||
           event.m_event == "request-refused" || event.m_event == "request-given-up";
}

/** Ranks events by how specific they are about the cause: a gate observes its target's failure,
    an entry only a missing answer. */
int specificityOf (const LoggedEvent& event)
{
    if (event.m_event == "gate-ended")
        return 3;

    if (event.m_event == "gate-refused" || event.m_event == "request-refused")
        return 2;

    return event.m_event == "request-given-up" ? 1 : 0;
}

/** Sort key of failures: the greatest is the closest to the cause. */
std::tuple<std::ptrdiff_t, int> causeRankOf (const LoggedEvent& event)
{
    return { std::count (event.m_request.begin(), event.m_request.end(), '.'), specificityOf (event) };
}

std::string locationOf (const LoggedEvent& event)
{
    for (const auto* name : { "target", "service", "tried" })
        if (auto value = fieldOf (event, name); ! value.empty())
            return value;

    return event.m_instance;
}

std::string reasonOf (const LoggedEvent& event)
{
    const auto reason = fieldOf (event, "reason");
    return reason.empty() ? "status " + fieldOf (event, "status") : reason;
}

/** @returns whether the request was answered successfully, possibly by a retry */
bool isAnsweredSuccessfully (const std::vector<LoggedEvent>& events, std::string_view request)
{
    return std::any_of (events.begin(), events.end(), [&] (const LoggedEvent& event) {
        return event.m_request == request && event.m_event == "request-answered" && ! isFailure (event);
    });
}

} // namespace

//==============================================================================
bool LogExplainer::add (std::string_view line)
{
    const auto start = line.find ('{');

    if (start == std::string_view::npos)
        return false;

    boost::system::error_code error;
    const auto text = line.substr (start);
    const auto document = json::parse ({ text.data(), text.size() }, error);
    const auto* object = error ? nullptr : document.if_object();

    if (object == nullptr || ! object->contains ("event"))
        return false;

    LoggedEvent event;

    for (const auto& [key, value] : *object)
    {
        if (! value.is_string())
            continue;

        const std::string name (key);
        std::string content (value.as_string());

        if (name == "time")
            event.m_time = std::move (content);
        else if (name == "instance")
            event.m_instance = std::move (content);
        else if (name == "event")
            event.m_event = std::move (content);
        else if (name == "request")
            event.m_request = std::move (content);
        else if (name != "severity")
            event.m_fields[name] = std::move (content);
    }

    if (! event.m_request.empty())
        m_chains[std::string (rootOf (event.m_request))].push_back (std::move (event));

    return true;
}

std::vector<LoggedEvent> LogExplainer::eventsOf (std::string_view request) const
{
    std::vector<LoggedEvent> events;
    const auto chain = m_chains.find (rootOf (request));

    if (chain == m_chains.end())
        return events;

    for (const auto& event : chain->second)
        if (isSameOrNested (event.m_request, request))
            events.push_back (event);

    std::stable_sort (events.begin(), events.end(), [] (const LoggedEvent& one, const LoggedEvent& other) {
        return one.m_time < other.m_time;
    });
    return events;
}

std::optional<FailureCause> LogExplainer::causeOf (std::string_view request) const
{
    const auto events = eventsOf (request);
    const LoggedEvent* best = nullptr;

    for (const auto& event : events)
    {
        if (! isFailure (event) || isAnsweredSuccessfully (events, event.m_request))
            continue;

        // Of several equal failures the last one counts, since the earlier ones were retried.
        if (best == nullptr || causeRankOf (event) >= causeRankOf (*best))
            best = &event;
    }

    if (best == nullptr)
        return std::nullopt;

    return FailureCause { fmt::format ("{} {}", best->m_event, reasonOf (*best)), locationOf (*best),
                          best->m_request, *best };
}

std::map<std::string, std::size_t> LogExplainer::failuresByCause() const
{
    std::map<std::string, std::size_t> result;

    for (const auto& [root, events] : m_chains)
        if (const auto cause = causeOf (root); cause.has_value())
            ++result[fmt::format ("{} at {}", cause->m_what, cause->m_where)];

    return result;
}

std::string LogExplainer::describe (const LoggedEvent& event)
{
    auto line =
        fmt::format ("{}  {}  {}  {}", event.m_time, event.m_instance, event.m_request, event.m_event);

    for (const auto& [name, value] : event.m_fields)
        line += fmt::format (" {}={}", name, value);

    return line;
}

} // namespace plankledge
