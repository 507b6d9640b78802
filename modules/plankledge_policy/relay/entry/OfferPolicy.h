#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/crashes/CrashGuard.h"
#include "plankledge_policy/relay/entry/EntryRequest.h"
#include "plankledge_policy/relay/peers/PeerTable.h"

namespace plankledge
{

//==============================================================================
/**
    Offers the requests of latency-tolerant chains to one target after the other, so that they use free slots
    instead of being refused.

    Responds to uneven load: all entries hold the same information about the targets of a service, which is
    older than a round trip, so that they send to the same target while others have free slots. A short offer
    (maxShortQueueTime) lets the gate of a busy target refuse a request at once, which is then redirected.
    The last offer has the full queueing time, so that a request waits as before if all targets are full.

    Requests of other chains get one offer with the full queueing time, and are not redirected.

    @see RelaySettings::m_tolerantObjective, TargetGate
*/
class OfferPolicy
{
public:
    //==============================================================================
    /** Maximum queueing time of a short offer. The smallest penalty of a target in another zone: waiting
        longer costs more than using another target. */
    static constexpr Duration maxShortQueueTime = Milliseconds (50);

    /** Maximum number of redirects of a request because of busy targets. Each costs a round trip, and a
        message that the gates must process although they are busy. */
    static constexpr std::uint32_t maxRedirects = 2;

    /** Other parts of the node; all must outlive the OfferPolicy. */
    struct Dependencies
    {
        const PeerTable& m_peers;
        const CrashGuard& m_crashes;
    };

    explicit OfferPolicy (Dependencies dependencies);

    //==============================================================================
    /** Decides how long a request may be queued at the gate that it is sent to now, and records the offer.

        @param peer   the node that it is sent to

        @returns the maximum queueing time; zero: it must be run at once
    */
    Duration offer (detail::EntryRequest& request, const Peer& peer, Time now) const;

    /** Decides whether a request that a gate refused as overloaded may be offered to another target.

        Before the last offer, targets that refused a short offer become eligible again, since they may accept
        the full queueing time.

        @returns false if the request must not be redirected
    */
    bool prepareRedirect (detail::EntryRequest& request, Time now) const;

    /** Makes targets that refused a short offer eligible again if no other target is left. */
    void readmitIfAllTried (detail::EntryRequest& request) const;

    /** Redirects a request that a gate refused as overloaded, or counts that it was refused.

        @param peer   the target selected after prepareRedirect(); nullptr: none

        @returns false if the request must be given up
    */
    bool tryRedirect (Turn& turn, detail::EntryRequest& request, const Peer* peer) const;

private:
    //==============================================================================
    bool isClear (const detail::EntryRequest& request, Time now) const;
    bool isOtherTargetFree (const detail::EntryRequest& request, const Peer& peer, Time now) const;

    Dependencies m_dependencies;
};

} // namespace plankledge
