#include "plankledge_policy/relay/gate/AdmissionLevel.h"

#include <algorithm>
#include <cmath>

namespace plankledge
{

namespace
{

/** The part of the capacity that is asked for: above it queues grow by chance alone. */
constexpr double wantedLoad = 0.97;

/** What waits is to be worked off in so many periods, beside what comes. */
constexpr double periodsToDrain = 2.0;

/** So much waiting work, as part of a period's capacity, is no sign of overload: a wait of 12 ms. With 90 ms
   (0.3) requests that go straight to the target, and may wait less than calls, were crowded out. */
constexpr double usualWaiting = 0.04;

/** Only part of each correction is made: what the level admits now is asked for one to two periods later,
   when the services above have done their part, and with 0.6 the level swung between 0.08 and 0.12 or 0.4
   and 1.0 under a constant load, so that a quarter of the slots stood empty. */
constexpr double damping = 0.35;

/** The largest steps of one period: down faster than up, since what is admitted too much is work lost above,
   and what is refused too much comes back. */
constexpr double largestStepDown = 0.75;
constexpr double largestStepUp = 1.2;

/** Where so many times more is asked for than can be done, larger steps are made: chains that are begun for
   nothing cost more than a swing. After a start of all under overload 82 of 285 chains failed below in three
   seconds, 157 without. */
constexpr double grossOverload = 2.0;
constexpr double grossDamping = 0.7;
constexpr double grossStepDown = 0.5;

/** Something is always admitted, to measure by. */
constexpr double lowestLevel = 0.05;

} // namespace

//==============================================================================
void AdmissionLevel::onPeriodEnd (const Load& load) noexcept
{
    if (load.m_capacity <= Duration::zero())
        return;

    const auto capacity = static_cast<double> (load.m_capacity.count());
    const auto excess = static_cast<double> (load.m_waiting.count()) - capacity * usualWaiting;
    const auto backlog = std::max (0.0, excess) / periodsToDrain;
    const auto wanted = std::max (capacity * wantedLoad - backlog, capacity * lowestLevel);
    const auto asked = std::max (1.0, static_cast<double> (load.m_asked.count()));
    const bool isGross = asked > wanted * grossOverload;
    const auto step = std::clamp (std::pow (wanted / asked, isGross ? grossDamping : damping),
                                  isGross ? grossStepDown : largestStepDown, largestStepUp);
    m_level = std::clamp (m_level * step, lowestLevel, 1.0);
}

std::uint16_t AdmissionLevel::permille() const noexcept
{
    return static_cast<std::uint16_t> (m_level * 1000.0);
}

} // namespace plankledge
