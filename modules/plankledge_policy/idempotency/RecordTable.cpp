#include "plankledge_policy/idempotency/RecordTable.h"

#include "plankledge_core/Hash.h"
#include <algorithm>
#include <cassert>

namespace plankledge
{

const Record* RecordTable::find (const std::string& key) const
{
    const auto found = m_records.find (key);
    return found != m_records.end() ? &found->second : nullptr;
}

void RecordTable::add (const std::string& key, RecordState state, std::uint64_t bodyHash, CallId call,
                       Duration retention)
{
    assert (! m_records.contains (key));
    m_records[key] = Record { state, bodyHash, call, {}, retention, {} };
}

void RecordTable::setRunning (const std::string& key)
{
    const auto found = m_records.find (key);
    assert (found != m_records.end() && found->second.m_state == RecordState::inquiring);
    found->second.m_state = RecordState::running;
}

void RecordTable::complete (const std::string& key, const CallResult& result, Time now)
{
    auto& record = m_records[key];
    record.m_state = RecordState::completed;
    record.m_result = result;
    record.m_expiresAt = now + record.m_retention;
}

void RecordTable::setResultLost (const std::string& key, const CallResult& result, Time now)
{
    auto& record = m_records[key];
    record.m_state = RecordState::resultLost;
    record.m_result = result;
    record.m_expiresAt = now + record.m_retention;
}

//==============================================================================
void RecordTable::fence (std::uint64_t keyHash, Time until)
{
    auto& current = m_fences[keyHash];
    current = std::max (current, until);
}

bool RecordTable::isFenced (const std::string& key, Time now) const
{
    const auto found = m_fences.find (hashText (key));
    return found != m_fences.end() && found->second > now;
}

//==============================================================================
void RecordTable::adopt (const RecordCopy& copy, Time now)
{
    const auto found = m_records.find (copy.m_key);

    if (found != m_records.end() && found->second.m_state != RecordState::inquiring)
        return;

    const auto state =
        copy.m_result.m_outcome == Outcome::completed ? RecordState::completed : RecordState::resultLost;
    m_records[copy.m_key] =
        Record { state, copy.m_bodyHash, 0, copy.m_result, copy.m_remainingTime, now + copy.m_remainingTime };
}

std::vector<RecordCopy> RecordTable::finishedRecords (Time now) const
{
    std::vector<RecordCopy> copies;

    for (const auto& [key, record] : m_records)
    {
        const bool isFinished =
            record.m_state == RecordState::completed || record.m_state == RecordState::resultLost;

        if (isFinished && record.m_expiresAt > now)
            copies.push_back ({ key, record.m_bodyHash, record.m_result, record.m_expiresAt - now });
    }

    return copies;
}

std::vector<Fence> RecordTable::activeFences (Time now) const
{
    std::vector<Fence> fences;

    for (const auto& [hash, until] : m_fences)
        if (until > now)
            fences.push_back ({ hash, until - now });

    return fences;
}

std::vector<Fence> RecordTable::fencesForJoiningNode (Time now) const
{
    auto fences = activeFences (now);

    for (const auto& [key, record] : m_records)
    {
        const bool isInProgress =
            record.m_state == RecordState::inquiring || record.m_state == RecordState::running;
        const auto remaining = isInProgress ? record.m_retention : record.m_expiresAt - now;

        if (remaining > Duration::zero())
            fences.push_back ({ hashText (key), remaining });
    }

    return fences;
}

void RecordTable::removeExpired (Time now)
{
    std::erase_if (m_fences, [now] (const auto& fence) { return fence.second <= now; });
    std::erase_if (m_records, [now] (const auto& entry) {
        const auto& record = entry.second;
        const bool isFinished =
            record.m_state == RecordState::completed || record.m_state == RecordState::resultLost;
        return isFinished && record.m_expiresAt <= now;
    });
}

} // namespace plankledge
