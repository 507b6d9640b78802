#include "plankledge_policy/relay/entry/OfferPolicy.h"

#include "plankledge_policy/relay/RequestIds.h"
#include "plankledge_policy/relay/entry/EntryLog.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Later offers of the request have the full queueing time.

    Targets that the request has reached stay excluded, and so do all others once it has reached as many as
    its route allows: RetryPolicy limits their number. */
void readmit (detail::EntryRequest& request)
{
    request.m_isFullOfferDue = true;

    if (request.m_reached.size() < request.m_route.m_maxAttempts)
        for (const auto& instance : request.m_shortOffers)
            if (! request.m_reached.contains (instance))
                request.m_tried.erase (instance);

    request.m_shortOffers.clear();
}

} // namespace

//==============================================================================
OfferPolicy::OfferPolicy (Dependencies dependencies)
    : m_dependencies (dependencies)
{
}

Duration OfferPolicy::offer (detail::EntryRequest& request, const Peer& peer, Time now) const
{
    const auto& instance = peer.m_member.m_id.m_instance;
    const auto fullTime = std::max (Duration::zero(), Duration (request.m_queueDeadline - now));

    // A gate refuses an offer as rate-limited if its tokens last longer than the offered time, and such a
    // refusal is not redirected by this policy.
    const bool isRateLimited = peer.m_gate.m_rate.has_value();

    if (! request.m_isTolerantChain || isRateLimited || request.m_isFullOfferDue ||
        request.m_busyRedirects >= maxRedirects || fullTime <= maxShortQueueTime ||
        ! isClear (request, now) || ! isOtherTargetFree (request, peer, now))
    {
        request.m_shortOffers.erase (instance);
        return fullTime;
    }

    request.m_shortOffers.insert (instance);
    return maxShortQueueTime;
}

bool OfferPolicy::prepareRedirect (detail::EntryRequest& request, Time now) const
{
    if (! request.m_isTolerantChain || request.m_busyRedirects >= maxRedirects || ! isClear (request, now))
        return false;

    if (request.m_busyRedirects + 1 == maxRedirects)
        readmit (request);

    return true;
}

void OfferPolicy::readmitIfAllTried (detail::EntryRequest& request) const
{
    if (request.m_shortOffers.empty())
        return;

    const auto peers = m_dependencies.m_peers.acceptingRequests (request.m_service);
    const bool isAllTried = std::all_of (peers.begin(), peers.end(), [&] (const auto* peer) {
        return request.m_tried.contains (peer->m_member.m_id.m_instance);
    });

    if (isAllTried)
        readmit (request);
}

bool OfferPolicy::tryRedirect (Turn& turn, detail::EntryRequest& request, const Peer* peer) const
{
    // A request whose queueing time is over can still use a free slot.
    const bool isUseful = peer != nullptr && (turn.now() < request.m_queueDeadline ||
                                              peer->hasFreeSlots (request.m_route.m_name, turn.now()));

    if (! isUseful)
    {
        turn.counters().m_overloadedOffers += request.m_busyRedirects >= maxRedirects ? 1 : 0;
        return false;
    }

    ++request.m_busyRedirects;
    ++turn.counters().m_redirects;
    ++turn.counters().m_busyRedirects;

    if (isLogSampled (request.m_content.m_id))
        turn.emit (detail::logBusyRedirect (request, *peer));

    return true;
}

/** A request that is suspected of crashing targets may run only at one of them, or at none. */
bool OfferPolicy::isClear (const detail::EntryRequest& request, Time now) const
{
    return m_dependencies.m_crashes.holdStatus (request.m_digest, now).m_holdState == HoldState::clear;
}

bool OfferPolicy::isOtherTargetFree (const detail::EntryRequest& request, const Peer& peer, Time now) const
{
    const auto others = m_dependencies.m_peers.acceptingRequests (request.m_service);
    return std::any_of (others.begin(), others.end(), [&] (const auto* other) {
        const auto& instance = other->m_member.m_id.m_instance;
        return instance != peer.m_member.m_id.m_instance && ! request.m_tried.contains (instance) &&
               other->hasFreeSlots (request.m_route.m_name, now);
    });
}

} // namespace plankledge
