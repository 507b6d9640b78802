#pragma once

#include "support/RelayRig.h"

namespace plankledge::test
{

//==============================================================================
/**
    Many nodes in zones, and the platform's store as they meet it, in virtual time: a log
    of their records, the newest routes, and a count of the calls. It may be down, or turn
    some nodes away.
*/
class StoreFleet : public RelayRig
{
public:
    //==============================================================================
    /** Starts so many nodes for the first time, within 0.3 s, dealt among zones and two services. */
    StoreFleet (unsigned nodes, unsigned zones, const RelaySettings& settings = {});

    void run (Duration duration);

    /** Writes a version of the routes to the store, as an operator. */
    void write (ConfigurationVersion version);
    void write (const RouteTable& routes);

    /** Starts a node that the store has not heard of. */
    void join (const InstanceName& instance, const ZoneName& zone);

    /** The process is gone, and what it asked of the store with it. */
    void kill (const InstanceName& instance);

    /** The process starts again at once, with an empty memory. */
    void restart (const InstanceName& instance);

    /** Removes a node's record behind its back. */
    void drop (const InstanceName& instance);

    /** The store comes back from an older copy: it has lost the newest records of nodes, and versions of the
       routes. Offsets go back and are given out again. */
    void restoreCopy (std::size_t recordsLost, std::size_t versionsLost);

    void setDown (bool isDown) { m_isDown = isDown; }
    void turnAway (const InstanceName& instance) { m_turnedAway.insert (instance); }
    void letAllIn() { m_turnedAway.clear(); }

    //==============================================================================
    std::uint64_t calls() const noexcept { return m_calls; }
    const std::vector<InstanceName>& names() const noexcept { return m_names; }
    bool hasRecordOf (const InstanceName& instance) const;

    /** @returns the nodes that follow the store */
    std::vector<InstanceName> following() const;

    /** @returns how many nodes have the version in force */
    std::size_t nodesWith (ConfigurationVersion version) const;

    /** @returns how many nodes know the instance */
    std::size_t nodesKnowing (const InstanceName& instance) const;

private:
    //==============================================================================
    /** How a node reads one topic. */
    struct Reader
    {
        TopicReading m_reading = TopicReading::rest;
        StorePlace m_next; /**< not known: to be listed */
        Time m_notBefore;  /**< of the next call */
        Time m_waitsSince; /**< of the call that waits */
        bool m_isWaiting = false;
        bool m_isLost = false; /**< what it waits for: the store fell silent meanwhile */
        bool m_isReached = true;
        Duration m_longestWait {}; /**< of a read without news; 0: as long as the store lets it */
        bool m_asksAtOnce = false; /**< the next read does not wait */
    };

    void onEffect (const InstanceName& instance, const Effect& effect);
    void append (const InstanceName& instance, std::optional<Member> member);
    void readAll();
    void readOne (const InstanceName& instance, StoreTopic topic, Reader& reader);
    void call (const InstanceName& instance, StoreTopic topic, Reader& reader);
    void setReached (const InstanceName& instance, StoreTopic topic, Reader& reader, bool isReached);
    void answer (const InstanceName& instance, StoreTopic topic, Reader& reader);
    void confirm (const InstanceName& instance, StoreTopic topic, const Reader& reader);
    bool isReachable (const InstanceName& instance) const;
    StorePlace endOf (StoreTopic topic) const;

    std::vector<InstanceName> m_names;
    std::vector<std::pair<InstanceName, std::optional<Member>>> m_records;
    std::vector<std::string> m_routes;
    std::map<std::pair<InstanceName, StoreTopic>, Reader> m_readers;
    std::vector<std::pair<InstanceName, Effect>> m_wanted; /**< since the last step */
    std::set<InstanceName> m_turnedAway;
    std::uint64_t m_calls = 0;
    StoreEra m_era = 1;
    bool m_isDown = false;
};

} // namespace plankledge::test
