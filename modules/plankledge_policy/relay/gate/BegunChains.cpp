#include "plankledge_policy/relay/gate/BegunChains.h"

#include "plankledge_policy/relay/RequestIds.h"

namespace plankledge
{

void BegunChains::add (std::string_view requestId, Time now)
{
    m_seenAt[hashText (rootOf (requestId))] = now;
}

bool BegunChains::contains (std::string_view requestId) const
{
    return m_seenAt.contains (hashText (rootOf (requestId)));
}

void BegunChains::forgetBefore (Time time)
{
    std::erase_if (m_seenAt, [time] (const auto& entry) { return entry.second < time; });
}

} // namespace plankledge
