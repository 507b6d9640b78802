#include "plankledge_policy/relay/gate/ActiveChains.h"

#include "plankledge_policy/relay/RequestIds.h"

namespace plankledge
{

void ActiveChains::add (std::string_view requestId, Time now)
{
    m_lastDispatchAt[hashText (rootOf (requestId))] = now;
}

bool ActiveChains::contains (std::string_view requestId) const
{
    return m_lastDispatchAt.contains (hashText (rootOf (requestId)));
}

void ActiveChains::removeBefore (Time time)
{
    std::erase_if (m_lastDispatchAt, [time] (const auto& entry) { return entry.second < time; });
}

} // namespace plankledge
