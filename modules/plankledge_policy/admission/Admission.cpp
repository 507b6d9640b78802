#include "plankledge_policy/admission/Admission.h"

#include <algorithm>
#include <cassert>

namespace plankledge
{

namespace
{

constexpr std::uint32_t baselineQueueLength = 100000;
constexpr Duration minAcceptableQueueTime = Milliseconds (5);

/** The acceptable queueing time is the service time, divided by this for all classes but the most important:
    a queue of a quarter of the slots is enough to keep all of them busy. */
constexpr int acceptableQueueTimeDivisor = 4;

constexpr double utilisationWeight = 0.3;
constexpr int serviceTimeDivisor = 8; // weight of a new service time: 1/8

} // namespace

//==============================================================================
void Admission::configure (const ServiceDeclaration& declaration)
{
    m_limit.setSlots (declaration.m_slots);
    m_queueLength = m_isBaseline ? baselineQueueLength : declaration.m_queueLength;
}

bool Admission::passesThreshold (Rank rank)
{
    return m_isBaseline || m_threshold.admit (rank);
}

Admission::Decision Admission::offer (const AdmissionQueue::Entry& entry, Duration timeLeft)
{
    Decision decision;
    const bool mustWait = m_inUse >= m_limit.limit();
    const auto ahead = m_queue.countAhead (entry.m_rank, entry.m_isNested);

    if (! m_isBaseline && mustWait && expectedQueueTime (ahead) + m_serviceTime > timeLeft)
    {
        m_threshold.onCapacityRefusal (entry.m_rank);
        return { Reason::wouldMissDeadline, std::nullopt };
    }

    if (m_queue.size() >= m_queueLength && mustWait)
    {
        const auto evicted = m_isBaseline ? std::nullopt : m_queue.evictFor (entry.m_rank);
        m_threshold.onCapacityRefusal (evicted.has_value() ? evicted->m_rank : entry.m_rank);

        if (! evicted.has_value())
            return { Reason::queueFull, std::nullopt };

        decision.m_evicted = evicted->m_call;
    }

    // The baseline policy ignores rank: first in, first out.
    m_queue.push (m_isBaseline ? AdmissionQueue::Entry { entry.m_call, 0, false } : entry);
    return decision;
}

std::optional<CallId> Admission::takeNext()
{
    if (m_inUse >= m_limit.limit())
        return std::nullopt;

    const auto call = m_queue.pop();

    if (call.has_value())
        ++m_inUse;

    return call;
}

void Admission::onDispatched (Rank rank, Duration queueTime)
{
    auto& queueTimes = m_queueTimes[rank / cohortsPerClass];
    queueTimes.m_sum += queueTime;
    ++queueTimes.m_count;
}

void Admission::onSlotFreed (std::optional<Duration> serviceTime)
{
    assert (m_inUse > 0);
    --m_inUse;

    if (! serviceTime.has_value())
        return;

    m_limit.onTargetAnswered();
    m_slotTime += *serviceTime;
    m_serviceTime = m_serviceTime == Duration::zero()
                        ? *serviceTime
                        : m_serviceTime + (*serviceTime - m_serviceTime) / serviceTimeDivisor;
}

bool Admission::onWindowEnd()
{
    ShedThreshold::Load load;
    load.m_utilisation = updateUtilisation();
    load.m_capacity = static_cast<double> (m_limit.limit()) *
                      static_cast<double> (ShedThreshold::window.count()) /
                      static_cast<double> (std::max<Duration::rep> (1, m_serviceTime.count()));

    for (std::size_t index = 0; index < load.m_queueTimes.size(); ++index)
    {
        load.m_queueTimes[index] = averageQueueTime (index);
        load.m_acceptableQueueTimes[index] = acceptableQueueTime (index);
    }

    m_queueTimes.fill ({});
    return m_threshold.update (load);
}

Duration Admission::averageQueueTime (std::size_t priorityClass) const noexcept
{
    const auto& queueTimes = m_queueTimes[priorityClass];

    if (queueTimes.m_count > 0)
        return queueTimes.m_sum / queueTimes.m_count;

    // No call of the class was dispatched in this window: estimate the queueing time from the queue.
    const auto queued = m_queue.countOf (priorityClass);
    return queued > 0 ? expectedQueueTime (queued) : Duration::zero();
}

//==============================================================================
std::uint16_t Admission::loadPermille() const noexcept
{
    const auto busy = (m_inUse + m_queue.size()) * 1000;
    return static_cast<std::uint16_t> (std::min<std::size_t> (65535, busy / std::max (1U, m_limit.limit())));
}

Duration Admission::expectedQueueTime (std::size_t ahead) const noexcept
{
    return m_serviceTime * static_cast<Duration::rep> (ahead + 1) /
           static_cast<Duration::rep> (std::max (1U, m_limit.limit()));
}

Duration Admission::acceptableQueueTime (std::size_t priorityClass) const noexcept
{
    const auto divisor = priorityClass == 0 ? 1 : acceptableQueueTimeDivisor;
    return std::max (minAcceptableQueueTime, m_serviceTime / divisor);
}

double Admission::updateUtilisation() noexcept
{
    const auto slots = static_cast<double> (std::max (1U, m_limit.limit()));
    const auto used = static_cast<double> (m_slotTime.count()) /
                      (slots * static_cast<double> (ShedThreshold::window.count()));
    m_slotTime = {};
    m_utilisation += (used - m_utilisation) * utilisationWeight;
    return m_utilisation;
}

} // namespace plankledge
