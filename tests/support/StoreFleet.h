#pragma once

#include "support/RelayRig.h"

namespace plankledge::test
{

//==============================================================================
/**
    Simulates a fleet of nodes in several zones and the platform's store, in virtual time. The
    store holds a log of member records and the versions of the routes, and counts calls. It can
    be down, or reject the calls of some nodes.
*/
class StoreFleet : public RelayRig
{
public:
    //==============================================================================
    /** Starts nodes for the first time, spread over zones and two services. */
    StoreFleet (unsigned nodes, unsigned zones, const RelaySettings& settings = {});

    void run (Duration duration);

    /** Appends a version of the routes to the store, as an operator does. */
    void write (ConfigurationVersion version);
    void write (const RouteTable& routes);

    /** Adds and starts a node of which the store has no record. */
    void join (const InstanceName& instance, const ZoneName& zone);

    /** Kills a node's process and cancels its reads of the store. */
    void kill (const InstanceName& instance);

    /** Starts a node's process, which was killed and has lost its state. The target is not announced. */
    void restartProcess (const InstanceName& instance);

    /** Restarts a node's process, which loses its state, and announces its target. */
    void restart (const InstanceName& instance);

    /** Withdraws a node's record without notifying the node. */
    void withdrawRecord (const InstanceName& instance);

    /** Appends the node's first record again, as a delayed append does, and lets the node read it. */
    void overwriteRecord (const InstanceName& instance);

    std::size_t recordCount() const noexcept { return m_records.size(); }

    /** Restores the store from a backup that lacks the newest member records and versions of the routes.
        Offsets are reused in a new era. */
    void restoreBackup (std::size_t recordsLost, std::size_t versionsLost);

    void setDown (bool isDown) { m_isDown = isDown; }
    void rejectCallsOf (const InstanceName& instance) { m_rejectedNodes.insert (instance); }
    void acceptAllCalls() { m_rejectedNodes.clear(); }

    //==============================================================================
    std::uint64_t calls() const noexcept { return m_calls; }
    const std::vector<InstanceName>& names() const noexcept { return m_names; }
    bool hasRecordOf (const InstanceName& instance) const;

    /** @returns the nodes that follow the members topic */
    std::vector<InstanceName> following() const;

    /** @returns the number of nodes that have this version of the routes in force */
    std::size_t nodesWith (ConfigurationVersion version) const;

    /** @returns the number of nodes that know the instance as a peer */
    std::size_t nodesKnowing (const InstanceName& instance) const;

private:
    //==============================================================================
    /** A member record and its key; nullopt: the key is deleted. */
    using Record = std::pair<InstanceName, std::optional<PublishMember>>;

    /** State of a node's reads of one topic. */
    struct Reader
    {
        TopicReadMode m_readMode = TopicReadMode::stop;
        StorePosition m_next; /**< of the next read; unknown if the topic is to be listed */
        Time m_notBefore;     /**< earliest time of the next call */
        Time m_waitingSince;  /**< start of the blocking read */
        bool m_isWaiting = false;
        bool m_isInterrupted = false; /**< whether the store became unreachable during the blocking read */
        bool m_isStoreReachable = true;
        Duration m_maxWait {};              /**< of a blocking read; 0 means the store's maximum */
        bool m_isNextReadImmediate = false; /**< whether the next read does not block */
    };

    void onEffect (const InstanceName& instance, const Effect& effect);
    void append (const InstanceName& writer, Record record);
    void retryAppends();
    MembersRead recordsSince (const InstanceName& reader, LogOffset first) const;
    void readAll();
    void readOne (const InstanceName& instance, StoreTopic topic, Reader& reader);
    void call (const InstanceName& instance, StoreTopic topic, Reader& reader);
    void setStoreReachable (const InstanceName& instance, StoreTopic topic, Reader& reader,
                            bool isStoreReachable);
    void completeRead (const InstanceName& instance, StoreTopic topic, Reader& reader);
    void confirm (const InstanceName& instance, StoreTopic topic, const Reader& reader);
    bool isReachable (const InstanceName& instance) const;
    StorePosition endOf (StoreTopic topic) const;

    std::vector<InstanceName> m_names;
    std::vector<Record> m_records;
    std::vector<std::pair<InstanceName, Record>>
        m_unwritten;                               /**< by writer; while the store rejects its calls */
    std::set<InstanceName> m_nodesWithFailedCalls; /**< since their start */
    std::vector<std::string> m_routes;
    std::map<std::pair<InstanceName, StoreTopic>, Reader> m_readers;
    std::vector<std::pair<InstanceName, Effect>> m_pendingEffects; /**< since the last step */
    std::set<InstanceName> m_rejectedNodes;
    std::uint64_t m_calls = 0;
    StoreEra m_era = 1;
    bool m_isDown = false;
};

} // namespace plankledge::test
