#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/crashes/CrashLedger.h"
#include "plankledge_policy/relay/crashes/CrashWatch.h"
#include "plankledge_policy/relay/peers/PeerTable.h"

#include <map>

namespace plankledge
{

//==============================================================================
/**
    Keeps requests that crash their targets away from all of them.

    It watches the own target, tells all nodes in contact what ended there, passes on what is new to it, and
    says which requests may be sent. Entries ask it before they send, gates before they run,
    so it is enough that one of the two knows.

    What is new goes to each peer in contact at once, and every hello and status carries a digest of what is
    remembered: a node that missed something, or has just started, asks for the whole.

    @see CrashLedger, CrashWatch
*/
class CrashGuard
{
public:
    //==============================================================================
    /** Two nodes whose digests differ for so long miss something; news are under way for less. */
    static constexpr Duration differingFor = std::chrono::seconds (1);

    CrashGuard (const NodeId& self, PeerTable& peers);

    //==============================================================================
    CrashWatch& watch() noexcept { return m_watch; }

    /** The own target ran a request to its end. */
    void onAnswered (Turn& turn, ContentDigest content);

    CrashJudgement judge (ContentDigest content, Time now) const { return m_ledger.judge (content, now); }

    /** @returns the one node whose target may try a request that is on trial, whether its gate is open or
       not; nullptr: none is there */
    const Peer* trialNode (const ServiceName& service, ContentDigest content) const;

    //==============================================================================
    /** Tells what became known; every 100 ms. */
    void onWindowEnd (Turn& turn, const TargetId& target);

    void onNews (Turn& turn, const InstanceName& from, const CrashNews& news);
    void onPull (Turn& turn, LinkId link, const InstanceName& from, const CrashPull& pull) const;

    /** A peer told the digest of what it remembers. */
    void onDigest (Turn& turn, const Peer& peer, std::uint64_t digest);

    std::uint64_t digest() const noexcept { return m_ledger.digest(); }
    const CrashLedger& ledger() const noexcept { return m_ledger; }

private:
    //==============================================================================
    void spread (Turn& turn, const InstanceName& from, const CrashNews& news) const;
    void logHeld (Turn& turn);

    const NodeId m_self;
    PeerTable& m_peers;
    CrashWatch m_watch;
    CrashLedger m_ledger;
    Time m_forgotAt;
    CrashNews m_untold;                          /**< learned here */
    std::map<InstanceName, Time> m_differsSince; /**< peers whose digest differs */
};

} // namespace plankledge
