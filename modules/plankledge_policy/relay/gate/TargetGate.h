#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/RelaySettings.h"
#include "plankledge_policy/relay/crashes/CrashGuard.h"
#include "plankledge_policy/relay/gate/ActiveChains.h"
#include "plankledge_policy/relay/gate/AdmissionLevel.h"
#include "plankledge_policy/relay/gate/GateCall.h"
#include "plankledge_policy/relay/gate/LocalTarget.h"
#include "plankledge_policy/relay/gate/RouteTimes.h"
#include "plankledge_policy/relay/gate/StatedLoad.h"
#include "plankledge_policy/relay/gate/TargetRateLimit.h"
#include "plankledge_policy/relay/routes/CallGraph.h"
#include "plankledge_policy/relay/routes/StopSchedule.h"

#include <functional>
#include <map>
#include <optional>
#include <tuple>

namespace plankledge
{

//==============================================================================
/**
    Admission control and queueing for the local target. Requests for the target from all
    nodes pass through its gate.

    The gate limits the number of requests running at the target, so that the target itself
    does not queue any, and their rate to the one that the target states. Requests above a limit
    are queued here; a request that cannot be dispatched in time is refused at once. New requests are refused
   while the target is leaving or this node is stopping.

    @see RelayEntry
*/
class TargetGate
{
public:
    //==============================================================================
    struct Hooks
    {
        /** Delivers the answer to a call that this node sent to its own gate. */
        std::function<void (Turn&, const RelayAnswer&)> m_answerLocally;

        /** Called when peers should be sent the gate's status without delay: it opened or closed, the target
            was replaced, or the admission level changed considerably. */
        std::function<void (Turn&)> m_onStatusChanged;

        /** Called when the target, or one that has not been announced yet, is leaving; may be called again.
         */
        std::function<void (Turn&, const TargetIncarnation&)> m_onTargetLeaving;

        /** @returns the version of the active routes, which is sent with each answer */
        std::function<ConfigurationVersion()> m_version;

        /** Detects requests that crash targets; must outlive the gate. */
        CrashGuard& m_crashes;
    };

    TargetGate (const RelaySettings& settings, Hooks hooks);

    //==============================================================================
    /** Queues, dispatches or refuses a request.

        @param request   its remaining times count from now
    */
    void receive (Turn& turn, const GateCaller& caller, RelayRequest request);

    /** Refuses a request that was not passed to receive(). */
    void refuse (Turn& turn, const GateCaller& caller, const RouteName& route, Reason reason);

    void cancel (Turn& turn, const GateCaller& caller);
    void onLinkClosed (Turn& turn, LinkId link);
    void onReply (Turn& turn, const TargetReply& reply);
    void onAnnounced (Turn& turn, const TargetAnnounced& announced);
    void onDeadline (Turn& turn, CallId id);
    void onQueueTimeout (Turn& turn, CallId id);
    void onRateLimitTimer (Turn& turn);
    void onWindowEnd (Turn& turn);
    void onPeriodEnd (Turn& turn);

    /** Lets the gate open. Until then it is held closed, since a restarted node does not know yet whether its
        target has stated a rate limit or that it is leaving. */
    void release (Turn& turn);

    /** Applies what was known of this target before this node restarted. */
    void onRestrictionReported (Turn& turn, const TargetRestriction& restriction);

    /** Must be called when all incarnations of the target that were leaving at the start of this process have
        been reported. Until then the gate opens only after a second announcement. */
    void onLeavingTargetsKnown (Turn& turn);

    /** The node exits at a time: requests that can't be completed by then are refused, so that their senders
        use other targets. */
    void planStop (Time exitsAt) noexcept { m_stopSchedule.stop (exitsAt); }

    /** Refuses queued and new requests; running requests complete. */
    void stop (Turn& turn);

    //==============================================================================
    /** A request running at the target. */
    struct Running
    {
        const RelayRequest& m_request;
        Time m_chainStartedAt;
        std::uint32_t m_completedCalls = 0; /**< nested calls that succeeded */
    };

    /** @returns the request with this id, or nullopt if it is not running here */
    std::optional<Running> findRunning (std::string_view requestId) const noexcept;

    /** Records a nested call made by a running request. */
    void onNestedCall (const RouteName& caller, const RouteName& callee, const ServiceName& service);

    /** Records that a nested call of the running request with this id succeeded. */
    void onCallCompleted (std::string_view requestId) noexcept;

    GateStatus status (Time now) const;

    /** @returns the expected time of each route, for the work time that is valid at a time */
    std::vector<RouteTime> routeTimes (Time now) const { return m_serviceTimes.all (m_load.workTime (now)); }

    std::vector<CallEdge> callEdges() const { return m_graph.ownEdges(); }
    const LocalTarget& target() const noexcept { return m_target; }

    const TargetRateLimit& rateLimit() const noexcept { return m_rateLimit; }
    const StatedLoad& statedLoad() const noexcept { return m_load; }
    bool isIdle() const noexcept { return m_calls.empty(); }
    std::size_t running() const noexcept { return m_running; }
    std::size_t queued() const noexcept { return m_queue.size(); }

private:
    //==============================================================================
    /** Queue order: active chains first, since work is wasted if they fail; then by effective priority; then
        by the start of the chain for active chains and by arrival for others. */
    using QueueKey = std::tuple<bool, std::uint16_t, Time, CallId>;

    using Call = detail::GateCall;

    Call makeCall (Turn& turn, const GateCaller& caller, RelayRequest request) const;
    static QueueKey queueKeyOf (CallId id, const Call& call) noexcept;
    std::uint32_t limit() const noexcept;
    Duration expectedSlotWait (CallId id, const Call& call) const noexcept;
    Duration expectedRateWait (CallId id, const Call& call, Time now) const;
    Reason refusalReason (Turn& turn, CallId id, const Call& call) const noexcept;
    void dispatchNext (Turn& turn);
    void dispatch (Turn& turn, CallId id);
    void resetTargetState (Turn& turn);
    void endRunning (Turn& turn);
    void refuseQueue (Turn& turn, Reason reason);
    void finish (Turn& turn, CallId id, RelayResult result);
    void answer (Turn& turn, const GateCaller& caller, const RouteName& route, RelayResult result);
    Call removeCall (Turn& turn, CallId id);
    void addSample (const Call& call, Time now, bool isFailure);
    void updateQueuedWork (Time now);
    void onCondition (Turn& turn, const Call& call, const TargetCondition& condition);
    void onLeavingStated (Turn& turn, const TargetIncarnation& target);
    void onRateLimitChanged (Turn& turn, std::optional<double> before);
    void setRateLimitTimer (Turn& turn, Time due);
    std::optional<TargetRestriction> restriction() const;
    RelayResult refusal (Reason reason, Time now) const;
    Duration capacityOfPeriod (Duration requested) const;
    void updateCrashGuard (Turn& turn, const Call& call, const TargetReply& reply);
    void updateCrashGuard (const LocalTarget::Change& change, bool wasLeaving, Time now);
    bool isWithheld (const Call& call, Time now) const;
    bool canComplete (const Call& call, Time now) const noexcept;
    void countIfLost (Turn& turn, const Call& call) const;
    void updateOpen (Turn& turn);

    Hooks m_hooks;
    LocalTarget m_target;
    TargetRateLimit m_rateLimit;
    std::optional<TargetRestriction> m_reported; /**< the latest one of a target that is not announced */
    StatedLoad m_load;
    std::optional<Time> m_rateLimitTimerDue; /**< nullopt: none pending */
    bool m_isStatusDirty = false;            /**< to be sent to peers at the end of the window */
    AdmissionLevel m_level;
    int m_publishedLevel = 1000; /**< thousandths; as last passed to m_onStatusChanged */
    CallGraph m_graph;
    std::map<CallId, Call> m_calls;
    std::map<GateCaller, CallId> m_byCaller;
    std::map<std::string, CallId, std::less<>> m_runningByRequest; /**< running requests, by request id */
    std::map<QueueKey, CallId> m_queue;
    ActiveChains m_activeChains; /**< chains with a request already dispatched */
    std::size_t m_running = 0;
    CallId m_nextCallId = 1;
    Duration m_requestedWork {};                 /**< slot time of the requests received in this period */
    std::size_t m_requestedCalls = 0;            /**< received in this period */
    std::optional<double> m_sustainableCalls {}; /**< in this period; nullopt without a rate limit */
    Duration m_queuedWork {};                    /**< slot time of the queued requests */
    RouteTimes m_serviceTimes;                   /**< of successful requests */
    RouteTimes m_slotTimes;                      /**< of all dispatched requests, including failed ones */
    StopSchedule m_stopSchedule;                 /**< of requests from their dispatch to their end */
    double m_failureRate = 0.0;                  /**< moving average, 0 to 1 */
    Time m_closedUntil;                          /**< set when a connection was refused */
    bool m_isOpen = false;
    bool m_isHeld = true;
    bool m_isStopping = false;
};

} // namespace plankledge
