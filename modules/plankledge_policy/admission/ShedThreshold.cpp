#include "plankledge_policy/admission/ShedThreshold.h"

#include <algorithm>

namespace plankledge
{

namespace
{

constexpr float weightOfNew = 0.3F;
constexpr float weightOfUnseen = 0.02F; // ranks above the threshold: others refuse them before they come here
constexpr double lowestHeadroom = 0.6;
constexpr double highestHeadroom = 8.0;
constexpr double headroomDown = 0.95;
constexpr double largestHeadroomUp = 1.15;
constexpr double fullUtilisation = 0.97;
constexpr unsigned windowsHeldAfterRefusal = 2;

/** @returns the end of the most important classes that don't wait too long, in ranks */
Rank endOfUnhurtClasses (const ShedThreshold::Load& load) noexcept
{
    Rank end = 0;

    for (std::size_t index = 0; index < load.m_waits.size(); ++index)
    {
        if (load.m_waits[index] > load.m_targetWaits[index])
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
    m_holdWindows = windowsHeldAfterRefusal;
}

bool ShedThreshold::update (const Load& load) noexcept
{
    const auto before = m_threshold;
    const auto unhurt = endOfUnhurtClasses (load);
    learnOffered();

    if (unhurt < admitAll)
        m_headroom = std::max (lowestHeadroom, std::min (m_headroom, 1.0) * headroomDown);
    else if (m_holdWindows == 0 && load.m_utilisation < fullUtilisation)
        m_headroom = std::min (
            highestHeadroom, m_headroom * std::min (largestHeadroomUp, fullUtilisation / load.m_utilisation));

    const auto fitting = place (load.m_capacity * m_headroom);

    if (unhurt < admitAll)
        m_threshold = std::max (unhurt, std::min (m_threshold, fitting));
    else if (m_holdWindows > 0)
        --m_holdWindows;
    else
        m_threshold = std::max (m_threshold, fitting);

    return m_threshold != before;
}

//==============================================================================
void ShedThreshold::learnOffered() noexcept
{
    for (Rank rank = 0; rank < admitAll; ++rank)
    {
        const auto offered = static_cast<float> (m_offered[rank]);
        const bool isUnseen = rank >= m_threshold && offered < m_usual[rank];
        m_usual[rank] += (offered - m_usual[rank]) * (isUnseen ? weightOfUnseen : weightOfNew);
    }

    m_offered.fill (0);
}

Rank ShedThreshold::place (double calls) const noexcept
{
    double sum = 0.0;

    for (Rank rank = 0; rank < admitAll; ++rank)
    {
        sum += m_usual[rank];

        // Rank 0 stays admitted, so that there is always something to measure by.
        if (sum > calls)
            return std::max<Rank> (1, rank);
    }

    return admitAll;
}

} // namespace plankledge
