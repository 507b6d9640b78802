#include "plankledge_policy/relay/crashes/CrashGuard.h"

#include "plankledge_core/Hash.h"
#include "plankledge_policy/relay/LogText.h"

#include <utility>

namespace plankledge
{

namespace
{

constexpr Duration expiryPeriod = std::chrono::seconds (10);

} // namespace

//==============================================================================
CrashGuard::CrashGuard (const NodeId& self, PeerTable& peers)
    : m_self (self)
    , m_peers (peers)
{
}

//==============================================================================
void CrashGuard::onAnswered (Turn& turn, ContentDigest content)
{
    m_detector.onAnswered (content, turn.now());

    if (! m_crashHistory.isSuspect (content))
        return;

    const CrashAcquittal acquittal { content, {} };

    if (! m_crashHistory.add (acquittal, turn.now()))
        return;

    ++turn.counters().m_acquittals;
    m_pendingUpdate.m_acquittals.push_back (acquittal);
}

const Peer* CrashGuard::trialNode (const ServiceName& service, ContentDigest content) const
{
    const Peer* best = nullptr;
    std::uint64_t bestWeight = 0;

    // Includes nodes whose gate is closed. Otherwise the trial would continue at another target whenever
    // the selected one crashes.
    for (const auto* peer : m_peers.ofService (service))
    {
        if (! peer->m_isReachable)
            continue;

        const auto weight = rendezvousWeight (content, peer->m_member.m_id.m_instance);

        if (best != nullptr && weight <= bestWeight)
            continue;

        best = peer;
        bestWeight = weight;
    }

    return best;
}

//==============================================================================
void CrashGuard::onWindowEnd (Turn& turn, const TargetId& target)
{
    const auto now = turn.now();

    if (now - m_lastExpiryAt >= expiryPeriod)
    {
        m_crashHistory.removeExpired (now);
        m_lastExpiryAt = now;
    }

    for (auto& finding : m_detector.takeFindings (now))
    {
        auto& counters = turn.counters();
        ++(finding.m_isWithdrawn ? counters.m_crashesWithdrawn : counters.m_crashReports);
        turn.emit (LogDecision { finding.m_isWithdrawn ? Decision::crashWithdrawn : Decision::crashReported,
                                 {},
                                 { { "target", target },
                                   { "crash", detail::number (finding.m_number) },
                                   { "suspects", detail::number (finding.m_suspects.size()) },
                                   { "age_ms", detail::milliseconds (now - finding.m_at) } } });
        CrashReport report { { m_self, finding.m_number },
                             now - finding.m_at,
                             finding.m_isWithdrawn,
                             std::move (finding.m_suspects) };

        if (m_crashHistory.add (report, now))
            m_pendingUpdate.m_crashes.push_back (std::move (report));
    }

    logHeld (turn);

    if (! m_pendingUpdate.isEmpty())
        broadcast (turn, m_self.m_instance, std::exchange (m_pendingUpdate, {}));
}

void CrashGuard::onUpdate (Turn& turn, const InstanceName& from, const CrashUpdate& update)
{
    CrashUpdate unseen;

    // Acquittals first: they may also clear crashes reported in the same message.
    for (const auto& acquittal : update.m_acquittals)
        if (m_crashHistory.add (acquittal, turn.now()))
            unseen.m_acquittals.push_back (acquittal);

    for (const auto& report : update.m_crashes)
        if (m_crashHistory.add (report, turn.now()))
            unseen.m_crashes.push_back (report);

    logHeld (turn);

    if (! unseen.isEmpty())
        broadcast (turn, from, unseen);
}

void CrashGuard::broadcast (Turn& turn, const InstanceName& from, const CrashUpdate& update) const
{
    for (const auto* peer : m_peers.others())
        if (peer->m_isReachable && peer->m_member.m_id.m_instance != from)
            turn.emit (SendToPeer { peer->m_member.m_id.m_instance, peer->m_member.m_endpoint, update });
}

void CrashGuard::logHeld (Turn& turn)
{
    for (const auto& [content, crashes] : m_crashHistory.takeNewlyHeld())
        turn.emit (LogDecision {
            Decision::contentHeld,
            {},
            { { "content", detail::digest (content) },
              { "crashes", detail::number (crashes) },
              { "for_ms",
                detail::milliseconds (m_crashHistory.holdStatus (content, turn.now()).m_holdRemaining) } } });
}

//==============================================================================
void CrashGuard::onPull (Turn& turn, LinkId link, const InstanceName& from, const CrashPull& pull) const
{
    if (pull.m_knownState != m_crashHistory.digest())
        turn.emit (ReplyOnLink { link, from, m_crashHistory.snapshot (turn.now()) });
}

void CrashGuard::onDigest (Turn& turn, const Peer& peer, std::uint64_t digest)
{
    const auto& instance = peer.m_member.m_id.m_instance;

    // A peer with an empty history has nothing to send, and requests this node's history itself.
    if (digest == m_crashHistory.digest() || digest == 0)
    {
        m_mismatchSince.erase (instance);
        return;
    }

    const auto [since, isFirst] = m_mismatchSince.try_emplace (instance, turn.now());
    const bool isHistoryEmpty = m_crashHistory.digest() == 0;

    if (isFirst ? ! isHistoryEmpty : turn.now() - since->second < digestMismatchGrace)
        return;

    since->second = turn.now();
    turn.emit (SendToPeer { instance, peer.m_member.m_endpoint, CrashPull { m_crashHistory.digest() } });
}

} // namespace plankledge
