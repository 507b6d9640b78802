#include "plankledge_policy/relay/RetryTokens.h"

#include <algorithm>
#include <cmath>

namespace plankledge
{

namespace
{

/** The part of the bound that a node uses. Second runs repeat their calls as well, so what several depths
   of a chain spend adds up at the deepest service; and nodes that died have spent, too. */
constexpr double margin = 0.5;

double inSeconds (Duration duration) noexcept
{
    return static_cast<double> (duration.count()) / 1e6;
}

} // namespace

//==============================================================================
RetryTokens::RetryTokens (const RelaySettings& settings)
    : m_settings (settings)
{
}

RetryTokens::Bucket& RetryTokens::refreshed (const ServiceName& service, Time now)
{
    auto& bucket = m_buckets.try_emplace (service, Bucket { 0.0, 0.0, now }).first->second;
    const auto passed = inSeconds (now - bucket.m_updatedAt);
    const auto window = inSeconds (m_settings.m_retryWindow);
    const auto slack =
        m_settings.m_retrySlack * margin / static_cast<double> (std::max<std::size_t> (1, m_nodes));
    bucket.m_updatedAt = now;
    bucket.m_requests *= std::exp (-passed / window);

    // Without traffic there is nothing to try again, so the slack comes in with requests, too.
    if (bucket.m_requests > 0.5)
        bucket.m_tokens += slack * passed / window;

    const auto most = bucket.m_requests * m_settings.m_retryRatio * margin + slack;
    bucket.m_tokens = std::min (bucket.m_tokens, most);
    return bucket;
}

void RetryTokens::onRequest (const ServiceName& service, Time now)
{
    auto& bucket = refreshed (service, now);
    bucket.m_requests += 1.0;
    bucket.m_tokens += m_settings.m_retryRatio * margin;
}

bool RetryTokens::take (const ServiceName& service, const std::map<ServiceName, double>& demand, Time now)
{
    auto& bucket = refreshed (service, now);

    // A second run repeats its calls: it counts at each service below as well.
    const auto cost = 1.0 + static_cast<double> (demand.size());

    if (bucket.m_tokens < cost)
        return false;

    bucket.m_tokens -= cost;
    return true;
}

} // namespace plankledge
