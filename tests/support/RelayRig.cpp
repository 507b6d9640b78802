#include "support/RelayRig.h"

#include <absl/status/status.h>

namespace plankledge::test
{

namespace
{

const std::string rigHost = "rig.example";
constexpr Duration tick = Milliseconds (5);
constexpr Duration announcementPeriod = Milliseconds (1500);
constexpr Duration defaultServiceTime = Milliseconds (20);

} // namespace

//==============================================================================
Route makeRoute (const RouteName& name, const ServiceName& service, bool isRepeatable)
{
    return {
        name, isRepeatable, 0, std::chrono::seconds (5), std::chrono::seconds (1), 3, { { service, 1 } }
    };
}

RouteTable makeTable (ConfigurationVersion version, const std::vector<Route>& routes,
                      Organisations organisations)
{
    RouteTable::Hosts hosts;

    for (const auto& route : routes)
        hosts[rigHost]["/" + route.m_name + "/"] = route;

    return { version, std::move (hosts), std::move (organisations) };
}

//==============================================================================
RelayRig::RelayRig() = default;

void RelayRig::add (const InstanceName& instance, const ServiceName& service, const ZoneName& zone,
                    std::uint32_t slots)
{
    addUnregistered (instance, service, zone, slots);

    for (const auto& [name, other] : m_hosts)
        if (other.m_isAlive)
            apply (name, MembersRead { m_members, {} });
}

void RelayRig::addUnregistered (const InstanceName& instance, const ServiceName& service,
                                const ZoneName& zone, std::uint32_t slots)
{
    auto& host = m_hosts[instance];
    const auto number = static_cast<unsigned> (m_hosts.size());
    host.m_settings.m_self = {
        { instance, 1 },
        service,
        zone,
        { "10.0." + std::to_string (number / 250) + "." + std::to_string (number % 250), 7000 },
        MemberState::serving,
        0
    };
    host.m_settings.m_seed = number;
    host.m_slots = slots;
    host.m_target = [] (RelayRig& rig, const InstanceName& name, const RelayToTarget& dispatch) {
        rig.reply (name, dispatch.m_call, TargetReplyKind::answered, defaultServiceTime);
    };
    m_members.push_back (host.m_settings.m_self);
    start (instance);
    announce (instance);
}

void RelayRig::start (const InstanceName& instance)
{
    auto& host = m_hosts.at (instance);
    host.m_settings.m_self.m_id.m_incarnation = ++host.m_processIncarnation;
    host.m_reducer = std::make_unique<Reducer> (
        host.m_settings, m_settings, [this] (const std::string& text) -> absl::StatusOr<RouteTable> {
            const auto found = m_tables.find (text);

            if (found == m_tables.end())
                return absl::InvalidArgumentError ("unknown route table");

            return found->second;
        });
    host.m_isAlive = true;
    host.m_hasExited = false;
    host.m_frozenUntil = Time();
    execute (instance, host.m_reducer->start (m_now));
}

void RelayRig::kill (const InstanceName& instance)
{
    m_hosts.at (instance).m_isAlive = false;

    for (const auto& [ends, link] : m_linkIds)
    {
        if (ends.first == instance)
            deliver (ends.second, LinkClosed { link }, latency);

        if (ends.second == instance)
            deliver (ends.first, PeerLost { instance }, latency);
    }
}

void RelayRig::freeze (const InstanceName& instance, Duration duration)
{
    m_hosts.at (instance).m_frozenUntil = m_now + duration;
}

void RelayRig::addPartition (const InstanceName& one, const InstanceName& other)
{
    m_partitions.insert (std::minmax (one, other));
}

bool RelayRig::isPartitioned (const InstanceName& one, const InstanceName& other) const
{
    return m_partitions.contains (std::minmax (one, other));
}

void RelayRig::announce (const InstanceName& instance, AnnouncedState state)
{
    auto& host = m_hosts.at (instance);
    host.m_isTargetServing = state == AnnouncedState::serving;
    host.m_announcedAt = m_now;
    apply (instance, TargetAnnounced { instance + "-target-" + std::to_string (host.m_targetIncarnation),
                                       state,
                                       ++host.m_sequence,
                                       host.m_settings.m_self.m_service,
                                       { "10.1.0.1", 8080 },
                                       host.m_slots,
                                       host.m_targetStartedAt });
}

void RelayRig::restartTarget (const InstanceName& instance, std::uint32_t slots)
{
    auto& host = m_hosts.at (instance);
    host.m_slots = slots;
    host.m_sequence = 0;
    host.m_targetStartedAt = m_now.time_since_epoch();
    announce (instance);
}

void RelayRig::setTarget (const InstanceName& instance, TargetBehaviour behaviour)
{
    m_hosts.at (instance).m_target = std::move (behaviour);
}

void RelayRig::publish (const RouteTable& routes)
{
    m_published = registerRoutes (routes);

    for (const auto& [instance, host] : m_hosts)
        if (host.m_isAlive)
            apply (instance, RoutesRead { m_published });
}

std::string RelayRig::registerRoutes (const RouteTable& routes)
{
    const auto name = "version " + std::to_string (routes.version());
    m_tables[name] = routes;
    return name;
}

void RelayRig::applyEvent (const InstanceName& instance, EventBody event)
{
    apply (instance, std::move (event));
}

void RelayRig::sendMembersAndRoutes (const InstanceName& instance)
{
    apply (instance, MembersRead { m_members, {} });
    apply (instance, RoutesRead { m_published });
}

//==============================================================================
Ticket RelayRig::send (const InstanceName& instance, const std::string& id, const std::string& path,
                       Duration timeout, const Credential& credential)
{
    const auto ticket = m_nextTicket++;
    RelayRequestReceived received;
    received.m_ticket = ticket;
    received.m_host = rigHost;
    received.m_content = { id, "GET", path, {}, {} };
    received.m_timeout = timeout;
    received.m_credential = credential;
    deliver (instance, std::move (received), Duration::zero());
    return ticket;
}

void RelayRig::close (const InstanceName& instance, Ticket ticket)
{
    deliver (instance, CallerDisconnected { ticket }, Duration::zero());
}

void RelayRig::reply (const InstanceName& instance, CallId call, TargetReplyKind kind, Duration after,
                      std::uint16_t status)
{
    replyWith (instance, { call, kind, { status, {}, "answer" } }, after);
}

void RelayRig::replyWith (const InstanceName& instance, TargetReply reply, Duration after)
{
    deliver (instance, std::move (reply), after, m_hosts.at (instance).m_processIncarnation);
}

std::vector<RelayRig::Run> RelayRig::runsOf (const std::string& id) const
{
    std::vector<Run> result;

    for (const auto& run : m_runs)
        if (run.m_dispatch.m_content.m_id == id)
            result.push_back (run);

    return result;
}

void RelayRig::run (Duration duration)
{
    const auto end = m_now + duration;

    while (m_now < end)
    {
        while (! m_queue.empty() && m_queue.top().m_at <= m_now)
        {
            const auto next = m_queue.top();
            m_queue.pop();
            auto& host = m_hosts.at (next.m_instance);

            if (! host.m_isAlive ||
                (next.m_processIncarnation != 0 && next.m_processIncarnation != host.m_processIncarnation))
                continue;

            if (host.m_frozenUntil > m_now)
                deliver (next.m_instance, next.m_event, host.m_frozenUntil - m_now,
                         next.m_processIncarnation);
            else
                apply (next.m_instance, next.m_event);
        }

        m_now += tick;

        for (auto& [instance, host] : m_hosts)
        {
            if (! host.m_isAlive || host.m_frozenUntil > m_now)
                continue;

            if (host.m_isTargetServing && m_now - host.m_announcedAt >= announcementPeriod)
                announce (instance);

            if (host.m_isAlive && host.m_reducer->nextWakeUp().value_or (m_now) <= m_now)
                apply (instance, TimePassed {});
        }
    }
}

void RelayRig::deliver (const InstanceName& instance, EventBody event, Duration after, unsigned incarnation)
{
    m_queue.push ({ m_now + after, ++m_order, instance, incarnation, std::move (event) });
}

void RelayRig::apply (const InstanceName& instance, EventBody event)
{
    execute (instance, m_hosts.at (instance).m_reducer->apply ({ m_now, std::move (event) }));
}

//==============================================================================
void RelayRig::execute (const InstanceName& instance, const Effects& effects)
{
    for (const auto& effect : effects)
        std::visit ([&] (const auto& value) { execute (instance, value); }, effect);
}

void RelayRig::execute (const InstanceName& from, const SendToPeer& effect)
{
    const auto& to = effect.m_instance;
    const auto found = m_hosts.find (to);
    m_crashUpdates += std::holds_alternative<CrashUpdate> (effect.m_message) ? 1 : 0;
    m_hellos += std::holds_alternative<PeerHello> (effect.m_message) ? 1 : 0;

    if (isPartitioned (from, to))
        return;

    if (found == m_hosts.end() || ! found->second.m_isAlive)
    {
        std::vector<CallId> unsent;

        if (const auto* request = std::get_if<RelayRequest> (&effect.m_message))
            unsent.push_back (request->m_callId);

        return deliver (from, PeerUnreachable { to, std::move (unsent) }, latency);
    }

    const auto link = m_linkIds.try_emplace ({ from, to }, m_linkIds.size() + 1).first->second;
    m_links[link] = from;
    deliver (to, PeerMessageReceived { link, m_hosts.at (from).m_settings.m_self.m_id, effect.m_message },
             latency, found->second.m_processIncarnation);
}

void RelayRig::execute (const InstanceName& from, const ReplyOnLink& effect)
{
    const auto& to = m_links.at (effect.m_link);

    if (! isPartitioned (from, to))
        deliver (to, PeerMessageReceived { 0, m_hosts.at (from).m_settings.m_self.m_id, effect.m_message },
                 latency, m_hosts.at (to).m_processIncarnation);
}

void RelayRig::execute (const InstanceName&, const AnswerRelay& effect)
{
    m_answers[effect.m_ticket] = { effect.m_result, m_now };
}

void RelayRig::execute (const InstanceName& from, const RelayToTarget& effect)
{
    m_runs.push_back ({ from, effect, m_now });
    m_hosts.at (from).m_target (*this, from, effect);
}

void RelayRig::execute (const InstanceName& from, const CancelTargetCall& effect)
{
    for (auto& run : m_runs)
        if (run.m_instance == from && run.m_dispatch.m_call == effect.m_call)
            run.m_isCancelled = true;
}

void RelayRig::execute (const InstanceName& from, const Exit&)
{
    m_hosts.at (from).m_hasExited = true;

    if (! m_keepsExitedProcesses)
        kill (from);
}

} // namespace plankledge::test
