#include "plankledge_policy/relay/access/Organisations.h"

namespace plankledge
{

namespace
{

using IndexMap = std::map<std::string, std::size_t, std::less<>>;

const Organisation* lookUp (const std::vector<Organisation>& declared, const IndexMap& indices,
                            std::string_view name) noexcept
{
    const auto found = indices.find (name);
    return found == indices.end() ? nullptr : &declared[found->second];
}

} // namespace

//==============================================================================
Organisations::Organisations (std::vector<Organisation> declared)
    : m_declared (std::move (declared))
    , m_areDeclared (true)
{
    for (std::size_t index = 0; index < m_declared.size(); ++index)
    {
        m_byName[m_declared[index].m_name] = index;

        for (const auto& key : m_declared[index].m_keys)
            m_byKey[key] = index;
    }
}

const Organisation* Organisations::findByKey (std::string_view key) const noexcept
{
    return lookUp (m_declared, m_byKey, key);
}

const Organisation* Organisations::find (std::string_view name) const noexcept
{
    return lookUp (m_declared, m_byName, name);
}

} // namespace plankledge
