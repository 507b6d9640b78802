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

    /** What one period was like; all in slot time, since requests of different routes take a slot for times
        that differ by a factor of ten and more. */
    struct Load
    {
        Duration m_asked {};    /**< by the requests that came, refused ones included */
        Duration m_waiting {};  /**< by the requests that wait now */
        Duration m_capacity {}; /**< of all slots in a period; 0: not known */
    };

    void onPeriodEnd (const Load& load) noexcept;

    /** @returns the level in thousandths */
    std::uint16_t permille() const noexcept;

private:
    //==============================================================================
    double m_level = 1.0;
};

} // namespace plankledge
