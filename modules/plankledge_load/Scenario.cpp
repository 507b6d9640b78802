#include "plankledge_load/Scenario.h"

#include "plankledge_core/Random.h"
#include <algorithm>
#include <boost/json.hpp>

namespace plankledge
{

namespace json = boost::json;

namespace
{

constexpr std::uint64_t jitterSteps = 1000;

double number (const json::object& object, const char* field, double defaultValue)
{
    const auto* value = object.if_contains (field);
    return value != nullptr ? value->to_number<double>() : defaultValue;
}

std::string text (const json::object& object, const char* field)
{
    const auto* value = object.if_contains (field);
    return value != nullptr ? std::string (value->as_string()) : std::string();
}

bool flag (const json::object& object, const char* field, bool defaultValue)
{
    const auto* value = object.if_contains (field);
    return value != nullptr ? value->as_bool() : defaultValue;
}

Milliseconds duration (const json::object& object, const char* field, double defaultValue)
{
    return Milliseconds (static_cast<std::int64_t> (number (object, field, defaultValue)));
}

CallerGroup readGroup (const json::object& object)
{
    CallerGroup group;
    group.m_name = text (object, "name");
    group.m_service = text (object, "service");
    group.m_operation = text (object, "operation");
    group.m_isImportant = flag (object, "important", false);
    group.m_hasKeys = flag (object, "keys", false);
    group.m_perSecond = number (object, "per_second", 0);
    group.m_timeout = duration (object, "timeout_ms", 3000);
    group.m_maxRetries = static_cast<std::uint32_t> (number (object, "resendings", 0));
    group.m_obeysRetryAfter = flag (object, "obeys_retry_after", true);

    for (const auto& entry : object.at ("visits").as_object())
        group.m_visits[std::string (entry.key())] = entry.value().to_number<double>();

    return group;
}

Scenario readScenario (const json::object& object)
{
    Scenario scenario;
    scenario.m_name = text (object, "name");
    scenario.m_seed = static_cast<std::uint64_t> (number (object, "seed", 1));
    scenario.m_duration = duration (object, "duration_ms", 0);

    for (const auto& group : object.at ("callers").as_array())
        scenario.m_groups.push_back (readGroup (group.as_object()));

    for (const auto& entry : object.at ("services").as_object())
        scenario.m_services[std::string (entry.key())] = {
            static_cast<std::uint32_t> (number (entry.value().as_object(), "slots", 0)),
            number (entry.value().as_object(), "service_ms", 0)
        };

    const auto& trigger = object.at ("trigger").as_object();
    scenario.m_trigger = { duration (trigger, "from_ms", 0), duration (trigger, "to_ms", 0),
                           number (trigger, "surge", 1), text (trigger, "slow_service"),
                           number (trigger, "slow_factor", 1) };
    return scenario;
}

} // namespace

//==============================================================================
absl::StatusOr<Scenario> parseScenario (const std::string& source)
{
    try
    {
        return readScenario (json::parse (source).as_object());
    }
    catch (const std::exception& error) // thrown by Boost.JSON's accessors
    {
        return absl::InvalidArgumentError (error.what());
    }
}

std::vector<Arrival> expandArrivals (const Scenario& scenario)
{
    std::vector<Arrival> arrivals;
    Random random (scenario.m_seed);

    for (std::size_t index = 0; index < scenario.m_groups.size(); ++index)
    {
        double at = 0.0;

        while (at < static_cast<double> (scenario.m_duration.count()))
        {
            const auto time = Milliseconds (static_cast<std::int64_t> (at));
            const bool isInTrigger = time >= scenario.m_trigger.m_from && time < scenario.m_trigger.m_to;
            const auto rate =
                scenario.m_groups[index].m_perSecond * (isInTrigger ? scenario.m_trigger.m_surge : 1.0);
            arrivals.push_back ({ time, index });

            // Evenly spaced, with a jitter of up to 50 % either way.
            const auto jitter = 0.5 + static_cast<double> (random.below (jitterSteps)) / jitterSteps;
            at += 1000.0 / rate * jitter;
        }
    }

    std::stable_sort (arrivals.begin(), arrivals.end(),
                      [] (const Arrival& left, const Arrival& right) { return left.m_at < right.m_at; });
    return arrivals;
}

} // namespace plankledge
