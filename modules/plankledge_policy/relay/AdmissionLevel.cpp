#include "plankledge_policy/relay/AdmissionLevel.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** A mean wait above this is overload; at shallower queues slots would stand idle between requests. */
constexpr Duration longestGoodWait = Milliseconds (15);

/** A wait at which the level falls by a whole step in one window. */
constexpr Duration fullStepWait = Milliseconds (60);

constexpr double stepDown = 0.05;
constexpr double stepUp = 0.02;

/** Something is always admitted, to measure by. */
constexpr double lowestLevel = 0.05;

} // namespace

//==============================================================================
void AdmissionLevel::onWait (Duration wait) noexcept
{
    m_waits += wait;
    ++m_requests;
}

void AdmissionLevel::onWindowEnd (Duration oldestWait) noexcept
{
    const auto mean = m_requests > 0 ? m_waits / m_requests : Duration::zero();
    const auto wait = std::max (mean, oldestWait);
    m_waits = Duration::zero();
    m_requests = 0;

    if (wait <= longestGoodWait)
    {
        m_level = std::min (1.0, m_level + stepUp);
        return;
    }

    const auto depth = static_cast<double> (wait.count()) / static_cast<double> (fullStepWait.count());
    m_level = std::max (lowestLevel, m_level - stepDown * std::min (1.0, depth));
}

std::uint16_t AdmissionLevel::permille() const noexcept
{
    return static_cast<std::uint16_t> (m_level * 1000.0);
}

} // namespace plankledge
