#include "plankledge_policy/relay/gate/OwnTarget.h"

namespace plankledge
{

namespace
{

/** Announcements that may fail to come before the target counts as silent, and a margin: one may be
   seconds late. */
constexpr int missedAnnouncements = 2;
constexpr Duration lateness = Milliseconds (1500);

} // namespace

//==============================================================================
OwnTarget::OwnTarget (Duration announcementPeriod) noexcept
    : m_silenceLimit (announcementPeriod * missedAnnouncements + lateness)
{
}

OwnTarget::Change OwnTarget::onAnnounced (const TargetAnnounced& announced, Time now)
{
    const auto& target = announced.m_target;

    if (announced.m_state == AnnouncedState::gone)
        return leave (target);

    if (m_past.contains (target))
        return Change::none;

    if (target != id())
    {
        if (! id().empty())
            m_past.insert (id());

        m_announced = announced;
        m_heardAt = now;

        if (announced.m_state == AnnouncedState::draining)
            m_leaving.insert (target);

        return Change::newLife;
    }

    m_heardAt = now;

    if (announced.m_state == AnnouncedState::draining)
        return leave (target);

    if (announced.m_sequence > m_announced.m_sequence)
        m_announced = announced;

    return Change::none;
}

OwnTarget::Change OwnTarget::leave (const TargetId& target)
{
    const bool isNews = m_leaving.insert (target).second;
    return isNews && target == id() ? Change::leaving : Change::none;
}

bool OwnTarget::isServing (Time now) const noexcept
{
    return ! id().empty() && ! isLeaving() && now - m_heardAt <= m_silenceLimit;
}

} // namespace plankledge
