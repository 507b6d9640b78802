#pragma once

#include "plankledge_core/Time.h"

#include <cstdint>

namespace plankledge
{

//==============================================================================
/**
    How much of the order of refusal a gate admits, from its most important end: 1 is all.

    A feedback on how long requests wait for a slot. It falls by an amount that grows with
    the wait and rises slowly while nothing waits; its steps are small since what the
    entries refuse shows here only after the services above have done their part.
*/
class AdmissionLevel
{
public:
    //==============================================================================
    /** How long one window of measurement lasts. */
    static constexpr Duration window = Milliseconds (100);

    /** A request was given a slot after this wait, or was refused after it. */
    void onWait (Duration wait) noexcept;

    /** Ends a window.

        @param oldestWait   of what waits still
    */
    void onWindowEnd (Duration oldestWait) noexcept;

    /** @returns the level in thousandths */
    std::uint16_t permille() const noexcept;

private:
    //==============================================================================
    double m_level = 1.0;
    Duration m_waits {};
    std::int64_t m_requests = 0;
};

} // namespace plankledge
