#include "plankledge_runtime/TargetConnection.h"

#include "plankledge_core/Hash.h"
#include <algorithm>

namespace plankledge::detail
{

void TargetConnection::addRequest (std::string_view id)
{
    m_requests.push_back (hashText (id));
}

bool TargetConnection::hasCarried (std::string_view id) const noexcept
{
    return std::find (m_requests.begin(), m_requests.end(), hashText (id)) != m_requests.end();
}

} // namespace plankledge::detail
