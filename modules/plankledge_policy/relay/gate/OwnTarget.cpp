#include "plankledge_policy/relay/gate/OwnTarget.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Announcements that may fail to come before the target counts as silent, and a margin: one may be
   seconds late. */
constexpr int missedAnnouncements = 2;
constexpr Duration lateness = Milliseconds (1500);

/** The end of an earlier life is expected so long after a later one was first heard: announcements may be
   seconds late, and a target that has said that it drains serves on for several. */
constexpr Duration lateEnd = std::chrono::seconds (6);

/** Ends of targets that were never heard are remembered for so many; any writer can name new ones. */
constexpr std::size_t mostGoneUnheard = 1000;

} // namespace

//==============================================================================
OwnTarget::OwnTarget (Duration announcementPeriod) noexcept
    : m_silenceLimit (announcementPeriod * missedAnnouncements + lateness)
{
}

OwnTarget::Change OwnTarget::onAnnounced (const TargetAnnounced& announced, Time now)
{
    if (announced.m_state == AnnouncedState::gone)
        return onGone (announced.m_target, now);

    const TargetLife said { announced.m_target, announced.m_startedAt };

    if (said != life())
        return isOfThePast (said, now) ? Change::none : begin (announced, now);

    m_heardAt = now;

    if (announced.m_state == AnnouncedState::draining)
        return leave (said);

    if (announced.m_sequence > m_announced.m_sequence)
        m_announced = announced;

    return Change::none;
}

/** Without this a late announcement of an earlier life would take the place of the one that serves. */
bool OwnTarget::isOfThePast (const TargetLife& said, Time now) const
{
    if (id().empty())
        return false;

    // Also where one of the two does not tell its start: it is no later one for sure.
    const auto isNotLater = [&said] (const TargetLife& other) {
        return other.m_target == said.m_target && other.m_startedAt >= said.m_startedAt;
    };

    if (isNotLater (life()))
        return true;

    // Of two targets the one that is heard stays: what it follows, or started before it, is late.
    const bool isFollowed = std::any_of (m_past.begin(), m_past.end(), isNotLater);
    const bool startedBefore = said.m_startedAt.has_value() && said.m_startedAt < m_announced.m_startedAt;
    return (isFollowed || startedBefore) && isHeardLately (now);
}

OwnTarget::Change OwnTarget::begin (const TargetAnnounced& announced, Time now)
{
    const auto before = life();
    const TargetLife next { announced.m_target, announced.m_startedAt };

    if (! before.m_target.empty())
        m_past.insert (before);

    if (before.m_target == next.m_target && isLeaving() && ! m_isEndHeard)
        m_endsDue.insert (before.m_target);

    m_announced = announced;
    m_heardAt = now;
    m_beganAt = now;
    m_isEndHeard = false;

    if (announced.m_state == AnnouncedState::draining || m_goneUnheard.erase (next.m_target) > 0)
        m_leaving.insert (next);

    return before.m_target == next.m_target ? Change::restarted : Change::newLife;
}

/** The end of a life does not say which one it is of. It is of the one that is served, since work for a
   target that has gone is lost, unless an earlier one that drained still owes it. */
OwnTarget::Change OwnTarget::onGone (const TargetId& target, Time now)
{
    if (target == id())
    {
        if (m_endsDue.erase (target) > 0 && now - m_beganAt <= lateEnd)
            return Change::none;

        m_isEndHeard = true;
        return leave (life());
    }

    bool isKnown = false;

    for (const auto& past : m_past)
    {
        if (past.m_target != target)
            continue;

        m_leaving.insert (past);
        isKnown = true;
    }

    if (isKnown)
        return Change::none;

    if (m_goneUnheard.size() >= mostGoneUnheard)
        m_goneUnheard.erase (m_goneUnheard.begin());

    m_goneUnheard.insert (target);

    return Change::none;
}

OwnTarget::Change OwnTarget::leave (const TargetLife& leaving)
{
    const bool isNews = m_leaving.insert (leaving).second;
    return isNews ? Change::leaving : Change::none;
}

bool OwnTarget::isHeardLately (Time now) const noexcept
{
    return now - m_heardAt <= m_silenceLimit;
}

bool OwnTarget::isServing (Time now) const noexcept
{
    return ! id().empty() && ! isLeaving() && isHeardLately (now);
}

} // namespace plankledge
