#pragma once

#include "plankledge_core/RelayMessages.h"
#include "plankledge_policy/relay/limits/TokenBucket.h"

#include <optional>

namespace plankledge
{

//==============================================================================
/**
    The rate limit that the local target states in its answers, over the requests of all nodes.

    Answers on different connections may arrive in another order than they were written. A lower
    limit therefore takes effect at once. A higher one, or none, takes effect only if the answered
    request was dispatched after the present limit was last stated, since the answer was then
    written later. A limit that can't be read leaves the present one in force.

    @see TargetGate, TokenBucket
*/
class TargetRateLimit
{
public:
    //==============================================================================
    /** Applies what an answer of the target states.

        @param dispatchedAt   when the answered request was sent to the target
        @returns              whether the limit in force has changed
    */
    bool onAnswer (const TargetCondition& condition, Time dispatchedAt, Time now);

    /** Adopts a limit that was stated to an earlier process of this node. Ignored once the target has
        answered this process, which then knows better.

        @returns whether the limit in force has changed
    */
    bool adopt (double perSecond, Time now);

    /** Takes a token for a request that is about to be dispatched.

        @returns zero if a token was taken or there is no limit, otherwise the time until there is a token
    */
    Duration take (Time now);

    /** @returns how long a request waits for a token behind a number of queued ones; zero without a limit */
    Duration waitBehind (std::size_t queued, Time now) const;

    /** @returns the number of requests that may be dispatched within a period that starts now; nullopt
       without a limit */
    std::optional<double> sustainable (Duration period, Time now) const;

    /** @returns the stated limit in requests per second; nullopt without a limit */
    std::optional<double> perSecond() const noexcept;

    /** @returns the time since the limit in force was first stated */
    Duration age (Time now) const noexcept { return now - m_since; }

    /** @returns the state of the limit for peers, less the tokens for queued requests */
    std::optional<GateRate> rate (std::size_t queued, Time now) const;

    /** @returns whether this process has an answer of the target, without which a limit may be unknown to it
     */
    bool isKnown() const noexcept { return m_isKnown; }

    /** @returns how many answers in a row stated a limit that can't be read */
    unsigned malformedInARow() const noexcept { return m_malformedInARow; }

private:
    //==============================================================================
    void set (double perSecond, double initialTokens, Time now);

    std::optional<double> m_stated;
    RequestLimit m_enforced;
    TokenBucket m_bucket { 0.0, Time() };
    Time m_since;
    Time m_lastStatedAt;
    bool m_isKnown = false;
    unsigned m_malformedInARow = 0;
};

} // namespace plankledge
