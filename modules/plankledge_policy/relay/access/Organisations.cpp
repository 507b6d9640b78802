#include "plankledge_policy/relay/access/Organisations.h"

namespace plankledge
{

namespace
{

using Places = std::map<std::string, std::size_t, std::less<>>;

const Organisation* at (const std::vector<Organisation>& declared, const Places& places,
                        std::string_view name) noexcept
{
    const auto found = places.find (name);
    return found == places.end() ? nullptr : &declared[found->second];
}

} // namespace

//==============================================================================
Organisations::Organisations (std::vector<Organisation> declared)
    : m_declared (std::move (declared))
    , m_areDeclared (true)
{
    for (std::size_t place = 0; place < m_declared.size(); ++place)
    {
        m_byName[m_declared[place].m_name] = place;

        for (const auto& key : m_declared[place].m_keys)
            m_byKey[key] = place;
    }
}

const Organisation* Organisations::ofKey (std::string_view key) const noexcept
{
    return at (m_declared, m_byKey, key);
}

const Organisation* Organisations::find (std::string_view name) const noexcept
{
    return at (m_declared, m_byName, name);
}

} // namespace plankledge
