#include "plankledge_policy/configuration/ConfigurationSync.h"

#include <algorithm>

namespace plankledge
{

namespace
{

constexpr Duration pollIntervalPerMember =
    Milliseconds (20); // limits the whole cluster to 50 polls per second
constexpr Duration minPullInterval = Milliseconds (300);

} // namespace

//==============================================================================
ConfigurationSync::ConfigurationSync (DeclarationsParser parser, std::function<void (Turn&)> onInForce)
    : m_stateMachine (std::move (parser))
    , m_onInForce (std::move (onInForce))
{
}

void ConfigurationSync::start (Turn& turn)
{
    turn.emit (ReadLog { LogStream::configuration, m_stateMachine.nextOffset() });
    turn.timers().set (turn.now() + turn.jittered (turn.settings().m_logPeriod / 2), TimerKind::logPoll);
    scheduleCheckpoint (turn);
}

void ConfigurationSync::onPollTimer (Turn& turn, std::size_t clusterSize)
{
    const auto scaled = pollIntervalPerMember * static_cast<Duration::rep> (clusterSize);
    const auto period = std::max (turn.settings().m_logPeriod, scaled);
    turn.emit (ReadLog { LogStream::configuration, m_stateMachine.nextOffset() });
    turn.timers().set (turn.now() + period / 2 + turn.jittered (period / 2) / 2, TimerKind::logPoll);
}

void ConfigurationSync::onRead (Turn& turn, const ConfigurationRead& read)
{
    const auto before = version();

    for (const auto& decided : m_stateMachine.apply (read))
    {
        if (decided.m_verdict == ProposalVerdict::conflict)
            turn.emit (WriteLog { Notice::configurationConflict, decided.m_id,
                                  static_cast<std::int64_t> (decided.m_version) });

        if (decided.m_verdict == ProposalVerdict::invalid)
        {
            ++turn.counters().m_invalidConfigurations;
            turn.emit (WriteLog { Notice::configurationInvalid, decided.m_id, 0 });
        }
    }

    notifyIfChanged (turn, before);
}

void ConfigurationSync::notifyIfChanged (Turn& turn, ConfigurationVersion before)
{
    if (version() == before)
        return;

    turn.emit (WriteLog { Notice::configurationInForce, {}, static_cast<std::int64_t> (version()) });
    m_onInForce (turn);
}

//==============================================================================
void ConfigurationSync::scheduleCheckpoint (Turn& turn)
{
    m_versionOffsetAtSchedule = m_stateMachine.lastVersionOffset();
    turn.timers().set (turn.now() + turn.jittered (turn.settings().m_checkpointPeriod),
                       TimerKind::checkpoint);
}

void ConfigurationSync::onCheckpointTimer (Turn& turn)
{
    const bool hasNewRecord = m_stateMachine.lastVersionOffset() > m_versionOffsetAtSchedule;

    if (! hasNewRecord && version() > 0 && m_stateMachine.canDecide())
        turn.emit (AppendCheckpoint { m_stateMachine.state() });

    scheduleCheckpoint (turn);
}

//==============================================================================
void ConfigurationSync::onPeerVersion (Turn& turn, const Member& peer, ConfigurationVersion peerVersion)
{
    if (peerVersion <= version() || turn.now() < m_nextPull)
        return;

    m_nextPull = turn.now() + minPullInterval;
    turn.emit (SendToPeer { peer.m_id.m_instance, peer.m_endpoint, ConfigurationPull { version() } });
}

void ConfigurationSync::onPull (Turn& turn, LinkId link, const NodeId& from,
                                const ConfigurationPull& pull) const
{
    if (pull.m_knownState < version())
        turn.emit (ReplyOnLink { link, from.m_instance, m_stateMachine.state() });
}

void ConfigurationSync::onState (Turn& turn, const ConfigurationState& state)
{
    const auto before = version();
    m_stateMachine.adopt (state);
    notifyIfChanged (turn, before);
}

} // namespace plankledge
