#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/configuration/ConfigurationJudge.h"
#include "plankledge_policy/membership/Membership.h"
#include <functional>

namespace plankledge
{

//==============================================================================
/**
    Keeps this node's declarations up to date: from the log, and from any peer that
    says it has a higher version, which works while the log is down.

    Now and then some node re-appends the version in force, so that it outlives the
    log's retention.
*/
class ConfigurationSync
{
public:
    //==============================================================================
    /** @param inForce   called when a higher version has come into force here */
    ConfigurationSync (DeclarationsParser parser, std::function<void (Turn&)> inForce);

    void start (Turn& turn);
    void onRead (Turn& turn, const ConfigurationRead& read);
    void onPollTime (Turn& turn, std::size_t clusterSize);
    void onCheckpointTime (Turn& turn);

    /** A peer said which version it has. */
    void onPeerVersion (Turn& turn, const Member& peer, ConfigurationVersion version);

    void onPull (Turn& turn, LinkId link, const NodeId& from, const ConfigurationPull& pull) const;
    void onState (Turn& turn, const ConfigurationState& state);

    ConfigurationVersion version() const noexcept { return m_judge.state().m_version; }

    /** @returns the declarations in force; nullptr where there are none yet */
    const Declarations* declarations() const noexcept
    {
        return version() > 0 ? &m_judge.declarations() : nullptr;
    }

    const ConfigurationState& state() const noexcept { return m_judge.state(); }

private:
    //==============================================================================
    void announce (Turn& turn, ConfigurationVersion before);
    void scheduleCheckpoint (Turn& turn);

    ConfigurationJudge m_judge;
    std::function<void (Turn&)> m_inForce;
    Time m_nextPull;
    LogOffset m_restatedAtSchedule = -1;
};

} // namespace plankledge
