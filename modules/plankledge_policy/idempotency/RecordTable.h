#pragma once

#include "plankledge_core/PeerMessages.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plankledge
{

//==============================================================================
/** State of the idempotency record of a key. */
enum class RecordState : std::uint8_t
{
    inquiring, /**< inquiries are sent to peers that may have a record of the key */
    running,   /**< the call was admitted on this node: it is queued or running */
    completed, /**< the result is stored */
    resultLost /**< the call may have run, but its result is lost */
};

/** The idempotency record of a key. */
struct Record
{
    RecordState m_state = RecordState::running;
    std::uint64_t m_bodyHash = 0;
    CallId m_call = 0;   /**< valid while inquiring or running */
    CallResult m_result; /**< valid once completed or resultLost */
    Duration m_retention {};
    Time m_expiresAt; /**< valid once completed or resultLost */
};

//==============================================================================
/**
    The idempotency records and fences of a node, held in memory only.

    A fence guarantees that a first attempt with the key does not run on this node
    until the fence expires.
*/
class RecordTable
{
public:
    //==============================================================================
    /** @returns the record of the key, or nullptr; valid until the next change of the table */
    const Record* find (const std::string& key) const;

    /** Adds a record for a key that has none.

        @param retention   how long the result is stored
    */
    void add (const std::string& key, RecordState state, std::uint64_t bodyHash, CallId call,
              Duration retention);

    /** Marks an inquiring record as running. */
    void setRunning (const std::string& key);

    /** Stores the result of a completed call. */
    void complete (const std::string& key, const CallResult& result, Time now);

    /** Marks the record of a call that may have run, and whose result is lost. */
    void setResultLost (const std::string& key, const CallResult& result, Time now);

    /** Removes the record of a call that did not run. */
    void erase (const std::string& key) { m_records.erase (key); }

    /** Sets the fence of a key, or extends it. */
    void fence (std::uint64_t keyHash, Time until);
    bool isFenced (const std::string& key, Time now) const;

    /** Imports a record from a leaving node, unless the key has a record here that is not inquiring. */
    void adopt (const RecordCopy& copy, Time now);

    /** @returns copies of the unexpired records that are completed or resultLost, for the handover */
    std::vector<RecordCopy> finishedRecords (Time now) const;

    std::vector<Fence> activeFences (Time now) const;

    /** A key that was retried on this node must not run as a first attempt on a joining node.

        @returns the active fences, and a fence for each key with an unexpired record
    */
    std::vector<Fence> fencesForJoiningNode (Time now) const;

    void removeExpired (Time now);

    std::size_t size() const noexcept { return m_records.size(); }
    std::size_t fenceCount() const noexcept { return m_fences.size(); }

private:
    //==============================================================================
    std::map<std::string, Record> m_records;
    std::map<std::uint64_t, Time> m_fences;
};

} // namespace plankledge
