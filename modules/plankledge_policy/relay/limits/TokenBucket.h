#pragma once

#include "plankledge_core/Time.h"
#include "plankledge_policy/relay/access/Organisations.h"

namespace plankledge
{

//==============================================================================
/**
    Token bucket that limits the rate of requests.

    The bucket may enforce only a share of a limit, with other nodes enforcing the rest. The share may change
    from one request to the next.

    Units: tokens, one per request.
*/
class TokenBucket
{
public:
    //==============================================================================
    /** @param level   tokens at the start: requests that are allowed at once */
    TokenBucket (double level, Time now);

    /** Takes a token for a request, if there is one.

        @param share   share of the limit that this bucket enforces, in [0, 1]
        @returns zero if a token was taken, otherwise the time until there will be one
    */
    Duration take (const RequestLimit& limit, double share, Time now);

    /** @returns the time until the bucket has produced this many tokens for requests that wait */
    Duration timeUntil (double tokens, const RequestLimit& limit, double share, Time now) const;

    /** @returns the tokens at a time that is not before the last take() */
    double levelAt (const RequestLimit& limit, double share, Time now) const;

    double level() const noexcept { return m_level; }

private:
    //==============================================================================
    double m_level;
    Time m_updatedAt;
};

} // namespace plankledge
