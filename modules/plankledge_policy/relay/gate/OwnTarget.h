#pragma once

#include "plankledge_policy/Events.h"

#include <set>

namespace plankledge
{

//==============================================================================
/**
    What the target beside this node said of itself.

    Once it has said that it leaves it takes no new work for the rest of that life, and a
    node that has just started takes none for it before it has heard it. Announcements may
    come late and out of order.
*/
class OwnTarget
{
public:
    //==============================================================================
    enum class Change : std::uint8_t
    {
        none,
        newLife,
        leaving
    };

    /** @param announcementPeriod   between two announcements of a target */
    explicit OwnTarget (Duration announcementPeriod) noexcept;

    Change onAnnounced (const TargetAnnounced& announced, Time now);

    /** @returns whether the target was heard lately and has not said that it leaves */
    bool isServing (Time now) const noexcept;

    /** @returns whether the target has left or is about to */
    bool isLeaving() const noexcept { return m_leaving.contains (m_announced.m_target); }

    const TargetId& id() const noexcept { return m_announced.m_target; }
    const ServiceName& service() const noexcept { return m_announced.m_service; }
    const Endpoint& endpoint() const noexcept { return m_announced.m_endpoint; }
    std::uint32_t slots() const noexcept { return m_announced.m_slots; }

private:
    //==============================================================================
    Change leave (const TargetId& target);

    const Duration m_silenceLimit;
    TargetAnnounced m_announced;  /**< the newest of the life that is served */
    std::set<TargetId> m_leaving; /**< lives that said so; never taken up again */
    std::set<TargetId> m_past;    /**< lives that another one followed */
    Time m_heardAt;
};

} // namespace plankledge
