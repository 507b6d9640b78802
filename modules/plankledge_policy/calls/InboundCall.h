#pragma once

#include "plankledge_core/PeerMessages.h"
#include "plankledge_policy/retries/RetryBudget.h"

#include <cstdint>
#include <string>
#include <vector>

namespace plankledge
{

/** The origin of a call that waits for its result: a peer node, or this node itself (link 0). */
struct Origin
{
    LinkId m_link = 0;
    InstanceName m_instance;
    CallId m_callId = 0;

    auto operator<=> (const Origin&) const = default;
};

namespace detail
{

/** A call to the local target that has no result yet. */
struct InboundCall
{
    enum class Stage : std::uint8_t
    {
        inquiring,
        queued,
        running
    };

    CallRequest m_request;
    std::vector<Origin> m_origins; /**< unused retries are returned to the first one, which granted them */
    RetryBudget m_budget;
    Stage m_stage = Stage::queued;
    bool m_isRepeatable = true;
    std::string m_key;       /**< idempotency key, see scopedKey; empty if repeatable */
    Duration m_retention {}; /**< of the idempotency record */
    Time m_deadline;
    Time m_queuedAt;
    Time m_dispatchedAt;
    std::uint32_t m_children = 0; /**< nested calls that the target made while it served this one */
    Duration m_maxChildRetryAfter {};
    std::string m_requestId; /**< sent to the target, which copies it to its nested calls */
};

} // namespace detail

} // namespace plankledge
