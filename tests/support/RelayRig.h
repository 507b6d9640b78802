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
    Nodes for relayed requests in virtual time: real reducers, a network between them and
    targets beside them. Nodes can be killed, started again, frozen, and cut off from each
    other; a cut link loses what is sent over it and says nothing.
*/
class RelayRig
{
public:
    //==============================================================================
    /** How a request ended for its sender. */
    struct Answer
    {
        RelayResult m_result;
        Time m_at;
    };

    /** A request that reached a target. */
    struct Run
    {
        InstanceName m_instance;
        RelayToTarget m_dispatch;
        Time m_at;
        bool m_isAbandoned = false;
    };

    /** What a target does with a request: replies by TargetReply, or never. */
    using TargetBehaviour = std::function<void (RelayRig&, const InstanceName&, const RelayToTarget&)>;

    RelayRig();

    //==============================================================================
    /** Adds a node whose target has announced itself, and tells all of it. */
    void add (const InstanceName& instance, const ServiceName& service, const ZoneName& zone = "zone-a",
              std::uint32_t slots = 20);

    /** Starts a node's process without telling it anything. */
    void start (const InstanceName& instance);

    void kill (const InstanceName& instance);
    void freeze (const InstanceName& instance, Duration duration);
    void cut (const InstanceName& one, const InstanceName& other);
    void healAll() { m_cuts.clear(); }

    /** The node's target announces itself again; states other than serving come once. */
    void announce (const InstanceName& instance, AnnouncedState state = AnnouncedState::serving);

    /** The target says nothing any more, until it is announced again. */
    void silence (const InstanceName& instance) { m_hosts.at (instance).m_targetServes = false; }

    /** The target is replaced by another one. */
    void replaceTarget (const InstanceName& instance) { ++m_hosts.at (instance).m_targetLife; }

    /** The target starts again under its id, and says so; from now on it tells when it started. */
    void restartTarget (const InstanceName& instance, std::uint32_t slots);

    /** @returns when the target started, by its own clock */
    Duration targetStartedAt (const InstanceName& instance) const
    {
        return m_hosts.at (instance).m_targetStartedAt.value();
    }

    /** @returns how often the node was told to drop its connections to the target */
    unsigned connectionsDropped (const InstanceName& instance) const
    {
        return m_hosts.at (instance).m_connectionsDropped;
    }

    void setTarget (const InstanceName& instance, TargetBehaviour behaviour);

    /** Nodes that are started from now on are told that all start for the first time. */
    void setFirstStart (bool isFirst) { m_settings.m_isFirstStart = isFirst; }

    /** Settings of the nodes that are started from now on. */
    RelaySettings& settings() noexcept { return m_settings; }

    /** Takes what nodes want of the store; without, they are told by the rig. */
    using StoreHook = std::function<void (const InstanceName&, const Effect&)>;
    void setStore (StoreHook hook) { m_store = std::move (hook); }

    /** Adds a node and starts it without telling it or others anything; its target has announced itself. */
    void addUntold (const InstanceName& instance, const ServiceName& service, const ZoneName& zone,
                    std::uint32_t slots);

    /** Gives a version of the routes a name by which a node can be told of it. */
    std::string nameRoutes (const RouteTable& routes);

    /** Gives all nodes a version of the routes, as the store would. */
    void publish (const RouteTable& routes);
    void tell (const InstanceName& instance, EventBody event);

    /** Tells a node that has started again what all know: the members and the routes in force. */
    void tellAll (const InstanceName& instance);

    //==============================================================================
    /** Sends a request to a node; its id must be new. */
    Ticket send (const InstanceName& instance, const std::string& id, const std::string& path,
                 Duration timeout = std::chrono::seconds (5), const Credential& credential = {});
    void close (const InstanceName& instance, Ticket ticket);

    /** Lets the time pass; targets that are alive go on announcing themselves. */
    void run (Duration duration);

    /** A target replies after a time. */
    void reply (const InstanceName& instance, CallId call, TargetReplyKind kind, Duration after,
                std::uint16_t status = 200);

    const std::map<Ticket, Answer>& answers() const noexcept { return m_answers; }
    const std::vector<Run>& runs() const noexcept { return m_runs; }
    std::vector<Run> runsOf (const std::string& id) const;
    const Reducer& reducer (const InstanceName& instance) const { return *m_hosts.at (instance).m_reducer; }
    std::uint64_t hellos() const noexcept { return m_hellos; }          /**< sent by all nodes so far */
    std::uint64_t crashUpdates() const noexcept { return m_crashNews; } /**< the same of news of crashes */
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
        unsigned m_targetLife = 1;
        std::uint64_t m_sequence = 0;
        std::optional<Duration> m_targetStartedAt;
        unsigned m_connectionsDropped = 0;
        bool m_targetServes = true;
        bool m_isAlive = false;
        bool m_hasExited = false;
        unsigned m_life = 0;
        Time m_frozenUntil;
        Time m_announcedAt;
    };

    struct Delivery
    {
        Time m_at;
        std::uint64_t m_order = 0;
        InstanceName m_instance;
        unsigned m_life = 0; /**< of the process; 0: any */
        EventBody m_event;

        bool operator> (const Delivery& other) const
        {
            return std::tie (m_at, m_order) > std::tie (other.m_at, other.m_order);
        }
    };

    void deliver (const InstanceName& instance, EventBody event, Duration after, unsigned life = 0);
    void apply (const InstanceName& instance, EventBody event);
    void carryOut (const InstanceName& instance, const Effects& effects);
    void carryOut (const InstanceName& from, const SendToPeer& effect);
    void carryOut (const InstanceName& from, const ReplyOnLink& effect);
    void carryOut (const InstanceName& from, const AnswerRelay& effect);
    void carryOut (const InstanceName& from, const RelayToTarget& effect);
    void carryOut (const InstanceName& from, const CancelTargetCall& effect);
    void carryOut (const InstanceName& from, const Exit& effect);
    void carryOut (const InstanceName& from, const DropTargetConnections&)
    {
        ++m_hosts.at (from).m_connectionsDropped;
    }
    void carryOut (const InstanceName& from, const ReadTopic& effect) { toStore (from, effect); }
    void carryOut (const InstanceName& from, const PublishMember& effect) { toStore (from, effect); }
    void carryOut (const InstanceName& from, const WithdrawMember& effect) { toStore (from, effect); }
    template <class Other> void carryOut (const InstanceName&, const Other&) {}
    void toStore (const InstanceName& from, const Effect& effect)
    {
        if (m_store)
            m_store (from, effect);
    }

    bool isCut (const InstanceName& one, const InstanceName& other) const;

    Time m_now { std::chrono::hours (1) };
    std::map<InstanceName, Host> m_hosts;
    std::vector<Member> m_members;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> m_queue;
    std::uint64_t m_order = 0;
    std::set<std::pair<InstanceName, InstanceName>> m_cuts;
    std::map<LinkId, InstanceName> m_links; /**< to who opened them */
    std::map<std::pair<InstanceName, InstanceName>, LinkId> m_linkIds;
    std::map<std::string, RouteTable> m_tables;
    std::string m_published;
    Ticket m_nextTicket = 1;
    std::map<Ticket, Answer> m_answers;
    std::vector<Run> m_runs;
    std::uint64_t m_hellos = 0;
    std::uint64_t m_crashNews = 0;
    StoreHook m_store;
    RelaySettings m_settings;
};

/** @returns a route to one service, under "/NAME/" */
Route makeRoute (const RouteName& name, const ServiceName& service, bool isRepeatable = true);

/** @returns a table with these routes at the rig's host */
RouteTable makeTable (ConfigurationVersion version, const std::vector<Route>& routes,
                      Organisations organisations = {});

} // namespace plankledge::test
