#pragma once

#include "plankledge_policy/relay/entry/TargetSelection.h"

#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Reduces the candidates for a request to a few random ones, from which the best is then selected.

    Entry nodes that hold the same status of all targets select the same one, until its next status
    arrives: within one period some targets get several times what they can run and others nothing.
    If each selects the best of a few random targets, no target gets much more than its share, and a
    full one is still avoided.

    A candidate is drawn with a probability proportional to the rate at which its target can run requests
    of the route: its slots divided by the time that a request takes there. If that time is unknown, as
    for a new target, the mean of the other candidates is used.

    Candidates without free slots are drawn only if there are too few others.

    @param candidates   nodes that accept work
    @param criteria     its route, tried nodes and time are used
    @returns the sample in the order of the draw, without nodes that were tried; all remaining candidates if
             they are few

    @see selectTarget
*/
std::vector<const Peer*> sampleCandidates (const std::vector<const Peer*>& candidates,
                                           const TargetCriteria& criteria, Random& random);

} // namespace plankledge
