#include "support/StoreFleet.h"

#include <algorithm>

namespace plankledge::test
{

namespace
{

constexpr Duration step = Milliseconds (5);
constexpr Duration storeMaxReadWait = Milliseconds (28000);
constexpr Duration storeResponseTimeout = Milliseconds (800);
constexpr Duration delayBetweenReads = Milliseconds (400);
constexpr Duration retryDelay = Milliseconds (600);
constexpr unsigned startsPerStep = 3;

} // namespace

//==============================================================================
StoreFleet::StoreFleet (unsigned nodes, unsigned zones, const RelaySettings& relay)
{
    settings() = relay;
    setStoreHook ([this] (const InstanceName& instance, const Effect& effect) {
        m_pendingEffects.emplace_back (instance, effect);
    });

    setFirstStart (true);

    for (unsigned number = 0; number < nodes; ++number)
    {
        m_names.push_back ("node-" + std::to_string (number));
        addUnregistered (m_names.back(), number % 5 == 0 ? "plans" : "web",
                         "zone-" + std::to_string (number % zones), 20);

        if (number % startsPerStep == 0)
            run (step);
    }

    setFirstStart (false);
}

void StoreFleet::join (const InstanceName& instance, const ZoneName& zone)
{
    m_names.push_back (instance);
    addUnregistered (instance, "plans", zone, 20);
}

void StoreFleet::kill (const InstanceName& instance)
{
    RelayRig::kill (instance);
    m_readers.erase ({ instance, StoreTopic::members });
    m_readers.erase ({ instance, StoreTopic::routes });
    std::erase_if (m_unwritten, [&] (const auto& unwritten) { return unwritten.first == instance; });
    std::erase_if (m_pendingEffects, [&] (const auto& pending) { return pending.first == instance; });
}

void StoreFleet::restartProcess (const InstanceName& instance)
{
    m_nodesWithFailedCalls.erase (instance);
    start (instance);
}

void StoreFleet::restart (const InstanceName& instance)
{
    kill (instance);
    restartProcess (instance);
    announce (instance);
}

void StoreFleet::write (ConfigurationVersion version)
{
    write (makeTable (version, { makeRoute ("read", "plans"), makeRoute ("page", "web") }));
}

void StoreFleet::write (const RouteTable& routes)
{
    m_routes.push_back (registerRoutes (routes));
}

void StoreFleet::restoreBackup (std::size_t recordsLost, std::size_t versionsLost)
{
    ++m_era;
    m_records.resize (m_records.size() - std::min (recordsLost, m_records.size()));
    m_routes.resize (m_routes.size() - std::min (versionsLost, m_routes.size()));
}

void StoreFleet::withdrawRecord (const InstanceName& instance)
{
    m_records.emplace_back (instance, std::nullopt);
}

void StoreFleet::overwriteRecord (const InstanceName& instance)
{
    const auto first = std::find_if (m_records.begin(), m_records.end(),
                                     [&] (const auto& record) { return record.first == instance; });
    m_records.push_back (Record (*first));
    applyEvent (instance, recordsSince (instance, 0));
}

//==============================================================================
void StoreFleet::run (Duration duration)
{
    const auto end = now() + duration;

    while (now() < end)
    {
        RelayRig::run (step);

        for (const auto& [instance, effect] : std::exchange (m_pendingEffects, {}))
            onEffect (instance, effect);

        retryAppends();
        readAll();
    }
}

void StoreFleet::onEffect (const InstanceName& instance, const Effect& effect)
{
    if (const auto* read = std::get_if<ReadTopic> (&effect))
    {
        auto& reader = m_readers[{ instance, read->m_topic }];
        reader.m_readMode = read->m_readMode;
        reader.m_next = read->m_readMode == TopicReadMode::once ? StorePosition()
                                                                : std::max (reader.m_next, read->m_from);

        if (std::exchange (reader.m_maxWait, read->m_maxWait) != read->m_maxWait)
        {
            reader.m_isWaiting = false;
            reader.m_isNextReadImmediate = read->m_maxWait > Duration::zero();
        }
    }
    else if (const auto* publish = std::get_if<PublishMember> (&effect))
    {
        append (instance, { instance, *publish });
    }
    else if (const auto* withdraw = std::get_if<WithdrawMember> (&effect))
    {
        append (instance, { withdraw->m_instance, std::nullopt });
    }
}

void StoreFleet::append (const InstanceName& writer, Record record)
{
    ++m_calls;

    if (isReachable (writer))
        m_records.push_back (std::move (record));
    else
        m_unwritten.emplace_back (writer, std::move (record));
}

/** Writes the records that the store rejected, as soon as it is reachable. */
void StoreFleet::retryAppends()
{
    for (auto& [writer, record] : std::exchange (m_unwritten, {}))
        if (isReachable (writer))
            m_records.push_back (std::move (record));
        else
            m_unwritten.emplace_back (writer, std::move (record));
}

bool StoreFleet::isReachable (const InstanceName& instance) const
{
    return ! m_isDown && ! m_rejectedNodes.contains (instance);
}

StorePosition StoreFleet::endOf (StoreTopic topic) const
{
    return { m_era,
             static_cast<LogOffset> (topic == StoreTopic::members ? m_records.size() : m_routes.size()) };
}

//==============================================================================
void StoreFleet::readAll()
{
    for (auto& [key, reader] : m_readers)
        readOne (key.first, key.second, reader);
}

/** A blocking read gets no response if the store becomes unreachable meanwhile; it ends by its timeout. */
void StoreFleet::readOne (const InstanceName& instance, StoreTopic topic, Reader& reader)
{
    if (reader.m_readMode == TopicReadMode::stop || now() < reader.m_notBefore)
        return;

    if (! reader.m_isWaiting)
        return call (instance, topic, reader);

    reader.m_isInterrupted = reader.m_isInterrupted || ! isReachable (instance);
    const auto wait = reader.m_maxWait > Duration::zero() ? reader.m_maxWait : storeMaxReadWait;
    const auto limit = (reader.m_isNextReadImmediate ? Duration::zero() : wait) + storeResponseTimeout;

    if (reader.m_isInterrupted && now() - reader.m_waitingSince >= limit)
        return setStoreReachable (instance, topic, reader, false);

    if (! reader.m_isInterrupted &&
        (endOf (topic) > reader.m_next || now() - reader.m_waitingSince >= limit - storeResponseTimeout))
        completeRead (instance, topic, reader);
}

void StoreFleet::call (const InstanceName& instance, StoreTopic topic, Reader& reader)
{
    ++m_calls;

    if (! isReachable (instance))
    {
        m_nodesWithFailedCalls.insert (instance);
        setStoreReachable (instance, topic, reader, false);
        reader.m_notBefore = now() + storeResponseTimeout + retryDelay;
        return;
    }

    setStoreReachable (instance, topic, reader, true);
    reader.m_isWaiting = true;
    reader.m_isInterrupted = false;
    reader.m_waitingSince = now();

    if (! reader.m_next.isKnown())
        completeRead (instance, topic, reader);
}

void StoreFleet::setStoreReachable (const InstanceName& instance, StoreTopic topic, Reader& reader,
                                    bool isStoreReachable)
{
    reader.m_isWaiting = reader.m_isWaiting && isStoreReachable;

    if (std::exchange (reader.m_isStoreReachable, isStoreReachable) == isStoreReachable ||
        topic != StoreTopic::routes)
        return;

    if (isStoreReachable)
        m_readers[{ instance, StoreTopic::members }].m_isWaiting = false;

    applyEvent (instance, StoreReachabilityChanged { isStoreReachable });
}

void StoreFleet::completeRead (const InstanceName& instance, StoreTopic topic, Reader& reader)
{
    const auto from = std::exchange (reader.m_next, endOf (topic));
    reader.m_isWaiting = false;
    reader.m_isNextReadImmediate = false;

    if (topic == StoreTopic::routes && from.isKnown() && from.m_era != m_era)
        applyEvent (instance, StoreRestored { m_era });

    if (from == endOf (topic))
        return confirm (instance, topic, reader); // timed out without new records

    if (reader.m_readMode == TopicReadMode::once)
        reader.m_readMode = TopicReadMode::stop;

    if (topic == StoreTopic::routes)
    {
        if (! m_routes.empty())
            applyEvent (instance, RoutesRead { m_routes.back() });

        return confirm (instance, topic, reader);
    }

    reader.m_notBefore = now() + delayBetweenReads;

    // In a new era all records are read again.
    applyEvent (instance,
                recordsSince (instance, from.m_era == m_era ? std::max<LogOffset> (0, from.m_offset) : 0));
}

/** @returns the newest records among those from an offset on, as a node reads them */
MembersRead StoreFleet::recordsSince (const InstanceName& reader, LogOffset first) const
{
    std::map<InstanceName, std::optional<PublishMember>> newest;

    for (auto offset = first; offset < endOf (StoreTopic::members).m_offset; ++offset)
        newest[m_records[static_cast<std::size_t> (offset)].first] =
            m_records[static_cast<std::size_t> (offset)].second;

    MembersRead read;
    read.m_end = endOf (StoreTopic::members);
    read.m_isOwnRecordKnown =
        (first == 0 || newest.contains (reader)) && ! m_nodesWithFailedCalls.contains (reader);

    for (const auto& [name, record] : newest)
    {
        if (! record.has_value())
            read.m_withdrawn.push_back (name);
        else
            read.m_members.push_back (record->m_member);

        if (record.has_value() && name == reader)
            read.m_leavingTarget = record->m_leavingTarget;
    }

    return read;
}

void StoreFleet::confirm (const InstanceName& instance, StoreTopic topic, const Reader& reader)
{
    if (topic == StoreTopic::routes)
        applyEvent (instance, RoutesConfirmed { reader.m_waitingSince.time_since_epoch() });
}

//==============================================================================
bool StoreFleet::hasRecordOf (const InstanceName& instance) const
{
    const auto found = std::find_if (m_records.rbegin(), m_records.rend(),
                                     [&] (const auto& record) { return record.first == instance; });
    return found != m_records.rend() && found->second.has_value();
}

std::vector<InstanceName> StoreFleet::following() const
{
    std::vector<InstanceName> result;

    for (const auto& [key, reader] : m_readers)
        if (key.second == StoreTopic::members && reader.m_readMode == TopicReadMode::follow)
            result.push_back (key.first);

    return result;
}

std::size_t StoreFleet::nodesWith (ConfigurationVersion version) const
{
    return static_cast<std::size_t> (std::count_if (m_names.begin(), m_names.end(), [&] (const auto& name) {
        return reducer (name).relay().routes().version() == version;
    }));
}

std::size_t StoreFleet::nodesKnowing (const InstanceName& instance) const
{
    return static_cast<std::size_t> (std::count_if (m_names.begin(), m_names.end(), [&] (const auto& name) {
        return reducer (name).relay().peers().find (instance) != nullptr;
    }));
}

} // namespace plankledge::test
