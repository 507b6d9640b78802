#pragma once

#include "plankledge_policy/Events.h"

#include <compare>
#include <optional>
#include <set>

namespace plankledge
{

//==============================================================================
/** One life of a target: it may start again under the id that it had. */
struct TargetLife
{
    TargetId m_target;
    std::optional<Duration> m_startedAt; /**< by its own clock; nullopt: it does not say */

    auto operator<=> (const TargetLife&) const = default;
};

//==============================================================================
/**
    What the target beside this node said of itself.

    Once it has said that it leaves it takes no new work for the rest of that life, and a
    node that has just started takes none for it before it has heard it. Announcements may
    come late and out of order, and of a life that has ended.

    Of two lives under one id the later start is the newer one, whatever the order in which
    they are heard; within a life announcements are ordered by their count. Starts are
    compared only among targets beside this node, so one clock tells them all.
*/
class OwnTarget
{
public:
    //==============================================================================
    enum class Change : std::uint8_t
    {
        none,
        newLife,   /**< another target took the place */
        restarted, /**< the target itself started again, under its id */
        leaving
    };

    /** @param announcementPeriod   between two announcements of a target */
    explicit OwnTarget (Duration announcementPeriod) noexcept;

    Change onAnnounced (const TargetAnnounced& announced, Time now);

    /** @returns whether the target was heard lately and has not said that it leaves */
    bool isServing (Time now) const noexcept;

    /** @returns whether the target has left or is about to */
    bool isLeaving() const noexcept { return m_leaving.contains (life()); }

    const TargetId& id() const noexcept { return m_announced.m_target; }
    TargetLife life() const { return { m_announced.m_target, m_announced.m_startedAt }; }
    const ServiceName& service() const noexcept { return m_announced.m_service; }
    const Endpoint& endpoint() const noexcept { return m_announced.m_endpoint; }
    std::uint32_t slots() const noexcept { return m_announced.m_slots; }

private:
    //==============================================================================
    bool isHeardLately (Time now) const noexcept;
    bool isOfThePast (const TargetLife& life, Time now) const;
    Change begin (const TargetAnnounced& announced, Time now);
    Change onGone (const TargetId& target, Time now);
    Change leave (const TargetLife& life);

    const Duration m_silenceLimit;
    TargetAnnounced m_announced;      /**< the newest of the life that is served */
    std::set<TargetLife> m_leaving;   /**< lives that said so; never taken up again */
    std::set<TargetLife> m_past;      /**< lives that another one followed */
    std::set<TargetId> m_goneUnheard; /**< targets whose end was heard before anything else of them */
    std::set<TargetId> m_endsDue;     /**< targets of which a life that drained was followed by another before
                                        its end was heard */
    Time m_heardAt;
    Time m_beganAt;            /**< when the life that is served was first heard */
    bool m_isEndHeard = false; /**< of that life */
};

} // namespace plankledge
