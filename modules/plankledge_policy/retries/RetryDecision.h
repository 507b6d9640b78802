#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/retries/RetryBudget.h"
#include "plankledge_policy/retries/RetryThrottle.h"
#include <map>

namespace plankledge
{

/** What was done for one request besides its first sending. */
struct RetryHistory
{
    std::uint32_t m_redirects = 0; /**< to another instance, since one never took it */
    std::uint32_t m_retries = 0;
};

/** The request that may be sent again. */
struct RetrySubject
{
    const ServiceName& m_service;
    bool m_isRepeatable = false;
    Time m_deadline;
    RetryBudget* m_budget = nullptr; /**< nullptr: its parent has ended */
};

//==============================================================================
/**
    Decides whether a call that was refused or lost goes to another instance.

    An instance that never took the call costs no retry, but only a few are tried.
    Otherwise the work must be repeatable or have run nowhere, and time, the chain's
    budget and the service's throttle must allow it.
*/
class RetryDecision
{
public:
    //==============================================================================
    /** A request to the service came in: it earns part of a retry. */
    void onCall (const ServiceName& service) { m_throttles[service].onCall(); }

    /** @returns whether the request goes to another instance; counts why, or why not, and takes what that
     * costs */
    bool mayGoAgain (Turn& turn, const RetrySubject& subject, const CallResult& result,
                     RetryHistory& history);

private:
    //==============================================================================
    bool mayRetry (Turn& turn, const RetrySubject& subject, const RetryHistory& history);

    std::map<ServiceName, RetryThrottle> m_throttles;
};

} // namespace plankledge
