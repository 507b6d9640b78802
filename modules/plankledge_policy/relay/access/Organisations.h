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

/** How many requests an organisation may send, all nodes together. */
struct RequestLimit
{
    double m_perSecond = 0.0;
    double m_burst = 0.0; /**< requests beyond the rate, after a time without any */

    auto operator<=> (const RequestLimit&) const = default;
};

//==============================================================================
/** Whom requests are sent for, as operators declare it. */
struct Organisation
{
    OrganisationName m_name;
    std::uint32_t m_priority = 0;        /**< of its requests; 0 is the last to be refused */
    std::optional<RequestLimit> m_limit; /**< nullopt: it may send any number */
    std::vector<std::string> m_keys;     /**< any of them speaks for it */

    auto operator<=> (const Organisation&) const = default;
};

//==============================================================================
/** The organisations of one version of the configuration, and which key belongs to which. */
class Organisations
{
public:
    //==============================================================================
    /** No organisations are declared: requests need no key. */
    Organisations() = default;

    /** @param declared   no two of them share a key */
    explicit Organisations (std::vector<Organisation> declared);

    /** @returns whether requests need a key, be it that no organisation has one */
    bool areDeclared() const noexcept { return m_areDeclared; }

    /** @returns the organisation that the key speaks for, or nullptr */
    const Organisation* ofKey (std::string_view key) const noexcept;

    /** @returns the organisation of that name, or nullptr */
    const Organisation* find (std::string_view name) const noexcept;

    const std::vector<Organisation>& all() const noexcept { return m_declared; }

    auto operator<=> (const Organisations&) const = default;

private:
    //==============================================================================
    std::vector<Organisation> m_declared;
    std::map<std::string, std::size_t, std::less<>> m_byKey; /**< places in m_declared */
    std::map<OrganisationName, std::size_t, std::less<>> m_byName;
    bool m_areDeclared = false;
};

} // namespace plankledge
