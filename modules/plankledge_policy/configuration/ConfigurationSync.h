#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/configuration/ConfigurationStateMachine.h"
#include "plankledge_policy/membership/Membership.h"
#include <functional>

namespace plankledge
{

//==============================================================================
/**
    Keeps this node's declarations up to date, from the log and from peers that report
    a higher version, so that updates spread even while the log is unavailable.

    The nodes periodically append a checkpoint of the version in force, so that it
    outlives the log's retention.
*/
class ConfigurationSync
{
public:
    //==============================================================================
    /** @param onInForce   called when a higher version has come into force on this node */
    ConfigurationSync (DeclarationsParser parser, std::function<void (Turn&)> onInForce);

    void start (Turn& turn);
    void onRead (Turn& turn, const ConfigurationRead& read);
    void onPollTimer (Turn& turn, std::size_t clusterSize);
    void onCheckpointTimer (Turn& turn);

    /** Pulls the state of a peer that has reported a higher version. */
    void onPeerVersion (Turn& turn, const Member& peer, ConfigurationVersion version);

    void onPull (Turn& turn, LinkId link, const NodeId& from, const ConfigurationPull& pull) const;
    void onState (Turn& turn, const ConfigurationState& state);

    ConfigurationVersion version() const noexcept { return m_stateMachine.state().m_version; }

    /** @returns the declarations in force, or nullptr if there are none */
    const Declarations* declarations() const noexcept
    {
        return version() > 0 ? &m_stateMachine.declarations() : nullptr;
    }

    const ConfigurationState& state() const noexcept { return m_stateMachine.state(); }

private:
    //==============================================================================
    void notifyIfChanged (Turn& turn, ConfigurationVersion before);
    void scheduleCheckpoint (Turn& turn);

    ConfigurationStateMachine m_stateMachine;
    std::function<void (Turn&)> m_onInForce;
    Time m_nextPull;
    LogOffset m_versionOffsetAtSchedule = -1;
};

} // namespace plankledge
