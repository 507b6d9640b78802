#pragma once

#include "plankledge_core/Declarations.h"
#include "plankledge_core/Time.h"

#include <optional>

namespace plankledge
{

//==============================================================================
/**
    Tracks the latest time at which the configuration in force is known to have been the newest.

    Each item of evidence states that no version above a given one had been written by a
    given time. It also holds for every later version, so evidence about a version that this
    node has not received yet is kept until that version is in force.

    All times are of the local clock and denote when the question was sent, not when it was
    answered.
*/
class ConfigurationProof
{
public:
    //==============================================================================
    /** Adds evidence that no version above the given one had been written at the given time.

        @param askedAt   when the question was sent, by the local clock
    */
    void add (ConfigurationVersion version, Time askedAt) noexcept;

    /** Must be called when another version takes effect on this node. */
    void onInForce (ConfigurationVersion version) noexcept;

    /** @returns the latest time at which no newer version existed, or nullopt if there is no evidence */
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
    std::optional<Evidence> m_pending; /**< about a version that is not yet in force */
};

} // namespace plankledge
