#pragma once

#include "plankledge_core/PeerMessages.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plankledge
{

//==============================================================================
/** What a node knows of a key. */
enum class RecordState : std::uint8_t
{
    inquiring, /**< it asks others whether they know the key */
    running,   /**< admitted here: it runs or will run */
    completed, /**< the answer is kept */
    broken     /**< it may have run; its answer will never be known */
};

/** One key's record. */
struct Record
{
    RecordState m_state = RecordState::running;
    std::uint64_t m_bodyHash = 0;
    CallId m_call = 0;   /**< while inquiring or running */
    CallResult m_result; /**< once completed or broken */
    Duration m_window {};
    Time m_expires; /**< once completed or broken */
};

//==============================================================================
/**
    The idempotency records and fences of one node, all in memory.

    A fence promises that a first attempt of the key never runs here. Expired
    records and fences are dropped by removeExpired.
*/
class RecordTable
{
public:
    //==============================================================================
    /** @returns the key's record or nullptr; valid until the next change */
    const Record* find (const std::string& key) const;

    void begin (const std::string& key, RecordState state, std::uint64_t bodyHash, CallId call,
                Duration window);

    /** The inquiry ended well: the call may run. */
    void setRunning (const std::string& key);

    /** Keeps the answer for the record window. */
    void complete (const std::string& key, const CallResult& result, Time now);

    /** The call may have run, and its answer is lost. */
    void setBroken (const std::string& key, const CallResult& result, Time now);

    /** The call did not run. */
    void erase (const std::string& key) { m_records.erase (key); }

    void fence (std::uint64_t keyHash, Time until);
    bool isFenced (const std::string& key, Time now) const;

    /** Takes over a leaver's record; one that is already here stays. */
    void adopt (const RecordCopy& copy, Time now);

    /** @returns what a leaver hands over: finished records */
    std::vector<RecordCopy> finishedRecords (Time now) const;

    std::vector<Fence> liveFences (Time now) const;

    /** @returns fences for all that is fenced or known here, for a node that joins: a first attempt of a key
       whose resending ran here must not run there
    */
    std::vector<Fence> fencesForJoiner (Time now) const;

    void removeExpired (Time now);

    std::size_t size() const noexcept { return m_records.size(); }
    std::size_t fenceCount() const noexcept { return m_fences.size(); }

private:
    //==============================================================================
    std::map<std::string, Record> m_records;
    std::map<std::uint64_t, Time> m_fences;
};

} // namespace plankledge
