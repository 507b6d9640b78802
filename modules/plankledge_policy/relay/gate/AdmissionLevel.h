#pragma once

#include "plankledge_core/Time.h"

#include <cstdint>

namespace plankledge
{

//==============================================================================
/**
    How much of the order of refusal a gate admits, from its most important end: 1 is all.

    At the end of each period the level is multiplied by what the slots can do over what
    was asked of them, less what waits already. A period is about as long as a change takes
    to show here: what the entries refuse is missed only after the services above have done
    their part, so a faster loop would swing.
*/
class AdmissionLevel
{
public:
    //==============================================================================
    /** Between two looks at the load. */
    static constexpr Duration period = Milliseconds (300);

    /** What one period was like. */
    struct Load
    {
        std::uint64_t m_asked = 0; /**< requests that came, refused ones included */
        std::size_t m_waiting = 0; /**< requests that wait now */
        double m_capacity = 0.0;   /**< requests that the slots can do in a period; 0: not known */
    };

    void onPeriodEnd (const Load& load) noexcept;

    /** @returns the level in thousandths */
    std::uint16_t permille() const noexcept;

private:
    //==============================================================================
    double m_level = 1.0;
};

} // namespace plankledge
