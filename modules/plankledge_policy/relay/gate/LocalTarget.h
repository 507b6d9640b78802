#pragma once

#include "plankledge_policy/Events.h"

#include <compare>
#include <optional>
#include <set>

namespace plankledge
{

//==============================================================================
/**
    The announced state of the target that runs on the same instance as this node.

    A target that has stated that it is leaving gets no new work for the rest of that
    incarnation, and a node that has just started accepts none before the first announcement.
    Announcements may arrive late, out of order, and from an incarnation that has ended.

    A node that has restarted doesn't remember which incarnations are leaving. Until it has learned that
    from elsewhere, it takes a single announcement for one that may have been sent before the target left:
    a target is served only after a second one with a higher sequence number.

    Of two incarnations under one id, the one with the later start is the newer. Within an
    incarnation, announcements are ordered by their sequence number. Start times are compared
    only among targets on this instance, so they are all read from one clock.
*/
class LocalTarget
{
public:
    //==============================================================================
    enum class Change : std::uint8_t
    {
        none,
        replaced,  /**< a target with another id took its place */
        restarted, /**< the target restarted under the same id */
        leaving
    };

    /** @param announcementPeriod   interval between announcements of a target */
    explicit LocalTarget (Duration announcementPeriod) noexcept;

    /** Applies an announcement.

        @returns what it changed
    */
    Change onAnnounced (const TargetAnnounced& announced, Time now);

    /** Applies that an incarnation of the target, also one that has not been announced to this process, is
        leaving.

        @returns Change::leaving if this was not known
    */
    Change onLeavingStated (const TargetIncarnation& incarnation);

    /** Requires a second announcement before a target is served, until onLeavingTargetsKnown() is called. */
    void requireSecondAnnouncement() noexcept { m_isSingleAnnouncementEnough = false; }

    /** Must be called when all incarnations are known that were leaving when this process started. */
    void onLeavingTargetsKnown() noexcept { m_isSingleAnnouncementEnough = true; }

    /** @returns whether the target was announced recently and is not leaving */
    bool isServing (Time now) const noexcept;

    /** @returns whether the target is draining or gone */
    bool isLeaving() const noexcept { return m_leaving.contains (incarnation()); }

    const TargetId& id() const noexcept { return m_announced.m_target; }
    TargetIncarnation incarnation() const { return { m_announced.m_target, m_announced.m_startedAt }; }
    const ServiceName& service() const noexcept { return m_announced.m_service; }
    const Endpoint& endpoint() const noexcept { return m_announced.m_endpoint; }
    std::uint32_t slots() const noexcept { return m_announced.m_slots; }

private:
    //==============================================================================
    bool isRecentlyAnnounced (Time now) const noexcept;
    bool isStale (const TargetIncarnation& incarnation, Time now) const;
    Change adopt (const TargetAnnounced& announced, Time now);
    Change onGone (const TargetId& target, Time now);
    Change markLeaving (const TargetIncarnation& incarnation);

    const Duration m_announcementTimeout;
    TargetAnnounced m_announced;              /**< latest announcement of the current incarnation */
    std::set<TargetIncarnation> m_leaving;    /**< incarnations that drain or have gone; not served again */
    std::set<TargetIncarnation> m_superseded; /**< incarnations that were followed by another */
    std::set<TargetId> m_earlyGone;           /**< targets announced as gone before any other announcement */
    std::set<TargetId> m_pendingGone;         /**< targets that restarted before being announced as gone */
    Time m_lastAnnouncedAt;
    Time m_currentSince;                      /**< when the current incarnation was first announced */
    bool m_isGoneReceived = false;            /**< for the current incarnation */
    bool m_isSingleAnnouncementEnough = true; /**< to serve a target */
};

} // namespace plankledge
