#pragma once

#include "plankledge_core/PeerMessages.h"
#include "plankledge_policy/retries/RetryBudget.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plankledge
{

/** Who waits for a call: a caller node, or this node itself (link 0). */
struct Origin
{
    LinkId m_link = 0;
    InstanceName m_instance;
    CallId m_callId = 0;

    auto operator<=> (const Origin&) const = default;
};

namespace detail
{

/** A call that this node runs or may run at its own target, from its arrival to its answer. */
struct InboundCall
{
    enum class Stage : std::uint8_t
    {
        inquiring,
        queued,
        running
    };

    CallRequest m_request;
    std::vector<Origin> m_waiters; /**< the first one granted the retry budget */
    RetryBudget m_budget;
    Stage m_stage = Stage::queued;
    bool m_isRepeatable = true;
    std::string m_key;       /**< scoped by service and operation; empty where repeatable */
    Duration m_retention {}; /**< of its record */
    Time m_deadline;
    Time m_queuedAt;
    Time m_dispatchedAt;
    std::uint32_t m_children = 0;
    Duration m_childComeBack {};
    std::string m_requestId; /**< that the target repeats on the calls which it makes */
};

} // namespace detail

} // namespace plankledge
