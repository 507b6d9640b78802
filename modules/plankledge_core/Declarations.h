#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Time.h"
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace plankledge
{

/** Version of the declarations, counted from 1; 0 means that none is in force. */
using ConfigurationVersion = std::uint64_t;

//==============================================================================
/** Priority class of a request, in descending order: lower classes are shed first. */
enum class PriorityClass : std::uint8_t
{
    critical,
    high,
    normal,
    low
};

inline constexpr unsigned priorityClassCount = 4;

/** @returns the name used in declarations, e.g. "critical" */
std::string_view nameOf (PriorityClass priority) noexcept;

//==============================================================================
/** Declaration of one operation of a service. */
struct OperationDeclaration
{
    PriorityClass m_class = PriorityClass::normal;
    bool m_isRepeatable = true;
    Milliseconds m_maxWait { 2000 };       /**< upper bound of a call's timeout */
    std::uint32_t m_retryBudget = 2;       /**< retries allowed over the whole call chain */
    Milliseconds m_recordWindow { 60000 }; /**< how long the outcome of a non-repeatable request is kept */

    auto operator<=> (const OperationDeclaration&) const = default;
};

//==============================================================================
/** Declaration of one service: its targets' capacity and its operations. */
struct ServiceDeclaration
{
    std::uint32_t m_slots = 100;       /**< requests that one target runs concurrently */
    std::uint32_t m_queueLength = 200; /**< requests that may be queued for one target */
    std::map<OperationName, OperationDeclaration> m_operations;

    auto operator<=> (const ServiceDeclaration&) const = default;

    /** @returns the operation's declaration, else the one named "*", else nullptr */
    const OperationDeclaration* find (const OperationName& operation) const noexcept;
};

//==============================================================================
/** All declarations of one version. They take effect together. */
struct Declarations
{
    std::map<ServiceName, ServiceDeclaration> m_services;

    auto operator<=> (const Declarations&) const = default;

    /** @returns the service's declaration or nullptr */
    const ServiceDeclaration* find (const ServiceName& service) const noexcept;
};

} // namespace plankledge
