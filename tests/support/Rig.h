#pragma once

#include "plankledge_formats/PlatformJson.h"
#include "plankledge_policy/Reducer.h"
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace plankledge::test
{

/** A dispatch of a call to a target. */
struct Run
{
    std::string m_key;
    std::uint32_t m_attempt = 0;
    InstanceName m_instance;
    Time m_at;
};

/** The result that a caller received. */
struct Answer
{
    CallResult m_result;
    Time m_at;
};

//==============================================================================
/**
    Simulates several reducers in virtual time, with a network, a platform list and a platform
    log. Injects faults: crashes, restarts, freezes, one-way partitions, planned stops, delayed
    list updates and outages of the log or the list.
*/
class Rig
{
public:
    explicit Rig (std::uint64_t seed)
        : m_random (seed)
    {
    }

    //==============================================================================
    /** Appends a proposal of declarations on base 0 to the configuration log. */
    void declare (const std::string& text);

    void add (const InstanceName& instance, const ServiceName& service, const ZoneName& zone = "a");
    void kill (const InstanceName& instance);
    void restart (const InstanceName& instance);
    void freeze (const InstanceName& instance, Duration duration);
    void stop (const InstanceName& instance) { post (instance, Duration::zero(), StopRequested {}); }

    /** Drops the messages in one direction between two nodes. */
    void addPartition (const InstanceName& from, const InstanceName& to)
    {
        m_partitions.insert ({ from, to });
    }
    void healAll() { m_partitions.clear(); }

    /** Sends a request to a node.

        @returns the ticket by which answer() finds the result
    */
    Ticket request (const InstanceName& instance, RequestReceived request);

    /** Advances virtual time and handles the events that fall due. */
    void run (Duration duration);

    //==============================================================================
    Time now() const { return m_now; }
    Random& random() { return m_random; }
    const std::vector<Run>& runs() const { return m_runs; }
    const Answer* answer (Ticket ticket) const;
    bool isAlive (const InstanceName& instance) const;
    Reducer& reducer (const InstanceName& instance) { return *m_hosts.at (instance).m_reducer; }
    std::vector<InstanceName> instances() const;

    //==============================================================================
    /** Applied to the settings of nodes that are added later. */
    std::function<void (NodeSettings&)> m_adjustSettings;

    /** Latency of a message. */
    std::function<Duration()> m_delay = [] { return Duration (Milliseconds (1)); };

    /** Whether to drop a datagram. */
    std::function<bool()> m_losesDatagram = [] { return false; };

    /** Service time of the target for a call. */
    std::function<Duration (const InstanceName&, const DispatchToTarget&)> m_serviceTime =
        [] (const auto&, const auto&) { return Duration (Milliseconds (10)); };

    /** Status that the target returns; nullopt if it breaks the connection. */
    std::function<std::optional<std::uint16_t> (const InstanceName&, const DispatchToTarget&)>
        m_targetStatus = [] (const auto&, const auto&) { return std::optional<std::uint16_t> (200); };

    /** Called when a call is dispatched to a target, so that the target can make nested calls. */
    std::function<void (const InstanceName&, const DispatchToTarget&)> m_onDispatch;

    std::function<void (const InstanceName&, Ticket, const CallResult&)> m_onAnswer;

    /** Called for each effect before it is carried out. */
    std::function<void (const InstanceName&, const Effect&)> m_onEffect;

    /** Time for which a process goes on after its reducer has decided to exit. */
    Duration m_exitDelay {};

    Duration m_listAppearLag = Milliseconds (500);
    Duration m_listDropLag = std::chrono::seconds (3);
    bool m_isLogDown = false;
    bool m_isListDown = false;
    std::vector<std::string> m_configurationLog;
    LogOffset m_configurationEarliest = 0;

private:
    //==============================================================================
    struct Host
    {
        NodeSettings m_settings;
        std::unique_ptr<Reducer> m_reducer;
        bool m_isAlive = false;
        Time m_startedAt;
        Time m_endedAt;
        Time m_frozenUntil;
        std::optional<Time> m_tickAt;
    };

    struct Link
    {
        NodeId m_from;
        NodeId m_to;
    };

    struct Scheduled
    {
        Time m_at;
        std::uint64_t m_order = 0;
        std::function<void()> m_action;

        bool operator> (const Scheduled& other) const
        {
            return std::tie (m_at, m_order) > std::tie (other.m_at, other.m_order);
        }
    };

    void schedule (Duration delay, std::function<void()> action);
    void post (const InstanceName& instance, Duration delay, EventBody body);
    void deliver (const NodeId& to, EventBody body);
    void apply (Host& host, const EventBody& body);
    void start (const InstanceName& instance);
    void end (const InstanceName& instance);
    void scheduleTick (Host& host);
    void execute (Host& host, const Effects& effects);
    LinkId linkBetween (const NodeId& from, const NodeId& to);
    bool isPartitioned (const InstanceName& from, const InstanceName& to) const
    {
        return m_partitions.contains ({ from, to });
    }

    void execute (Host& host, const AnswerRequest& effect);
    void execute (Host& host, const SendToPeer& effect);
    void execute (Host& host, const ReplyOnLink& effect);
    void execute (Host& host, const SendGossip& effect);
    void execute (Host& host, const DispatchToTarget& effect);
    void execute (Host&, const CancelTargetCall&) {}
    void execute (Host& host, const FetchList& effect);
    void execute (Host& host, const ReadLog& effect);
    void execute (Host& host, const AppendJoin& effect);
    void execute (Host& host, const AppendCheckpoint& effect);
    void execute (Host&, const WriteLog&) {}
    void execute (Host& host, const Exit& effect);

    /** Effects of relayed requests, which this rig does not support. */
    template <class Other> void execute (Host&, const Other&)
    {
        throw std::logic_error ("Rig does not support effects of relayed requests");
    }

    Random m_random;
    Time m_now { std::chrono::hours (1) };
    std::uint64_t m_order = 0;
    std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> m_queue;
    std::map<InstanceName, Host> m_hosts;
    std::map<LinkId, Link> m_links;
    std::map<std::pair<NodeId, NodeId>, LinkId> m_linkIds;
    std::set<std::pair<InstanceName, InstanceName>> m_partitions;
    std::vector<JoinRecord> m_joinLog;
    std::vector<Run> m_runs;
    std::map<Ticket, Answer> m_answers;
    Ticket m_nextTicket = 1;
};

/** @returns a request that is not repeatable

    @param attempt   1 for the first attempt; 0 if not given
    @param age       time since the first attempt; negative if not given
*/
RequestReceived makeNonRepeatable (const std::string& key, std::uint32_t attempt, Duration age);

/** @returns a request that is repeatable */
RequestReceived makeRepeatable (const ServiceName& service, const OperationName& operation);

} // namespace plankledge::test
