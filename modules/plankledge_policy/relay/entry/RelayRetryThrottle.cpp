#include "plankledge_policy/relay/entry/RelayRetryThrottle.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace plankledge
{

namespace
{

/** Fraction of the limit that a node uses for requests without nested calls. The rest covers crashed nodes
    that have used their share, windows whose bounds cut an interval, and calls without a chain id. */
constexpr double budgetShare = 0.8;

/** The same for requests with nested calls: a retry repeats them at every downstream service, and the retries
   of several depths of a chain add up there. */
constexpr double budgetShareWithCalls = 0.5;

/** The same for requests without nested calls in windows that end later. Larger than budgetShare, since these
    windows only bound what may be spent early in an outage; the rest covers errors of the expected rate. */
constexpr double laterBudgetShare = 0.9;

/** The mean rate of requests of this many intervals (1 s with the usual window) is expected to continue. An
    outage changes the rate within the duration of a few calls, since chains that fail make no further ones.
 */
constexpr std::int64_t rateIntervals = 2;

/** Fraction of the slack that is used. */
constexpr double slackShare = 0.5;

/** The remaining retries may be used within this fraction of the window, since outages are often shorter than
   a window. */
constexpr double spendPeriodShare = 0.5;

/** Time constant of the decay of the wanted retry rates, in seconds. */
constexpr double wantedDecaySeconds = 1.0;

/** After this time without a wanted retry, in seconds, the averages hold less than a hundredth of what they
    held before and count as empty. */
constexpr double wantedResetSeconds = 5.0 * wantedDecaySeconds;

/** Shortest time of observation, in seconds, from which a rate is derived. */
constexpr double minObservedSeconds = 0.1;

double inSeconds (Duration duration) noexcept
{
    return static_cast<double> (duration.count()) / 1e6;
}

} // namespace

//==============================================================================
RelayRetryThrottle::RelayRetryThrottle (const RelaySettings& settings)
    : m_settings (settings)
    , m_intervalLength (std::max (Duration (1), settings.m_retryWindow / static_cast<int> (intervalCount)))
{
}

std::int64_t RelayRetryThrottle::intervalNumber (Time now) const noexcept
{
    return now.time_since_epoch() / m_intervalLength;
}

RelayRetryThrottle::WindowInterval& RelayRetryThrottle::currentInterval (const ServiceName& service, Time now)
{
    const auto number = intervalNumber (now);
    auto& interval = m_windows[service].m_intervals[static_cast<std::size_t> (number) % intervalCount];

    if (interval.m_number != number)
        interval = { number, 0.0, 0.0 };

    return interval;
}

RelayRetryThrottle::Totals RelayRetryThrottle::totalsOf (const ServiceWindow& window, Time now) const noexcept
{
    const auto oldest = intervalNumber (now) - static_cast<std::int64_t> (intervalCount) + 1;
    Totals totals;

    for (const auto& interval : window.m_intervals)
    {
        if (interval.m_number < oldest)
            continue;

        totals.m_requests += interval.m_requests;
        totals.m_spent += interval.m_spent;
    }

    return totals;
}

/** @returns the smallest number of retries that may still be sent in any window that ends within one window
    from now, if requests continue at their recent rate */
double RelayRetryThrottle::remainingInLaterWindows (const ServiceWindow& window, double ratio, double slack,
                                                    Time now) const noexcept
{
    constexpr auto count = static_cast<std::int64_t> (intervalCount);
    const auto current = intervalNumber (now);
    const auto intervalOf = [&] (std::int64_t number) {
        const auto& interval = window.m_intervals[static_cast<std::size_t> (number) % intervalCount];
        return interval.m_number == number ? interval : WindowInterval {};
    };

    double expectedRequests = 0.0; // per interval

    for (auto number = current - rateIntervals; number < current; ++number)
        expectedRequests += intervalOf (number).m_requests / static_cast<double> (rateIntervals);

    Totals totals;
    auto remaining = std::numeric_limits<double>::max();

    for (std::int64_t past = 0; past < count; ++past)
    {
        const auto interval = intervalOf (current - past);
        totals.m_requests += interval.m_requests;
        totals.m_spent += interval.m_spent;
        const auto laterRequests = static_cast<double> (count - 1 - past) * expectedRequests;
        remaining =
            std::min (remaining, (totals.m_requests + laterRequests) * ratio + slack - totals.m_spent);
    }

    return remaining;
}

void RelayRetryThrottle::onRequest (const ServiceName& service, Time now)
{
    currentInterval (service, now).m_requests += 1.0;
}

void RelayRetryThrottle::charge (const ServiceName& service, Time now)
{
    currentInterval (service, now).m_spent += 1.0;
}

//==============================================================================
bool RelayRetryThrottle::tryAcquire (const ServiceName& service, const std::map<ServiceName, double>& demand,
                                     double shedRank, Time now, bool isTolerantChain)
{
    auto& interval = currentInterval (service, now);
    auto& window = m_windows[service];
    const auto totals = totalsOf (window, now);

    if (totals.m_requests <= 0.0)
        return false;

    // A retry repeats its nested calls and counts as a retry at each downstream service as well.
    const auto cost = 1.0 + static_cast<double> (demand.size());
    const auto ratio = m_settings.m_retryRatio * (demand.empty() ? budgetShare : budgetShareWithCalls);
    const auto slack =
        m_settings.m_retrySlack * slackShare / static_cast<double> (std::max<std::size_t> (1, m_nodeCount));
    const auto remaining = totals.m_requests * ratio + slack - totals.m_spent;
    recordWanted (window, shedRank, cost, now);

    if (remaining < cost)
        return false;

    auto rate = remaining / (inSeconds (m_settings.m_retryWindow) * spendPeriodShare);

    if (isTolerantChain)
    {
        const auto laterRatio =
            m_settings.m_retryRatio * (demand.empty() ? laterBudgetShare : budgetShareWithCalls);

        if (remainingInLaterWindows (window, laterRatio, slack, now) < cost)
            return false;

        // Without this, the first second of an outage would look as if few retries were wanted, and chains
        // of all ranks would get them.
        rate *= observedShare (window, now);
    }

    if (shedRank >= cutoffRank (window, rate))
        return false;

    interval.m_spent += cost;
    return true;
}

void RelayRetryThrottle::recordWanted (ServiceWindow& window, double shedRank, double cost, Time now) noexcept
{
    const auto decay = std::exp (-inSeconds (now - window.m_wantedUpdatedAt) / wantedDecaySeconds);

    if (inSeconds (now - window.m_wantedUpdatedAt) > wantedResetSeconds)
        window.m_wantedSince = now;

    window.m_wantedUpdatedAt = now;

    for (auto& wantedRate : window.m_wantedRates)
        wantedRate *= decay;

    const auto bin = static_cast<std::size_t> (std::clamp (shedRank, 0.0, 1.0) * rankBinCount);
    window.m_wantedRates[std::min (bin, rankBinCount - 1)] += cost / wantedDecaySeconds;
}

/** @returns the share of the steady value that the averages have reached since retries began to be wanted */
double RelayRetryThrottle::observedShare (const ServiceWindow& window, Time now) noexcept
{
    const auto observed = std::max (inSeconds (now - window.m_wantedSince), minObservedSeconds);
    return 1.0 - std::exp (-observed / wantedDecaySeconds);
}

/** @returns the shed rank below which the wanted retries together stay within the rate */
double RelayRetryThrottle::cutoffRank (const ServiceWindow& window, double rate) noexcept
{
    double totalWanted = 0.0;

    for (std::size_t bin = 0; bin < rankBinCount; ++bin)
    {
        const auto wantedRate = window.m_wantedRates[bin];

        if (totalWanted + wantedRate > rate)
            return (static_cast<double> (bin) + (rate - totalWanted) / wantedRate) / rankBinCount;

        totalWanted += wantedRate;
    }

    return 1.0;
}

} // namespace plankledge
