#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Time.h"
#include <absl/status/statusor.h>
#include <map>
#include <string>
#include <vector>

namespace plankledge
{

/** Callers of one operation. */
struct CallerGroup
{
    std::string m_name;
    ServiceName m_service;
    OperationName m_operation;
    bool m_isImportant = false;
    bool m_hasKeys = false;
    double m_perSecond = 0.0;
    Milliseconds m_timeout { 3000 };        /**< of one attempt */
    std::uint32_t m_maxRetries = 0;         /**< per request */
    bool m_obeysRetryAfter = true;          /**< otherwise retries follow almost immediately */
    std::map<ServiceName, double> m_visits; /**< runs per request, by service */
};

/** Capacity of a service's targets. */
struct ServiceCapacity
{
    std::uint32_t m_slots = 0; /**< over all targets */
    double m_serviceMs = 0.0;
};

/** A temporary overload: a surge of requests, a slow service, or both. */
struct Trigger
{
    Milliseconds m_from { 0 };
    Milliseconds m_to { 0 };
    double m_surge = 1.0;      /**< factor of the request rate */
    ServiceName m_slowService; /**< empty: none */
    double m_slowFactor = 1.0; /**< factor of its service time */
};

/** A load scenario: callers, capacities and a temporary overload. */
struct Scenario
{
    std::string m_name;
    std::uint64_t m_seed = 1;
    Milliseconds m_duration { 0 };
    std::vector<CallerGroup> m_groups;
    std::map<ServiceName, ServiceCapacity> m_services;
    Trigger m_trigger;
};

/** A request, with the scheduled time of its first attempt. */
struct Arrival
{
    Milliseconds m_at { 0 };
    std::size_t m_group = 0;
};

//==============================================================================
/** Parses a scenario from JSON; see tests/traces for examples. */
absl::StatusOr<Scenario> parseScenario (const std::string& text);

/** Generates the arrivals of a scenario, in chronological order; deterministic for a given seed. */
std::vector<Arrival> expandArrivals (const Scenario& scenario);

} // namespace plankledge
