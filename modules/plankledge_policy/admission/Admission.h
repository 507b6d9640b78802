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
    Decides which calls wait for and get a slot of the own target.

    A call is refused at once where its rank is above the threshold, where it
    could not be answered within its time, or where the queue is full of calls that
    matter as much. Never holds a call back that has no chance.
*/
class Admission
{
public:
    //==============================================================================
    /** What happens to an offered call, and to one that it displaces. */
    struct Decision
    {
        Reason m_refusal = Reason::none;
        std::optional<CallId> m_evicted;
    };

    /** @param isBaseline   no shedding: a long queue, first in, first out */
    explicit Admission (bool isBaseline)
        : m_isBaseline (isBaseline)
    {
    }

    void configure (const ServiceDeclaration& declaration);

    /** @returns whether a call of this rank is admitted at all now; counts it as offered */
    bool passesThreshold (Rank rank);

    /** Queues a call or refuses it.

        @param timeLeft   until its caller gives up
    */
    Decision offer (const AdmissionQueue::Entry& entry, Duration timeLeft);

    /** Takes the next call while a slot is free. */
    std::optional<CallId> takeNext();

    void onDispatched (Rank rank, Duration waited);

    /** A slot is free again.

        @param serviceTime   how long the target took; nullopt where it gave no answer
    */
    void onSlotFreed (std::optional<Duration> serviceTime);

    void onTargetShed() { m_limit.onTargetShed(); }

    void remove (CallId call) { m_queue.remove (call); }

    /** Takes a queued call that would be refused if it came now; nullopt where there is none left. */
    std::optional<CallId> takeRefused()
    {
        return m_isBaseline ? std::nullopt : m_queue.takeRefused (m_threshold.threshold());
    }

    /** Ends a window of measurement.

        @returns whether the threshold changed
    */
    bool onWindowEnd();

    //==============================================================================
    Rank threshold() const noexcept { return m_isBaseline ? admitAll : m_threshold.threshold(); }
    std::uint32_t limit() const noexcept { return m_limit.limit(); }
    std::uint32_t inUse() const noexcept { return m_inUse; }
    std::size_t queued() const noexcept { return m_queue.size(); }
    Duration serviceTime() const noexcept { return m_serviceTime; }

    /** @returns calls in flight and queued against the limit, in thousandths */
    std::uint16_t loadPermille() const noexcept;

private:
    //==============================================================================
    /** Waits for a slot, of the calls that got one. */
    struct Waits
    {
        Duration m_sum {};
        std::uint32_t m_count = 0;
    };

    Duration averageWait (std::size_t priorityClass) const noexcept;
    Duration expectedWait (std::size_t ahead) const noexcept;
    Duration targetWait (std::size_t priorityClass) const noexcept;
    double learnUtilisation() noexcept;

    bool m_isBaseline;
    ConcurrencyLimit m_limit;
    ShedThreshold m_threshold;
    AdmissionQueue m_queue;
    std::uint32_t m_queueLength = 0;
    std::uint32_t m_inUse = 0;
    Duration m_serviceTime {};                     /**< moving average; 0 until the first answer */
    std::array<Waits, priorityClassCount> m_waits; /**< of this window, by class */
    Duration m_slotTime {};                        /**< that ended in this window */
    double m_utilisation = 0.0;                    /**< moving average */
};

} // namespace plankledge
