#pragma once

#include "plankledge_policy/Reducer.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace plankledge::test
{

//==============================================================================
/**
    Simulates nodes that relay requests, in virtual time: real reducers, a network and one
    target for each node. Nodes can be killed, restarted, frozen and partitioned from each
    other. A partitioned link drops messages without reporting an error.
*/
class RelayRig
{
public:
    //==============================================================================
    /** The result that a caller received. */
    struct Answer
    {
        RelayResult m_result;
        Time m_at;
    };

    /** A dispatch of a request to a target. */
    struct Run
    {
        InstanceName m_instance;
        RelayToTarget m_dispatch;
        Time m_at;
        bool m_isCancelled = false;
    };

    /** Handles a request at a target. Calls reply(), or doesn't if the target never answers. */
    using TargetBehaviour = std::function<void (RelayRig&, const InstanceName&, const RelayToTarget&)>;

    RelayRig();

    //==============================================================================
    /** Adds a node whose target has announced itself, and sends the new member list to all nodes. */
    void add (const InstanceName& instance, const ServiceName& service, const ZoneName& zone = "zone-a",
              std::uint32_t slots = 20);

    /** Starts a node's process, which has no members and no routes. */
    void start (const InstanceName& instance);

    void kill (const InstanceName& instance);
    void freeze (const InstanceName& instance, Duration duration);
    /** Partitions two nodes from each other. */
    void addPartition (const InstanceName& one, const InstanceName& other);
    void healAll() { m_partitions.clear(); }

    /** Announces the node's target. Only the serving state is announced again periodically. */
    void announce (const InstanceName& instance, AnnouncedState state = AnnouncedState::serving);

    /** Stops the target's periodic announcements until the next call of announce(). */
    void stopAnnouncing (const InstanceName& instance) { m_hosts.at (instance).m_isTargetServing = false; }

    /** Replaces the target by one with another id, which announces itself at the next announcement. */
    void replaceTarget (const InstanceName& instance) { ++m_hosts.at (instance).m_targetIncarnation; }

    /** Restarts the target under its id and announces it. Later announcements include its start time. */
    void restartTarget (const InstanceName& instance, std::uint32_t slots);

    /** @returns the start time that the target announces */
    Duration targetStartedAt (const InstanceName& instance) const
    {
        return m_hosts.at (instance).m_targetStartedAt.value();
    }

    /** @returns how often the node's reducer dropped the connections to its target */
    unsigned connectionsDropped (const InstanceName& instance) const
    {
        return m_hosts.at (instance).m_connectionsDropped;
    }

    void setTarget (const InstanceName& instance, TargetBehaviour behaviour);

    /** Sets RelaySettings::m_isFirstStart of nodes that are started later. */
    void setFirstStart (bool isFirst) { m_settings.m_isFirstStart = isFirst; }

    /** Settings of nodes that are started later. */
    RelaySettings& settings() noexcept { return m_settings; }

    /** Receives the effects that address the store. Without a hook they are dropped. */
    using StoreHook = std::function<void (const InstanceName&, const Effect&)>;
    void setStoreHook (StoreHook hook) { m_storeHook = std::move (hook); }

    /** Adds and starts a node whose target has announced itself, without sending member lists or routes. */
    void addUnregistered (const InstanceName& instance, const ServiceName& service, const ZoneName& zone,
                          std::uint32_t slots);

    /** Stores a route table.

        @returns the text by which RoutesRead refers to it
    */
    std::string registerRoutes (const RouteTable& routes);

    /** Sends a route table to all nodes, as the store would. */
    void publish (const RouteTable& routes);

    /** Applies an event to a node immediately. */
    void applyEvent (const InstanceName& instance, EventBody event);

    /** Sends the member list and the routes in force to a node. */
    void sendMembersAndRoutes (const InstanceName& instance);

    //==============================================================================
    /** Sends a request with a unique id to a node. */
    Ticket send (const InstanceName& instance, const std::string& id, const std::string& path,
                 Duration timeout = std::chrono::seconds (5), const Credential& credential = {});

    /** Lets processes go on after their reducers have decided to exit, until they are killed. */
    void keepExitedProcesses() noexcept { m_keepsExitedProcesses = true; }

    /** Disconnects the caller of a request. */
    void close (const InstanceName& instance, Ticket ticket);

    /** Advances virtual time. Serving targets announce themselves periodically. */
    void run (Duration duration);

    /** Sends a target's reply after a delay. */
    void reply (const InstanceName& instance, CallId call, TargetReplyKind kind, Duration after,
                std::uint16_t status = 200);

    /** Sends a complete reply of a target after a delay. */
    void replyWith (const InstanceName& instance, TargetReply reply, Duration after);

    const std::map<Ticket, Answer>& answers() const noexcept { return m_answers; }
    const std::vector<Run>& runs() const noexcept { return m_runs; }
    std::vector<Run> runsOf (const std::string& id) const;
    const Reducer& reducer (const InstanceName& instance) const { return *m_hosts.at (instance).m_reducer; }
    std::uint64_t hellos() const noexcept { return m_hellos; }             /**< sent by all nodes */
    std::uint64_t crashUpdates() const noexcept { return m_crashUpdates; } /**< sent by all nodes */
    bool hasExited (const InstanceName& instance) const { return m_hosts.at (instance).m_hasExited; }
    Time now() const noexcept { return m_now; }

    static constexpr Duration latency = Milliseconds (1);

private:
    //==============================================================================
    struct Host
    {
        NodeSettings m_settings;
        std::uint32_t m_slots = 20;
        std::unique_ptr<Reducer> m_reducer;
        TargetBehaviour m_target;
        unsigned m_targetIncarnation = 1;
        std::uint64_t m_sequence = 0;
        std::optional<Duration> m_targetStartedAt;
        unsigned m_connectionsDropped = 0;
        bool m_isTargetServing = true;
        bool m_isAlive = false;
        bool m_hasExited = false;
        unsigned m_processIncarnation = 0;
        Time m_frozenUntil;
        Time m_announcedAt;
    };

    struct Delivery
    {
        Time m_at;
        std::uint64_t m_order = 0;
        InstanceName m_instance;
        unsigned m_processIncarnation = 0; /**< of the receiver; 0 matches any */
        EventBody m_event;

        bool operator> (const Delivery& other) const
        {
            return std::tie (m_at, m_order) > std::tie (other.m_at, other.m_order);
        }
    };

    void deliver (const InstanceName& instance, EventBody event, Duration after, unsigned incarnation = 0);
    void apply (const InstanceName& instance, EventBody event);
    void execute (const InstanceName& instance, const Effects& effects);
    void execute (const InstanceName& from, const SendToPeer& effect);
    void execute (const InstanceName& from, const ReplyOnLink& effect);
    void execute (const InstanceName& from, const AnswerRelay& effect);
    void execute (const InstanceName& from, const RelayToTarget& effect);
    void execute (const InstanceName& from, const CancelTargetCall& effect);
    void execute (const InstanceName& from, const Exit& effect);
    void execute (const InstanceName& from, const DropTargetConnections&)
    {
        ++m_hosts.at (from).m_connectionsDropped;
    }
    void execute (const InstanceName& from, const ReadTopic& effect) { forwardToStore (from, effect); }
    void execute (const InstanceName& from, const PublishMember& effect) { forwardToStore (from, effect); }
    void execute (const InstanceName& from, const WithdrawMember& effect) { forwardToStore (from, effect); }
    template <class Other> void execute (const InstanceName&, const Other&) {}
    void forwardToStore (const InstanceName& from, const Effect& effect)
    {
        if (m_storeHook)
            m_storeHook (from, effect);
    }

    bool isPartitioned (const InstanceName& one, const InstanceName& other) const;

    Time m_now { std::chrono::hours (1) };
    std::map<InstanceName, Host> m_hosts;
    std::vector<Member> m_members;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> m_queue;
    std::uint64_t m_order = 0;
    std::set<std::pair<InstanceName, InstanceName>> m_partitions;
    std::map<LinkId, InstanceName> m_links; /**< to the instance that opened the link */
    std::map<std::pair<InstanceName, InstanceName>, LinkId> m_linkIds;
    std::map<std::string, RouteTable> m_tables;
    std::string m_published;
    Ticket m_nextTicket = 1;
    std::map<Ticket, Answer> m_answers;
    std::vector<Run> m_runs;
    std::uint64_t m_hellos = 0;
    std::uint64_t m_crashUpdates = 0;
    StoreHook m_storeHook;
    bool m_keepsExitedProcesses = false;
    RelaySettings m_settings;
};

/** @returns a route to a service, with the path prefix "/NAME/" */
Route makeRoute (const RouteName& name, const ServiceName& service, bool isRepeatable = true);

/** @returns a route table for the rig's host */
RouteTable makeTable (ConfigurationVersion version, const std::vector<Route>& routes,
                      Organisations organisations = {});

} // namespace plankledge::test
