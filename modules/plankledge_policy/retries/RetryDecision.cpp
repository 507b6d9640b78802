#include "plankledge_policy/retries/RetryDecision.h"

namespace plankledge
{

namespace
{

constexpr std::uint32_t maxRedirects = 3;
constexpr std::uint32_t baselineRetriesPerHop = 2;

/** @returns whether the instance did not accept the call, so that another attempt is no retry */
bool isRedirect (const CallResult& result) noexcept
{
    if (result.m_outcome != Outcome::notRun)
        return false;

    switch (result.m_reason)
    {
    case Reason::draining:
    case Reason::joining:
    case Reason::notCandidate:
    case Reason::noConfiguration:
    case Reason::peerUnreachable:
    case Reason::targetRefusedConnection:
        return true;
    default:
        return false;
    }
}

/** @returns whether an attempt at another instance would be pointless */
bool isFinal (const CallResult& result) noexcept
{
    return result.m_isFinal || ! isTransient (result.m_reason);
}

} // namespace

//==============================================================================
bool RetryDecision::admitRetry (Turn& turn, const RetrySubject& subject, const CallResult& result,
                                RetryHistory& history)
{
    const auto deny = [&turn] (RetryDenied reason) {
        ++turn.counters().m_retriesDenied[reason];
        return false;
    };

    if (turn.now() >= subject.m_deadline)
        return deny (RetryDenied::noTime);

    if (result.m_outcome == Outcome::unknown && ! subject.m_isRepeatable)
        return deny (RetryDenied::notRepeatable);

    if (isRedirect (result))
    {
        if (history.m_redirects >= maxRedirects)
            return deny (RetryDenied::final);

        ++history.m_redirects;
        ++turn.counters().m_redirects;
        return true;
    }

    if (! turn.isBaseline() && isFinal (result))
        return deny (RetryDenied::final);

    if (! takeRetry (turn, subject, history))
        return false;

    ++history.m_retries;
    ++turn.counters()
          .m_retries[result.m_outcome == Outcome::notRun ? RetryReason::notRun : RetryReason::connectionLost];
    return true;
}

bool RetryDecision::takeRetry (Turn& turn, const RetrySubject& subject, const RetryHistory& history)
{
    if (turn.isBaseline())
        return history.m_retries < baselineRetriesPerHop;

    if (subject.m_budget == nullptr || subject.m_budget->remaining() == 0)
    {
        ++turn.counters().m_retriesDenied[RetryDenied::budgetSpent];
        return false;
    }

    if (! m_throttles[subject.m_service].allow())
    {
        ++turn.counters().m_retriesDenied[RetryDenied::throttled];
        return false;
    }

    return subject.m_budget->spend();
}

} // namespace plankledge
