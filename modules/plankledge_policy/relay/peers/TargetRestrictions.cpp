#include "plankledge_policy/relay/peers/TargetRestrictions.h"

namespace plankledge
{

void TargetRestrictions::onGate (const InstanceName& instance, const GateStatus& gate)
{
    if (gate.m_restriction.has_value())
        m_restrictions[instance] = *gate.m_restriction;
    else if (gate.m_isRestrictionKnown)
        m_restrictions.erase (instance);
}

std::optional<TargetRestriction> TargetRestrictions::find (const InstanceName& instance) const
{
    const auto found = m_restrictions.find (instance);
    return found == m_restrictions.end() ? std::nullopt : std::optional (found->second);
}

} // namespace plankledge
