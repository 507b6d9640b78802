#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/retries/RetryBudget.h"
#include "plankledge_policy/retries/RetryThrottle.h"
#include <map>

namespace plankledge
{

/** Attempts made for one request after the first one. */
struct RetryHistory
{
    std::uint32_t m_redirects = 0; /**< attempts at another instance after one did not accept the request */
    std::uint32_t m_retries = 0;
};

/** The request that may be sent again. */
struct RetrySubject
{
    const ServiceName& m_service;
    bool m_isRepeatable = false;
    Time m_deadline;
    RetryBudget* m_budget = nullptr; /**< nullptr if the parent call has ended */
};

//==============================================================================
/**
    Decides whether a call that was refused or lost is sent to another instance.

    If an instance did not accept the call, the next attempt is a redirect, which does not count as a retry
    but is limited in number. Otherwise the operation must be repeatable or must not have run, and the
    deadline, the budget of the call chain and the throttle of the service must allow a retry.
*/
class RetryDecision
{
public:
    //==============================================================================
    /** Called for each request to the service. Adds to the tokens of its throttle. */
    void onCall (const ServiceName& service) { m_throttles[service].onCall(); }

    /** Decides on another attempt. Counts the decision by its reason, and takes the retry from the budget and
        the throttle.

        @returns whether the request is sent to another instance
    */
    bool admitRetry (Turn& turn, const RetrySubject& subject, const CallResult& result,
                     RetryHistory& history);

private:
    //==============================================================================
    bool takeRetry (Turn& turn, const RetrySubject& subject, const RetryHistory& history);

    std::map<ServiceName, RetryThrottle> m_throttles;
};

} // namespace plankledge
