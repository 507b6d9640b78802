#include "plankledge_policy/relay/entry/RelayRetryThrottle.h"

#include <algorithm>
#include <cmath>

namespace plankledge
{

namespace
{

/** The part of the bound that a node uses for requests that make no calls. The rest is for nodes that died
   and have spent, for windows that cut a slot in two, and for calls whose chain can't be seen. */
constexpr double margin = 0.8;

/** The same for requests that make calls: their second runs repeat the calls at every service below, and
   several depths of a chain add up there. */
constexpr double marginWithCalls = 0.5;

/** The part of the slack that is used. */
constexpr double slackMargin = 0.5;

/** What is left is spent within this part of the window: trouble is often shorter than a window. */
constexpr double partOfWindow = 0.5;

/** Wishes are counted over about this time. */
constexpr double wishSeconds = 1.0;

double inSeconds (Duration duration) noexcept
{
    return static_cast<double> (duration.count()) / 1e6;
}

} // namespace

//==============================================================================
RelayRetryThrottle::RelayRetryThrottle (const RelaySettings& settings)
    : m_settings (settings)
    , m_slotTime (std::max (Duration (1), settings.m_retryWindow / static_cast<int> (slotCount)))
{
}

std::int64_t RelayRetryThrottle::numberOf (Time now) const noexcept
{
    return now.time_since_epoch() / m_slotTime;
}

RelayRetryThrottle::Slot& RelayRetryThrottle::slotOf (const ServiceName& service, Time now)
{
    const auto number = numberOf (now);
    auto& slot = m_buckets[service].m_slots[static_cast<std::size_t> (number) % slotCount];

    if (slot.m_number != number)
        slot = { number, 0.0, 0.0 };

    return slot;
}

RelayRetryThrottle::Sum RelayRetryThrottle::sumOf (const Bucket& bucket, Time now) const noexcept
{
    const auto oldest = numberOf (now) - static_cast<std::int64_t> (slotCount) + 1;
    Sum sum;

    for (const auto& slot : bucket.m_slots)
    {
        if (slot.m_number < oldest)
            continue;

        sum.m_requests += slot.m_requests;
        sum.m_spent += slot.m_spent;
    }

    return sum;
}

void RelayRetryThrottle::onRequest (const ServiceName& service, Time now)
{
    slotOf (service, now).m_requests += 1.0;
}

void RelayRetryThrottle::charge (const ServiceName& service, Time now)
{
    slotOf (service, now).m_spent += 1.0;
}

//==============================================================================
bool RelayRetryThrottle::take (const ServiceName& service, const std::map<ServiceName, double>& demand,
                               double place, Time now)
{
    auto& slot = slotOf (service, now);
    auto& bucket = m_buckets[service];
    const auto sum = sumOf (bucket, now);

    if (sum.m_requests <= 0.0)
        return false;

    // A second run repeats its calls: it counts at each service below as well.
    const auto cost = 1.0 + static_cast<double> (demand.size());
    const auto ratio = m_settings.m_retryRatio * (demand.empty() ? margin : marginWithCalls);
    const auto slack =
        m_settings.m_retrySlack * slackMargin / static_cast<double> (std::max<std::size_t> (1, m_nodes));
    const auto left = sum.m_requests * ratio + slack - sum.m_spent;
    wish (bucket, place, cost, now);

    if (left < cost)
        return false;

    const auto rate = left / (inSeconds (m_settings.m_retryWindow) * partOfWindow);

    if (place >= levelOf (bucket, rate))
        return false;

    slot.m_spent += cost;
    return true;
}

void RelayRetryThrottle::wish (Bucket& bucket, double place, double cost, Time now) noexcept
{
    const auto kept = std::exp (-inSeconds (now - bucket.m_wishedAt) / wishSeconds);
    bucket.m_wishedAt = now;

    for (auto& wishes : bucket.m_wishes)
        wishes *= kept;

    const auto bin = static_cast<std::size_t> (std::clamp (place, 0.0, 1.0) * binCount);
    bucket.m_wishes[std::min (bin, binCount - 1)] += cost / wishSeconds;
}

/** @returns up to which place the wishes together stay under the rate */
double RelayRetryThrottle::levelOf (const Bucket& bucket, double rate) noexcept
{
    double wished = 0.0;

    for (std::size_t bin = 0; bin < binCount; ++bin)
    {
        const auto wishes = bucket.m_wishes[bin];

        if (wished + wishes > rate)
            return (static_cast<double> (bin) + (rate - wished) / wishes) / binCount;

        wished += wishes;
    }

    return 1.0;
}

} // namespace plankledge
