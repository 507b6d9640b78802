#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/RelaySettings.h"
#include "plankledge_policy/relay/crashes/CrashGuard.h"
#include "plankledge_policy/relay/gate/AdmissionLevel.h"
#include "plankledge_policy/relay/gate/BegunChains.h"
#include "plankledge_policy/relay/gate/GateCall.h"
#include "plankledge_policy/relay/gate/OwnTarget.h"
#include "plankledge_policy/relay/gate/RouteTimes.h"
#include "plankledge_policy/relay/routes/CallGraph.h"

#include <functional>
#include <map>
#include <optional>
#include <tuple>

namespace plankledge
{

//==============================================================================
/**
    Stands in front of the own target: all requests for it pass here, from every node.

    It keeps the target's own queue empty. What has no slot waits here, by urgency; what
    can't have a slot in time is refused before it costs anything. Once the target has said
    that it leaves, or this node stops, nothing new is taken.

    @see RelayEntry
*/
class TargetGate
{
public:
    //==============================================================================
    struct Hooks
    {
        /** The answer of a call that this node sent to its own gate. */
        std::function<void (Turn&, const RelayAnswer&)> m_answerLocally;

        /** The gate opened or shut, or admits clearly more or less: peers are to know soon. */
        std::function<void (Turn&)> m_onMoved;

        /** The version of the routes in force, told with each answer. */
        std::function<ConfigurationVersion()> m_version;

        /** Which requests crash targets; outlives the gate. */
        CrashGuard& m_crashes;
    };

    TargetGate (const RelaySettings& settings, Hooks hooks);

    //==============================================================================
    /** Takes in a request; its time left is as it is now. */
    void receive (Turn& turn, const GateCaller& caller, RelayRequest request);

    void cancel (Turn& turn, const GateCaller& caller);
    void onLinkClosed (Turn& turn, LinkId link);
    void onReply (Turn& turn, const TargetReply& reply);
    void onAnnounced (Turn& turn, const TargetAnnounced& announced);
    void onDeadline (Turn& turn, CallId id);
    void onHoldEnd (Turn& turn, CallId id);
    void onWindowEnd (Turn& turn);
    void onPeriodEnd (Turn& turn);

    /** Takes nothing new any more; what runs is finished. */
    void stop (Turn& turn);

    //==============================================================================
    /** A request that runs at the target. */
    struct Running
    {
        const RelayRequest& m_request;
        Time m_chainStartedAt;
        std::uint32_t m_callsDone = 0; /**< that it made, and that ended well */
    };

    /** @returns the request with this id, or nullopt where it does not run here */
    std::optional<Running> findRunning (std::string_view requestId) const noexcept;

    /** A request that runs at the target made a call. */
    void onNestedCall (const RouteName& caller, const RouteName& callee, const ServiceName& service);

    /** A call of the request with this id, which runs at the target, ended well. */
    void onCallDone (std::string_view requestId) noexcept;

    GateStatus status() const noexcept;
    std::vector<RouteTime> routeTimes() const { return m_serviceTimes.all(); }
    std::vector<CallEdge> callEdges() const { return m_graph.ownEdges(); }
    const OwnTarget& target() const noexcept { return m_target; }
    bool isIdle() const noexcept { return m_calls.empty(); }
    std::size_t running() const noexcept { return m_running; }
    std::size_t queued() const noexcept { return m_queue.size(); }

private:
    //==============================================================================
    /** The order of the queue: chains that have begun here, since what they have taken of the slots is lost
       with them; urgency; then the older chain among those that have begun, and the earlier arrival among
       others. */
    using QueueKey = std::tuple<bool, std::uint16_t, Time, CallId>;

    using Call = detail::GateCall;

    Call makeCall (Turn& turn, const GateCaller& caller, RelayRequest request) const;
    static QueueKey keyOf (CallId id, const Call& call) noexcept;
    std::uint32_t limit() const noexcept;
    Duration expectedWait (CallId id, const Call& call) const noexcept;
    Reason refusalOf (Turn& turn, CallId id, const Call& call) const noexcept;
    void dispatchNext (Turn& turn);
    void dispatch (Turn& turn, CallId id);
    void beginLife (Turn& turn);
    void endRunning (Turn& turn);
    void refuseQueue (Turn& turn, Reason reason);
    void finish (Turn& turn, CallId id, RelayResult result);
    void answer (Turn& turn, const GateCaller& caller, const RouteName& route, RelayResult result);
    Call take (Turn& turn, CallId id);
    void learn (const Call& call, Time now, bool isFailure);
    void noteForCrashes (Turn& turn, const Call& call, TargetReplyKind kind);
    void noteForCrashes (const OwnTarget::Change& change, bool wasLeaving, Time now);
    bool mayCrash (const Call& call, Time now) const;
    void countIfLost (Turn& turn, const Call& call) const;
    void updateOpen (Turn& turn);

    Hooks m_hooks;
    OwnTarget m_target;
    AdmissionLevel m_level;
    int m_toldLevel = 1000; /**< thousandths; what peers were told at once */
    CallGraph m_graph;
    std::map<CallId, Call> m_calls;
    std::map<GateCaller, CallId> m_byCaller;
    std::map<std::string, CallId, std::less<>> m_byRequest; /**< those that run */
    std::map<QueueKey, CallId> m_queue;
    BegunChains m_begun; /**< that had a call run at the target */
    std::size_t m_running = 0;
    CallId m_next = 1;
    Duration m_asked {};       /**< slot time of the requests that came in this period */
    Duration m_queuedWork {};  /**< slot time of the requests that wait */
    RouteTimes m_serviceTimes; /**< of whole answers */
    RouteTimes m_slotTimes;    /**< that requests hold a slot, whatever comes of them */
    double m_failures = 0.0;   /**< share of recent answers */
    Time m_shutUntil;          /**< after a connection was refused */
    bool m_isOpen = false;
    bool m_isStopping = false;
};

} // namespace plankledge
