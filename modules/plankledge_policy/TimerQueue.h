#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Time.h"
#include <optional>
#include <set>
#include <tuple>

namespace plankledge
{

enum class TimerKind : std::uint8_t
{
    outgoingDeadline,
    inboundDeadline,
    inboundRunTimeout,
    inquiryTimeout,
    heartbeat,
    gossip,
    listPoll,
    logPoll,
    join,
    shedWindow,
    drain,
    housekeeping,
    checkpoint,
    instanceLookup,    /**< a request has waited too long for an instance, or the list may be read again */
    relayDeadline,     /**< deadline of a request at its entry node */
    relayQueueTimeout, /**< end of a request's wait for a target at its entry node */
    gateDeadline,      /**< deadline of a request in the gate */
    gateQueueTimeout,  /**< end of a request's wait in the gate */
    relayWindow,       /**< retries queued requests and detects unreachable peers */
    gateRateLimit,     /**< the gate may dispatch the next request */
    admissionPeriod,   /**< updates the admission level of the gate */
    peerHello,
    relayStop
};

//==============================================================================
/** Pending timers, ordered by due time. A timer has a kind and the id of its subject. */
class TimerQueue
{
public:
    //==============================================================================
    struct Timer
    {
        Time m_due;
        TimerKind m_kind = TimerKind::housekeeping;
        CallId m_subject = 0;

        auto operator<=> (const Timer&) const = default;
    };

    void set (Time due, TimerKind kind, CallId subject = 0) { m_timers.insert ({ due, kind, subject }); }
    void cancel (Time due, TimerKind kind, CallId subject) { m_timers.erase ({ due, kind, subject }); }

    /** Removes the next due timer; timers due at the same time are ordered by kind and subject. */
    std::optional<Timer> takeDue (Time now)
    {
        if (m_timers.empty() || m_timers.begin()->m_due > now)
            return std::nullopt;

        const auto timer = *m_timers.begin();
        m_timers.erase (m_timers.begin());
        return timer;
    }

    /** @returns the due time of the first timer; nullopt if there is none */
    std::optional<Time> next() const noexcept
    {
        return m_timers.empty() ? std::nullopt : std::optional<Time> (m_timers.begin()->m_due);
    }

private:
    //==============================================================================
    std::set<Timer> m_timers;
};

} // namespace plankledge
