#include "plankledge_policy/membership/JoinProtocol.h"

#include <algorithm>

namespace plankledge
{

namespace
{

constexpr Duration acknowledgementTimeout = Milliseconds (1500); // a peer then counts as unreachable
constexpr unsigned roundsPerAppend = 10;

} // namespace

//==============================================================================
JoinProtocol::JoinProtocol (Membership& membership, RecordTable& records,
                            std::function<void (Turn&)> onEstablished)
    : m_membership (membership)
    , m_records (records)
    , m_onEstablished (std::move (onEstablished))
{
}

void JoinProtocol::start (Turn& turn)
{
    turn.emit (AppendJoin { m_membership.self() });
    turn.emit (ReadLog { LogStream::joins, m_nextOffset });
    turn.timers().set (turn.now() + turn.settings().m_joinPeriod, TimerKind::join);

    if (! turn.mechanisms().m_joinAcknowledgement)
        m_isEstablished = true;
}

void JoinProtocol::onTimer (Turn& turn)
{
    if (m_isEstablished)
    {
        // Finds members that neither gossip nor the platform's list has reported.
        turn.emit (ReadLog { LogStream::joins, m_nextOffset });
        turn.timers().set (turn.now() + turn.jittered (turn.settings().m_joinPeriod * 30), TimerKind::join);
        return;
    }

    ++m_rounds;
    const bool isAppended = m_offsets.contains (m_membership.self().m_id);

    if (! isAppended && m_rounds % roundsPerAppend == 0)
        turn.emit (AppendJoin { m_membership.self() });

    turn.emit (ReadLog { LogStream::joins, m_nextOffset });
    removeUnreachablePeers (turn);
    checkEstablished (turn);
    requestMissingAcknowledgements (turn);
    turn.timers().set (turn.now() + turn.settings().m_joinPeriod, TimerKind::join);
}

void JoinProtocol::requestMissingAcknowledgements (Turn& turn)
{
    if (m_isEstablished)
        return;

    m_unreachable.clear();

    for (const auto& peer : m_membership.peers())
    {
        if (m_acknowledged.contains (peer.m_id))
            continue;

        m_firstRequestedAt.try_emplace (peer.m_id.m_instance, turn.now());
        turn.emit (SendToPeer { peer.m_id.m_instance, peer.m_endpoint, JoinRequest { m_membership.self() } });
    }
}

void JoinProtocol::removeUnreachablePeers (Turn& turn)
{
    for (const auto& peer : m_membership.peers())
    {
        const auto& instance = peer.m_id.m_instance;
        const auto since = m_membership.knownSince (instance);
        const bool isPastListLag = since.has_value() && turn.now() - *since > turn.settings().m_listLagBound;

        if (isPastListLag && m_hasList && ! m_membership.isListed (instance) &&
            m_unreachable.contains (instance))
            m_membership.removeUnreachable (instance, turn.now());
    }
}

//==============================================================================
void JoinProtocol::onListRead (Turn& turn)
{
    const bool isFirst = ! m_hasList;
    m_hasList = true;

    if (isFirst)
        requestMissingAcknowledgements (turn);

    checkEstablished (turn);
}

void JoinProtocol::onJoinsRead (Turn& turn, const JoinsRead& read)
{
    m_nextOffset = std::max (m_nextOffset, read.m_next);

    for (const auto& record : read.m_records)
    {
        if (record.m_member.m_service != m_membership.self().m_service)
            continue;

        m_offsets.try_emplace (record.m_member.m_id, record.m_offset);
        m_membership.merge (record.m_member, turn.now());
    }

    checkEstablished (turn);
}

JoinAcknowledgement JoinProtocol::onRequest (Turn& turn, const JoinRequest& request) const
{
    m_membership.onMessageFrom (request.m_member.m_id, turn.now());
    m_membership.merge (request.m_member, turn.now());

    JoinAcknowledgement acknowledgement;
    acknowledgement.m_isEstablished = m_isEstablished;
    acknowledgement.m_members = m_membership.ownServiceMembers();
    acknowledgement.m_lost = m_membership.lostMemories (turn.now());

    if (turn.mechanisms().m_fencesInAcknowledgement)
        acknowledgement.m_fences = m_records.fencesForJoiningNode (turn.now());

    return acknowledgement;
}

void JoinProtocol::onAcknowledged (Turn& turn, const NodeId& from, const JoinAcknowledgement& acknowledgement)
{
    m_membership.onMessageFrom (from, turn.now());

    for (const auto& member : acknowledgement.m_members)
        m_membership.merge (member, turn.now());

    for (const auto& lost : acknowledgement.m_lost)
        m_membership.onLost (lost, turn.now());

    for (const auto& fence : acknowledgement.m_fences)
        m_records.fence (fence.m_keyHash, turn.now() + fence.m_remainingTime);

    m_acknowledged.insert (from);
    m_isAcknowledgedByEstablished = m_isAcknowledgedByEstablished || acknowledgement.m_isEstablished;
    checkEstablished (turn);
}

//==============================================================================
void JoinProtocol::checkEstablished (Turn& turn)
{
    if (m_isEstablished)
        return;

    const bool isConfirmedByEstablished =
        m_isAcknowledgedByEstablished && allReachableAcknowledged (turn.now());
    const bool isColdStart =
        m_hasList && m_offsets.contains (m_membership.self().m_id) && allEarlierAcknowledged();

    if (! isConfirmedByEstablished && ! isColdStart)
        return;

    m_isEstablished = true;
    m_onEstablished (turn);
}

bool JoinProtocol::allReachableAcknowledged (Time now) const
{
    const auto peers = m_membership.peers();
    return std::all_of (peers.begin(), peers.end(), [&] (const Member& peer) {
        const auto firstRequest = m_firstRequestedAt.find (peer.m_id.m_instance);
        const bool isTimedOut =
            firstRequest != m_firstRequestedAt.end() && now - firstRequest->second > acknowledgementTimeout;
        return m_acknowledged.contains (peer.m_id) || m_unreachable.contains (peer.m_id.m_instance) ||
               isTimedOut;
    });
}

bool JoinProtocol::allEarlierAcknowledged() const
{
    const auto own = m_offsets.at (m_membership.self().m_id);
    const auto peers = m_membership.peers();
    return std::all_of (peers.begin(), peers.end(), [&] (const Member& peer) {
        const auto joined = m_offsets.find (peer.m_id);
        const bool isLater = joined != m_offsets.end() && joined->second > own;
        return isLater || m_acknowledged.contains (peer.m_id);
    });
}

} // namespace plankledge
