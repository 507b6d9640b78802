#pragma once

#include "plankledge_core/Time.h"
#include "plankledge_policy/relay/access/Organisations.h"

namespace plankledge
{

//==============================================================================
/**
    Counts requests against a limit: a token bucket.

    It may keep only a share of the limit, where others keep the rest, and the share may
    change from one request to the next.

    Units: requests.
*/
class RequestMeter
{
public:
    //==============================================================================
    /** @param level   requests that are within the limit at once */
    RequestMeter (double level, Time now);

    /** Counts a request if it is within the limit.

        @param share   of the limit that is kept here, in [0, 1]
        @returns how long until a request is within it; zero: this one is, and was counted
    */
    Duration take (const RequestLimit& limit, double share, Time now);

    double level() const noexcept { return m_level; }

private:
    //==============================================================================
    double m_level;
    Time m_at;
};

} // namespace plankledge
