#pragma once

#include "plankledge_core/Declarations.h"
#include "plankledge_core/Time.h"

#include <optional>

namespace plankledge
{

//==============================================================================
/**
    Up to when it is known that no configuration newer than the one in force was written.

    Each piece of evidence says: nothing above a version had been written by a time. It
    holds for every version from that one on, so evidence about a version that this node
    does not have yet waits until it has it.

    Times are of the own clock, and of when the question was asked, never of its answer.
*/
class ConfigurationProof
{
public:
    //==============================================================================
    /** Evidence came in. */
    void add (ConfigurationVersion version, Time askedAt) noexcept;

    /** Another version is in force here. */
    void onInForce (ConfigurationVersion version) noexcept;

    /** @returns by when nothing newer had been written; nullopt: nothing is known */
    std::optional<Time> provenAt() const noexcept { return m_provenAt; }

private:
    //==============================================================================
    struct Evidence
    {
        ConfigurationVersion m_version = 0;
        Time m_askedAt;
    };

    ConfigurationVersion m_inForce = 0;
    std::optional<Time> m_provenAt;
    std::optional<Evidence> m_waiting; /**< about a version that is not in force yet */
};

} // namespace plankledge
