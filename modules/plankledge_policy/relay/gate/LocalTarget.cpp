#include "plankledge_policy/relay/gate/LocalTarget.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Consecutive announcements that may be missed before the target is no longer served, and a margin for a
    late one. */
constexpr int maxMissedAnnouncements = 2;
constexpr Duration maxAnnouncementDelay = Milliseconds (1500);

/** How long after a restart the earlier incarnation may still be announced as gone: it may drain for seconds,
    and the announcement may be late. */
constexpr Duration maxGoneDelay = std::chrono::seconds (6);

/** Bound on m_earlyGone, since announcements can name arbitrary target ids. */
constexpr std::size_t maxEarlyGone = 1000;

/** Bound on m_leaving for incarnations that other nodes report. */
constexpr std::size_t maxReportedLeaving = 1000;

} // namespace

//==============================================================================
LocalTarget::LocalTarget (Duration announcementPeriod) noexcept
    : m_announcementTimeout (announcementPeriod * maxMissedAnnouncements + maxAnnouncementDelay)
{
}

LocalTarget::Change LocalTarget::onAnnounced (const TargetAnnounced& announced, Time now)
{
    if (announced.m_state == AnnouncedState::gone)
        return onGone (announced.m_target, now);

    const TargetIncarnation sender { announced.m_target, announced.m_startedAt };

    if (sender != incarnation())
        return isStale (sender, now) ? Change::none : adopt (announced, now);

    m_lastAnnouncedAt = now;

    if (announced.m_state == AnnouncedState::draining)
        return markLeaving (sender);

    if (announced.m_sequence > m_announced.m_sequence)
    {
        m_announced = announced;
        m_isSingleAnnouncementEnough = true;
    }

    return Change::none;
}

LocalTarget::Change LocalTarget::onLeavingStated (const TargetIncarnation& leaving)
{
    if (leaving != incarnation() && m_leaving.size() >= maxReportedLeaving)
        return Change::none;

    return markLeaving (leaving);
}

/** Guards against a late announcement of an earlier incarnation replacing the current one. */
bool LocalTarget::isStale (const TargetIncarnation& sender, Time now) const
{
    if (id().empty())
        return false;

    // An incarnation without a start time is not known to be later.
    const auto isNotLater = [&sender] (const TargetIncarnation& other) {
        return other.m_target == sender.m_target && other.m_startedAt >= sender.m_startedAt;
    };

    if (isNotLater (incarnation()) || m_leaving.contains (sender))
        return true;

    // While the current target is announced, one that it superseded or that started earlier is stale.
    const bool isSuperseded = std::any_of (m_superseded.begin(), m_superseded.end(), isNotLater);
    const bool startedEarlier =
        sender.m_startedAt.has_value() && sender.m_startedAt < m_announced.m_startedAt;
    return (isSuperseded || startedEarlier) && isRecentlyAnnounced (now);
}

LocalTarget::Change LocalTarget::adopt (const TargetAnnounced& announced, Time now)
{
    const auto before = incarnation();
    const TargetIncarnation next { announced.m_target, announced.m_startedAt };

    if (! before.m_target.empty())
        m_superseded.insert (before);

    if (before.m_target == next.m_target && isLeaving() && ! m_isGoneReceived)
        m_pendingGone.insert (before.m_target);

    m_announced = announced;
    m_lastAnnouncedAt = now;
    m_currentSince = now;
    m_isGoneReceived = false;

    if (announced.m_state == AnnouncedState::draining || m_earlyGone.erase (next.m_target) > 0)
        m_leaving.insert (next);

    return before.m_target == next.m_target ? Change::restarted : Change::replaced;
}

/** A gone announcement carries no start time. It applies to the current incarnation, since work sent to a
    target that has gone is lost, unless it is still due from an earlier incarnation that drained. */
LocalTarget::Change LocalTarget::onGone (const TargetId& target, Time now)
{
    if (target == id())
    {
        if (m_pendingGone.erase (target) > 0 && now - m_currentSince <= maxGoneDelay)
            return Change::none;

        m_isGoneReceived = true;
        return markLeaving (incarnation());
    }

    bool isKnown = false;

    for (const auto& past : m_superseded)
    {
        if (past.m_target != target)
            continue;

        m_leaving.insert (past);
        isKnown = true;
    }

    if (isKnown)
        return Change::none;

    if (m_earlyGone.size() >= maxEarlyGone)
        m_earlyGone.erase (m_earlyGone.begin());

    m_earlyGone.insert (target);

    return Change::none;
}

LocalTarget::Change LocalTarget::markLeaving (const TargetIncarnation& leaving)
{
    const bool isNew = m_leaving.insert (leaving).second;
    return isNew ? Change::leaving : Change::none;
}

bool LocalTarget::isRecentlyAnnounced (Time now) const noexcept
{
    return now - m_lastAnnouncedAt <= m_announcementTimeout;
}

bool LocalTarget::isServing (Time now) const noexcept
{
    return ! id().empty() && ! isLeaving() && isRecentlyAnnounced (now) && m_isSingleAnnouncementEnough;
}

} // namespace plankledge
