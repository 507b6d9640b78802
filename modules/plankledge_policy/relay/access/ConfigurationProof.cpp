#include "plankledge_policy/relay/access/ConfigurationProof.h"

#include <algorithm>

namespace plankledge
{

void ConfigurationProof::add (ConfigurationVersion version, Time askedAt) noexcept
{
    if (version <= m_inForce)
        m_provenAt = std::max (m_provenAt.value_or (askedAt), askedAt);
    else if (! m_pending.has_value() || askedAt > m_pending->m_askedAt)
        m_pending = Evidence { version, askedAt };
}

void ConfigurationProof::onInForce (ConfigurationVersion version) noexcept
{
    m_inForce = version;

    if (! m_pending.has_value() || m_pending->m_version > version)
        return;

    const auto evidence = *m_pending;
    m_pending.reset();
    add (evidence.m_version, evidence.m_askedAt);
}

} // namespace plankledge
