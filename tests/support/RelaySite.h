#pragma once

#include "support/RelayRig.h"

namespace plankledge::test
{

/** Two nodes with targets of one service, and one of another service where requests come in. */
struct RelaySite : RelayRig
{
    RelaySite();

    void setTargets (const TargetBehaviour& behaviour);

    Outcome outcomeOf (Ticket ticket) const { return answers().at (ticket).m_result.m_outcome; }
    Reason reasonOf (Ticket ticket) const { return answers().at (ticket).m_result.m_reason; }
};

/** @returns a target that does the same with each request */
RelayRig::TargetBehaviour always (TargetReplyKind kind, Duration after = Milliseconds (20));

/** A target that never replies. */
void never (RelayRig&, const InstanceName&, const RelayToTarget&);

/** @returns a target that fails in one way the first time, and then answers */
RelayRig::TargetBehaviour firstThenAnswers (TargetReplyKind kind);

} // namespace plankledge::test
