#include "plankledge_policy/relay/entry/RelayRetryThrottle.h"

#include <algorithm>
#include <cmath>

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

/** Fraction of the slack that is used. */
constexpr double slackShare = 0.5;

/** The remaining retries may be used within this fraction of the window, since outages are often shorter than
   a window. */
constexpr double spendPeriodShare = 0.5;

/** Time constant of the decay of the wanted retry rates, in seconds. */
constexpr double wantedDecaySeconds = 1.0;

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
                                     double shedRank, Time now)
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

    const auto rate = remaining / (inSeconds (m_settings.m_retryWindow) * spendPeriodShare);

    if (shedRank >= cutoffRank (window, rate))
        return false;

    interval.m_spent += cost;
    return true;
}

void RelayRetryThrottle::recordWanted (ServiceWindow& window, double shedRank, double cost, Time now) noexcept
{
    const auto decay = std::exp (-inSeconds (now - window.m_wantedUpdatedAt) / wantedDecaySeconds);
    window.m_wantedUpdatedAt = now;

    for (auto& wantedRate : window.m_wantedRates)
        wantedRate *= decay;

    const auto bin = static_cast<std::size_t> (std::clamp (shedRank, 0.0, 1.0) * rankBinCount);
    window.m_wantedRates[std::min (bin, rankBinCount - 1)] += cost / wantedDecaySeconds;
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
