#include "support/Rig.h"

#include "plankledge_core/Hash.h"
#include "plankledge_formats/DeclarationsJson.h"
#include "plankledge_wire/FrameCodec.h"
#include <cassert>

namespace plankledge::test
{

namespace
{

constexpr Duration maxTickInterval = Milliseconds (100);

} // namespace

//==============================================================================
void Rig::schedule (Duration delay, std::function<void()> action)
{
    m_queue.push ({ m_now + delay, m_order++, std::move (action) });
}

void Rig::run (Duration duration)
{
    const auto until = m_now + duration;

    while (! m_queue.empty() && m_queue.top().m_at <= until)
    {
        const auto next = m_queue.top();
        m_queue.pop();
        m_now = next.m_at;
        next.m_action();
    }

    m_now = until;
}

void Rig::post (const InstanceName& instance, Duration delay, EventBody body)
{
    const auto id = m_hosts.at (instance).m_settings.m_self.m_id;
    schedule (delay, [this, id, body = std::move (body)] { deliver (id, body); });
}

void Rig::deliver (const NodeId& to, EventBody body)
{
    auto& host = m_hosts.at (to.m_instance);

    if (! host.m_isAlive || host.m_settings.m_self.m_id != to)
        return;

    if (host.m_frozenUntil > m_now)
        return schedule (host.m_frozenUntil - m_now,
                         [this, to, body = std::move (body)] { deliver (to, body); });

    apply (host, body);
}

void Rig::apply (Host& host, const EventBody& body)
{
    execute (host, host.m_reducer->apply ({ m_now, body }));

    if (host.m_isAlive)
        scheduleTick (host);
}

void Rig::scheduleTick (Host& host)
{
    const auto due =
        std::min (host.m_reducer->nextWakeUp().value_or (m_now + maxTickInterval), m_now + maxTickInterval);

    if (host.m_tickAt.has_value() && *host.m_tickAt > m_now && *host.m_tickAt <= due)
        return;

    host.m_tickAt = due;
    const auto id = host.m_settings.m_self.m_id;
    schedule (std::max (Duration::zero(), due - m_now), [this, id, due] {
        if (m_hosts.at (id.m_instance).m_tickAt == due)
            deliver (id, TimePassed {});
    });
}

//==============================================================================
void Rig::declare (const std::string& text)
{
    ConfigurationRecord record;
    record.m_id = "test";
    record.m_text = text;
    m_configurationLog.push_back (encodeConfigurationRecord (record));
}

void Rig::add (const InstanceName& instance, const ServiceName& service, const ZoneName& zone)
{
    auto& host = m_hosts[instance];
    auto& settings = host.m_settings;
    const auto number = static_cast<unsigned> (m_hosts.size());
    settings.m_self = { { instance, 1 }, service, zone, { "10.0.0." + std::to_string (number), 7001 } };
    settings.m_seed = m_random.below (1U << 30U);

    if (m_adjustSettings)
        m_adjustSettings (settings);

    start (instance);
}

void Rig::start (const InstanceName& instance)
{
    auto& host = m_hosts.at (instance);
    host.m_reducer = std::make_unique<Reducer> (
        host.m_settings, [] (const std::string& text) { return parseValidDeclarations (text); });
    host.m_isAlive = true;
    host.m_startedAt = m_now;
    host.m_frozenUntil = Time();
    host.m_tickAt.reset();
    execute (host, host.m_reducer->start (m_now));
    scheduleTick (host);
}

void Rig::restart (const InstanceName& instance)
{
    kill (instance);
    auto& host = m_hosts.at (instance);
    ++host.m_settings.m_self.m_id.m_incarnation;
    start (instance);
}

void Rig::kill (const InstanceName& instance)
{
    if (isAlive (instance))
        end (instance);
}

void Rig::end (const InstanceName& instance)
{
    auto& host = m_hosts.at (instance);
    host.m_isAlive = false;
    host.m_endedAt = m_now;
    const auto id = host.m_settings.m_self.m_id;

    for (const auto& [number, link] : m_links)
    {
        if (link.m_to == id && ! isPartitioned (instance, link.m_from.m_instance))
            post (link.m_from.m_instance, Milliseconds (1), PeerLost { instance });

        if (link.m_from == id && ! isPartitioned (instance, link.m_to.m_instance))
            post (link.m_to.m_instance, Milliseconds (1), LinkClosed { number });
    }

    std::erase_if (m_links,
                   [&id] (const auto& link) { return link.second.m_to == id || link.second.m_from == id; });
}

void Rig::freeze (const InstanceName& instance, Duration duration)
{
    m_hosts.at (instance).m_frozenUntil = m_now + duration;
}

Ticket Rig::request (const InstanceName& instance, RequestReceived request)
{
    const auto ticket = m_nextTicket++;
    request.m_ticket = ticket;
    post (instance, m_delay(), std::move (request));
    return ticket;
}

const Answer* Rig::answer (Ticket ticket) const
{
    const auto found = m_answers.find (ticket);
    return found != m_answers.end() ? &found->second : nullptr;
}

bool Rig::isAlive (const InstanceName& instance) const
{
    const auto found = m_hosts.find (instance);
    return found != m_hosts.end() && found->second.m_isAlive;
}

std::vector<InstanceName> Rig::instances() const
{
    std::vector<InstanceName> names;

    for (const auto& [instance, host] : m_hosts)
        names.push_back (instance);

    return names;
}

//==============================================================================
void Rig::execute (Host& host, const Effects& effects)
{
    for (const auto& effect : effects)
    {
        if (m_onEffect)
            m_onEffect (host.m_settings.m_self.m_id.m_instance, effect);

        std::visit ([&] (const auto& value) { execute (host, value); }, effect);
    }
}

void Rig::execute (Host& host, const AnswerRequest& effect)
{
    assert (! m_answers.contains (effect.m_ticket) && "a request is answered once");
    m_answers[effect.m_ticket] = { effect.m_result, m_now };

    if (m_onAnswer)
        m_onAnswer (host.m_settings.m_self.m_id.m_instance, effect.m_ticket, effect.m_result);
}

LinkId Rig::linkBetween (const NodeId& from, const NodeId& to)
{
    auto& link = m_linkIds[{ from, to }];

    if (link == 0)
        link = m_linkIds.size();

    m_links[link] = { from, to };
    return link;
}

void Rig::execute (Host& host, const SendToPeer& effect)
{
    const auto& self = host.m_settings.m_self.m_id;
    const auto found = m_hosts.find (effect.m_instance);

    if (isPartitioned (self.m_instance, effect.m_instance))
        return;

    if (found == m_hosts.end() || ! found->second.m_isAlive)
    {
        std::vector<CallId> unsent;

        if (const auto* call = std::get_if<CallRequest> (&effect.m_message))
            unsent.push_back (call->m_callId);

        return post (self.m_instance, m_delay(), PeerUnreachable { effect.m_instance, unsent });
    }

    const auto to = found->second.m_settings.m_self.m_id;
    const auto link = linkBetween (self, to);
    const auto bytes = encodeFrame ({ protocolVersion, self, effect.m_instance, effect.m_message });
    const auto frame = decodeFrame (std::string_view (bytes).substr (frameHeaderBytes), effect.m_instance);
    assert (frame.ok() && frame->m_message == effect.m_message);
    schedule (m_delay(), [this, to, link, self, message = frame->m_message] {
        if (m_links.contains (link))
            deliver (to, PeerMessageReceived { link, self, message });
    });
}

void Rig::execute (Host& host, const ReplyOnLink& effect)
{
    const auto found = m_links.find (effect.m_link);
    const auto& self = host.m_settings.m_self.m_id;

    if (found == m_links.end() || isPartitioned (self.m_instance, effect.m_instance))
        return;

    const auto to = found->second.m_from;
    schedule (m_delay(), [this, to, self, message = effect.m_message] {
        deliver (to, PeerMessageReceived { 0, self, message });
    });
}

void Rig::execute (Host& host, const SendGossip& effect)
{
    const auto& self = host.m_settings.m_self.m_id;
    const auto gossip = decodeGossipMessage (encodeGossipMessage (effect.m_gossipMessage));
    assert (gossip.ok());

    if (m_losesDatagram())
        return;

    for (const auto& [instance, other] : m_hosts)
        if (other.m_settings.m_self.m_endpoint == effect.m_endpoint && other.m_isAlive &&
            ! isPartitioned (self.m_instance, instance))
            post (instance, m_delay(), GossipReceived { *gossip });
}

void Rig::execute (Host& host, const DispatchToTarget& effect)
{
    const auto& instance = host.m_settings.m_self.m_id.m_instance;
    m_runs.push_back ({ effect.m_idempotency.m_key, effect.m_idempotency.m_attempt, instance, m_now });

    if (m_onDispatch)
        m_onDispatch (instance, effect);

    const auto status = m_targetStatus (instance, effect);
    const auto time = m_serviceTime (instance, effect);

    if (status.has_value())
        post (instance, time,
              TargetAnswered { effect.m_call, *status, "text/plain", effect.m_content.m_body });
    else
        post (instance, time, TargetFailed { effect.m_call, TargetFailure::broken });
}

//==============================================================================
void Rig::execute (Host& host, const FetchList&)
{
    if (m_isListDown)
        return;

    std::vector<ListedInstance> list;

    for (const auto& [instance, other] : m_hosts)
    {
        const auto& member = other.m_settings.m_self;
        const bool hasAppeared =
            m_now - other.m_startedAt >= m_listAppearLag || member.m_id.m_incarnation > 1;
        const bool isDropped = ! other.m_isAlive && m_now - other.m_endedAt > m_listDropLag;

        if (hasAppeared && ! isDropped)
            list.push_back ({ instance, member.m_service, member.m_zone, member.m_endpoint, false });
    }

    post (host.m_settings.m_self.m_id.m_instance, m_delay(), ListReceived { std::move (list) });
}

void Rig::execute (Host& host, const ReadLog& effect)
{
    if (m_isLogDown)
        return;

    const auto& instance = host.m_settings.m_self.m_id.m_instance;

    if (effect.m_stream == LogStream::joins)
    {
        JoinsRead read { static_cast<LogOffset> (m_joinLog.size()), {} };

        for (const auto& record : m_joinLog)
            if (record.m_offset >= effect.m_from)
                read.m_records.push_back (record);

        return post (instance, m_delay(), std::move (read));
    }

    const auto next = static_cast<LogOffset> (m_configurationLog.size());
    ConfigurationRead read { effect.m_from, m_configurationEarliest, next, {} };

    for (auto offset = std::max (effect.m_from, m_configurationEarliest); offset < next; ++offset)
        if (auto decoded =
                decodeConfigurationRecord ({ offset, m_configurationLog[static_cast<std::size_t> (offset)] });
            decoded.ok())
            read.m_records.push_back (*decoded);

    post (instance, m_delay(), std::move (read));
}

void Rig::execute (Host&, const AppendJoin& effect)
{
    if (! m_isLogDown)
        m_joinLog.push_back ({ static_cast<LogOffset> (m_joinLog.size()), effect.m_member });
}

void Rig::execute (Host&, const AppendCheckpoint& effect)
{
    if (m_isLogDown)
        return;

    const auto& state = effect.m_state;
    m_configurationLog.push_back (
        encodeConfigurationRecord ({ -1, ConfigurationRecordKind::checkpoint, "checkpoint", state.m_version,
                                     state.m_asOfOffset, state.m_text }));
}

void Rig::execute (Host& host, const Exit&)
{
    const auto instance = host.m_settings.m_self.m_id.m_instance;

    if (m_exitDelay == Duration::zero())
        return end (instance);

    schedule (m_exitDelay, [this, instance] { end (instance); });
}

//==============================================================================
RequestReceived makeNonRepeatable (const std::string& key, std::uint32_t attempt, Duration age)
{
    RequestReceived request;
    request.m_content = { "lodgement", "lodge", "POST", "/lodgement/lodge", "text/plain", "dealing" };
    request.m_idempotency = { key, attempt, age };
    return request;
}

RequestReceived makeRepeatable (const ServiceName& service, const OperationName& operation)
{
    RequestReceived request;
    request.m_content = { service, operation, "POST", "/" + service + "/" + operation, "text/plain", "body" };
    return request;
}

} // namespace plankledge::test
