#pragma once

#include "plankledge_core/PeerMessages.h"
#include "plankledge_policy/admission/AdmissionQueue.h"
#include "plankledge_policy/admission/ConcurrencyLimit.h"
#include "plankledge_policy/admission/ShedThreshold.h"
#include <optional>

namespace plankledge
{

//==============================================================================
/**
    Admission control for the slots of this node's target.

    A call is refused at once if its rank is not below the threshold, if it could not
    be answered before its deadline, or if the queue is full of calls that are at least
    as important. Calls that cannot meet their deadline are never queued.
*/
class Admission
{
public:
    //==============================================================================
    /** Result of offering a call. m_evicted is the queued call that it displaced, if any. */
    struct Decision
    {
        Reason m_refusal = Reason::none;
        std::optional<CallId> m_evicted;
    };

    /** @param isBaseline   disables load shedding: a long first-in-first-out queue */
    explicit Admission (bool isBaseline)
        : m_isBaseline (isBaseline)
    {
    }

    void configure (const ServiceDeclaration& declaration);

    /** Counts an offered call.

        @returns whether the threshold admits calls of this rank
    */
    bool passesThreshold (Rank rank);

    /** Queues a call or refuses it.

        @param timeLeft   time until the call's deadline
    */
    Decision offer (const AdmissionQueue::Entry& entry, Duration timeLeft);

    /** Removes the next call from the queue and occupies a slot.

        @returns nullopt if no slot is free or no call is queued
    */
    std::optional<CallId> takeNext();

    void onDispatched (Rank rank, Duration queueTime);

    /** Releases a slot.

        @param serviceTime   time until the target's answer; nullopt if there was none
    */
    void onSlotFreed (std::optional<Duration> serviceTime);

    void onTargetShed() { m_limit.onTargetShed(); }

    void remove (CallId call) { m_queue.remove (call); }

    /** Removes a queued call that the current threshold refuses; nullopt if there is none. */
    std::optional<CallId> takeRefused()
    {
        return m_isBaseline ? std::nullopt : m_queue.takeRefused (m_threshold.threshold());
    }

    /** Ends a measurement window.

        @returns whether the threshold changed
    */
    bool onWindowEnd();

    //==============================================================================
    Rank threshold() const noexcept { return m_isBaseline ? admitAll : m_threshold.threshold(); }
    std::uint32_t limit() const noexcept { return m_limit.limit(); }
    std::uint32_t inUse() const noexcept { return m_inUse; }
    std::size_t queued() const noexcept { return m_queue.size(); }
    Duration serviceTime() const noexcept { return m_serviceTime; }

    /** @returns calls in flight and queued relative to the concurrency limit, in permille */
    std::uint16_t loadPermille() const noexcept;

private:
    //==============================================================================
    /** Queueing times of the calls that were dispatched. */
    struct QueueTimes
    {
        Duration m_sum {};
        std::uint32_t m_count = 0;
    };

    Duration averageQueueTime (std::size_t priorityClass) const noexcept;
    Duration expectedQueueTime (std::size_t ahead) const noexcept;
    Duration acceptableQueueTime (std::size_t priorityClass) const noexcept;
    double updateUtilisation() noexcept;

    bool m_isBaseline;
    ConcurrencyLimit m_limit;
    ShedThreshold m_threshold;
    AdmissionQueue m_queue;
    std::uint32_t m_queueLength = 0;
    std::uint32_t m_inUse = 0;
    Duration m_serviceTime {};                               /**< moving average; 0 before the first answer */
    std::array<QueueTimes, priorityClassCount> m_queueTimes; /**< in this window, by class */
    Duration m_slotTime {};     /**< service time of the calls that ended in this window */
    double m_utilisation = 0.0; /**< moving average */
};

} // namespace plankledge
