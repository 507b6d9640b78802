#pragma once

#include "support/RelayRig.h"

namespace plankledge::test
{

/** Two nodes with targets of one service, and an entry node of another service. */
struct RelaySite : RelayRig
{
    RelaySite();

    void setTargets (const TargetBehaviour& behaviour);

    Outcome outcomeOf (Ticket ticket) const { return answers().at (ticket).m_result.m_outcome; }
    Reason reasonOf (Ticket ticket) const { return answers().at (ticket).m_result.m_reason; }
};

/** @returns a target that replies to each request in the same way */
RelayRig::TargetBehaviour always (TargetReplyKind kind, Duration after = Milliseconds (20));

/** A target that never replies. */
void never (RelayRig&, const InstanceName&, const RelayToTarget&);

/** @returns a target that replies to the first request with the given kind, and answers all others */
RelayRig::TargetBehaviour failFirstThenAnswer (TargetReplyKind kind);

} // namespace plankledge::test
