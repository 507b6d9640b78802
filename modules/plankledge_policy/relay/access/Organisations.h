#pragma once

#include "plankledge_core/Identity.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plankledge
{

/** The request rate limit of an organisation, over all nodes. */
struct RequestLimit
{
    double m_perSecond = 0.0;
    double m_burst = 0.0; /**< requests admitted above the rate after an idle period */

    auto operator<=> (const RequestLimit&) const = default;
};

//==============================================================================
/** A customer on whose behalf requests are sent, as declared by the operators. */
struct Organisation
{
    OrganisationName m_name;
    std::uint32_t m_priority = 0;        /**< of its requests; 0 is the highest and is refused last */
    std::optional<RequestLimit> m_limit; /**< nullopt: unlimited */
    std::vector<std::string> m_keys;     /**< API keys, each of which identifies it */

    auto operator<=> (const Organisation&) const = default;
};

//==============================================================================
/** The organisations of one configuration version, indexed by name and by key. */
class Organisations
{
public:
    //==============================================================================
    /** Creates an undeclared set: requests need no key. */
    Organisations() = default;

    /** @param declared   the organisations; no two may share a key */
    explicit Organisations (std::vector<Organisation> declared);

    /** @returns true if requests need a key, which is also the case for a declared but empty list */
    bool areDeclared() const noexcept { return m_areDeclared; }

    /** @returns the organisation to which the key belongs, or nullptr */
    const Organisation* findByKey (std::string_view key) const noexcept;

    /** @returns the organisation with the given name, or nullptr */
    const Organisation* find (std::string_view name) const noexcept;

    const std::vector<Organisation>& all() const noexcept { return m_declared; }

    auto operator<=> (const Organisations&) const = default;

private:
    //==============================================================================
    std::vector<Organisation> m_declared;
    std::map<std::string, std::size_t, std::less<>> m_byKey; /**< indices into m_declared */
    std::map<OrganisationName, std::size_t, std::less<>> m_byName;
    bool m_areDeclared = false;
};

} // namespace plankledge
