#include "plankledge_policy/admission/ShedThreshold.h"

#include <algorithm>

namespace plankledge
{

namespace
{

constexpr float observedWeight = 0.3F;
constexpr float unobservedWeight = 0.02F; // for ranks that callers refuse before they reach this node
constexpr double minHeadroom = 0.6;
constexpr double maxHeadroom = 8.0;
constexpr double headroomDecrease = 0.95;
constexpr double maxHeadroomIncrease = 1.15;
constexpr double fullUtilisation = 0.97;
constexpr unsigned cooldownWindowsAfterRefusal = 2;

/** @returns the first rank of the most important class whose queueing time is too long; admitAll if none */
Rank endOfAcceptableClasses (const ShedThreshold::Load& load) noexcept
{
    Rank end = 0;

    for (std::size_t index = 0; index < load.m_queueTimes.size(); ++index)
    {
        if (load.m_queueTimes[index] > load.m_acceptableQueueTimes[index])
            break;

        end = static_cast<Rank> (end + cohortsPerClass);
    }

    return end;
}

} // namespace

//==============================================================================
bool ShedThreshold::admit (Rank rank) noexcept
{
    ++m_offered[rank];
    return rank < m_threshold;
}

void ShedThreshold::onCapacityRefusal (Rank rank) noexcept
{
    const auto endOfClass = static_cast<Rank> ((rank / cohortsPerClass + 1) * cohortsPerClass);
    m_threshold = std::min (m_threshold, endOfClass);
    m_cooldownWindows = cooldownWindowsAfterRefusal;
}

bool ShedThreshold::update (const Load& load) noexcept
{
    const auto before = m_threshold;
    const auto acceptableEnd = endOfAcceptableClasses (load);
    updateOfferedAverages();

    if (acceptableEnd < admitAll)
        m_headroom = std::max (minHeadroom, std::min (m_headroom, 1.0) * headroomDecrease);
    else if (m_cooldownWindows == 0 && load.m_utilisation < fullUtilisation)
        m_headroom = std::min (
            maxHeadroom, m_headroom * std::min (maxHeadroomIncrease, fullUtilisation / load.m_utilisation));

    const auto byCapacity = rankForCapacity (load.m_capacity * m_headroom);

    if (acceptableEnd < admitAll)
        m_threshold = std::max (acceptableEnd, std::min (m_threshold, byCapacity));
    else if (m_cooldownWindows > 0)
        --m_cooldownWindows;
    else
        m_threshold = std::max (m_threshold, byCapacity);

    return m_threshold != before;
}

//==============================================================================
void ShedThreshold::updateOfferedAverages() noexcept
{
    for (Rank rank = 0; rank < admitAll; ++rank)
    {
        const auto offered = static_cast<float> (m_offered[rank]);
        const bool isUnobserved = rank >= m_threshold && offered < m_averageOffered[rank];
        m_averageOffered[rank] +=
            (offered - m_averageOffered[rank]) * (isUnobserved ? unobservedWeight : observedWeight);
    }

    m_offered.fill (0);
}

Rank ShedThreshold::rankForCapacity (double calls) const noexcept
{
    double sum = 0.0;

    for (Rank rank = 0; rank < admitAll; ++rank)
    {
        sum += m_averageOffered[rank];

        // Rank 0 is always admitted, so that there is always a call to measure.
        if (sum > calls)
            return std::max<Rank> (1, rank);
    }

    return admitAll;
}

} // namespace plankledge
