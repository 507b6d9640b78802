#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/RelayMessages.h"

#include <map>

namespace plankledge
{

//==============================================================================
/**
    What the targets of other nodes have stated that restricts the requests they may be sent.

    A node that restarts has lost what its target stated before. Every node therefore remembers it,
    whether or not the other node is in contact, and sends it along with its requests.

    @see RelayRequest::m_restriction
*/
class TargetRestrictions
{
public:
    //==============================================================================
    /** Applies a gate's status. A status of a node that has no answer of its target yet doesn't end a
        restriction. */
    void onGate (const InstanceName& instance, const GateStatus& gate);

    /** Records what a peer remembers of an instance's target, unless something is known already. */
    void onReported (const InstanceName& instance, const TargetRestriction& restriction)
    {
        m_restrictions.try_emplace (instance, restriction);
    }

    /** @returns the restriction of the instance's target; nullopt if there is none */
    std::optional<TargetRestriction> find (const InstanceName& instance) const;

private:
    //==============================================================================
    std::map<InstanceName, TargetRestriction> m_restrictions;
};

} // namespace plankledge
