#include "plankledge_policy/relay/gate/StatedLoad.h"

#include "plankledge_policy/relay/gate/GateLog.h"
#include "plankledge_runtime/NodeMetrics.h"
#include "support/RelayRig.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>

/*  Guards against a gate that uses an outdated load, one of an earlier incarnation of its target, or one that
   can't be read; and against queue waits and times sent to entries that lag behind the target's speed. */
namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

const Time start { std::chrono::hours (1) };
const TargetIncarnation current { "target", Milliseconds (2000) };
const TargetIncarnation earlier { "target", Milliseconds (1000) };
const TargetIncarnation otherTarget { "other", Milliseconds (2000) };
constexpr StatedLoad::GateLoad quiet { 3, 19 };

TargetCondition stating (std::optional<std::uint16_t> workTime, std::uint32_t waiting = 0)
{
    TargetCondition condition;
    condition.m_load = TargetLoad { 4, waiting, 20, workTime };
    return condition;
}

TargetCondition malformed()
{
    TargetCondition condition;
    condition.m_isLoadMalformed = true;
    return condition;
}

StatedLoad makeLoad()
{
    StatedLoad load;
    load.onNewIncarnation (current);
    return load;
}

} // namespace

//==============================================================================
TEST_CASE ("a stated work time is valid for one second")
{
    auto load = makeLoad();
    CHECK_FALSE (load.workTime (start).has_value());
    load.onAnswer (stating (150), current, quiet, start);
    CHECK (load.workTime (start) == 150);
    CHECK (load.workTime (start + StatedLoad::validity) == 150);
    CHECK_FALSE (load.workTime (start + StatedLoad::validity + Duration (1)).has_value());
    CHECK (load.last() == stating (150).m_load);
    CHECK (load.age (start + seconds (3)) == seconds (3));
    load.onAnswer (stating (90), current, quiet, start + seconds (3));
    CHECK (load.workTime (start + seconds (3)) == 90);
}

TEST_CASE (
    "answers without a load, with a malformed one or without a work time leave the stated work time valid")
{
    const TargetCondition conditions[] = { {}, malformed(), stating (std::nullopt) };

    for (const auto& condition : conditions)
    {
        auto load = makeLoad();
        load.onAnswer (stating (150), current, quiet, start);
        const auto findings = load.onAnswer (condition, current, quiet, start + Milliseconds (900));
        CHECK (findings == StatedLoad::Findings());
        CHECK (load.workTime (start + Milliseconds (1000)) == 150);
        CHECK_FALSE (load.workTime (start + Milliseconds (1001)).has_value());
    }
}

TEST_CASE ("a target that states three figures has a load but no work time")
{
    auto load = makeLoad();
    load.onAnswer (stating (std::nullopt, 2), current, quiet, start);
    CHECK (load.last() == TargetLoad { 4, 2, 20, std::nullopt });
    CHECK_FALSE (load.workTime (start).has_value());
    CHECK (load.maxWaiting() == 2);
}

TEST_CASE (
    "answers of an incarnation other than the current one are ignored; a new incarnation clears the load")
{
    auto load = makeLoad();
    load.onAnswer (stating (100, 7), current, quiet, start);

    for (const auto& other : { earlier, otherTarget, TargetIncarnation { "target", std::nullopt } })
    {
        CHECK (load.onAnswer (stating (500, 9), other, quiet, start) == StatedLoad::Findings());
        CHECK (load.workTime (start) == 100);
        CHECK (load.maxWaiting() == 7);
        CHECK_FALSE (load.workTimeOf (other, start).has_value());
    }

    CHECK (load.workTimeOf (current, start) == 100);
    const TargetIncarnation next { "target", Milliseconds (3000) };
    load.onNewIncarnation (next);
    CHECK_FALSE (load.last().has_value());
    CHECK_FALSE (load.workTime (start).has_value());
    CHECK (load.maxWaiting() == 0);
    load.onAnswer (stating (500), current, quiet, start);
    CHECK_FALSE (load.last().has_value());
    load.onAnswer (stating (60), next, quiet, start);
    CHECK (load.workTime (start) == 60);
}

TEST_CASE ("the maximum of waiting requests is kept")
{
    auto load = makeLoad();

    for (const std::uint32_t waiting : { 1U, 8U, 3U, 0U })
        load.onAnswer (stating (100, waiting), current, quiet, start);

    CHECK (load.maxWaiting() == 8);
}

//==============================================================================
TEST_CASE ("estimates are renewed when the work time has moved by a tenth, or was not valid")
{
    struct Row
    {
        std::uint16_t m_workTime;
        int m_atMs;
        bool m_isMoved;
    };

    const Row rows[] = { { 100, 0, true },    { 109, 10, false },  { 110, 20, true }, { 105, 30, false },
                         { 119, 40, false },  { 99, 50, true },    { 550, 60, true }, { 550, 70, false },
                         { 550, 1071, true }, { 545, 2071, false } };
    auto load = makeLoad();

    for (const auto& row : rows)
    {
        CAPTURE (row.m_atMs);
        const auto findings =
            load.onAnswer (stating (row.m_workTime), current, quiet, start + Milliseconds (row.m_atMs));
        CHECK (findings.m_isWorkTimeMoved == row.m_isMoved);
    }
}

TEST_CASE (
    "a work time that leaves the range within a factor of 2 of its mean is reported, at most once a second")
{
    auto load = makeLoad();
    auto now = start;
    std::vector<std::pair<int, bool>> reports;

    // At 100 percent, then alternately at 250 and 100 every 100 ms, then at 100 again; as milliseconds.
    for (int atMs = 0; atMs < 15000; atMs += 20)
    {
        now = start + Milliseconds (atMs);
        const bool isSlow = atMs >= 10000 && atMs < 13000 && atMs / 100 % 2 == 0;
        const auto findings = load.onAnswer (stating (isSlow ? 250 : 100), current, quiet, now);

        if (findings.m_isWorkTimeUnusual.has_value())
            reports.emplace_back (atMs, *findings.m_isWorkTimeUnusual);
    }

    REQUIRE (reports.size() >= 2);
    CHECK (reports.size() <= 5);
    CHECK (reports.front() == std::pair (10000, true));
    CHECK_FALSE (reports.back().second);

    for (std::size_t index = 1; index < reports.size(); ++index)
    {
        CHECK (reports[index].first - reports[index - 1].first >= 1000);
        CHECK (reports[index].second != reports[index - 1].second);
    }

    CHECK (load.meanWorkTime() > 100.0);
    CHECK (load.meanWorkTime() < 125.0);
}

TEST_CASE (
    "requests that wait at the target while the gate is within its limit are reported, at most once a second")
{
    auto load = makeLoad();
    const StatedLoad::GateLoad atLimit { 18, 19 };
    const StatedLoad::GateLoad beyondLimit { 19, 19 };
    CHECK_FALSE (load.onAnswer (stating (100, 0), current, quiet, start).m_isWaitingWithinLimit);
    CHECK_FALSE (load.onAnswer (stating (100, 4), current, beyondLimit, start).m_isWaitingWithinLimit);
    CHECK (load.onAnswer (stating (100, 4), current, atLimit, start).m_isWaitingWithinLimit);
    CHECK_FALSE (
        load.onAnswer (stating (100, 4), current, quiet, start + Milliseconds (999)).m_isWaitingWithinLimit);
    CHECK (load.onAnswer (stating (100, 4), current, quiet, start + seconds (1)).m_isWaitingWithinLimit);
}

//==============================================================================
namespace
{

/** A target whose durations have a fixed part of 10 ms and a part of 40 ms at the usual work time, with an
   entry node beside it. */
class SpeedSite : public RelayRig
{
public:
    static constexpr std::uint32_t slots = 20;

    explicit SpeedSite (bool isWorkTimeStated)
        : m_isWorkTimeStated (isWorkTimeStated)
    {
        add ("entry", "web");
        add ("one", "plans", "zone-a", slots);
        publish (makeTable (1, { makeRoute ("read", "plans") }));
        setTarget ("one", [this] (RelayRig&, const InstanceName& instance, const RelayToTarget& dispatch) {
            replyWith (instance, makeReply (dispatch.m_call), durationAt (m_workTime));
        });
        run (seconds (1));
    }

    static Duration durationAt (std::uint16_t workTime)
    {
        return Milliseconds (10) + Duration (400) * workTime;
    }

    TargetReply makeReply (CallId call) const
    {
        auto condition = stating (m_isWorkTimeStated ? std::optional (m_workTime) : std::nullopt);
        return { call, TargetReplyKind::answered, { 200, {}, "answer" }, condition };
    }

    void setWorkTime (std::uint16_t percent) { m_workTime = percent; }

    /** Sends requests at a constant rate. */
    std::vector<Ticket> runUnderLoad (Duration duration, unsigned perSecond)
    {
        std::vector<Ticket> tickets;
        const auto step = Duration (seconds (1)) / perSecond;

        for (const auto end = now() + duration; now() < end; run (step))
            tickets.push_back (send ("entry", "r" + std::to_string (++m_sent), "/read/x"));

        return tickets;
    }

    /** Runs at varying work times, so that the gate learns how durations depend on them. */
    void learn()
    {
        Random random (7);

        for (int index = 0; index < 50; ++index)
        {
            setWorkTime (static_cast<std::uint16_t> (55 + random.below (150)));
            runUnderLoad (Milliseconds (200), 100);
        }

        setWorkTime (60);
        runUnderLoad (seconds (2), 100);
    }

    const TargetGate& gate() const { return reducer ("one").relay().gate(); }

    /** @returns the time of the route as known to the entry */
    Duration timeAtEntry() const
    {
        return reducer ("entry").relay().peers().find ("one")->m_routeTimes.at ("read");
    }

    std::size_t count (const std::vector<Ticket>& tickets, Reason reason) const
    {
        return static_cast<std::size_t> (std::count_if (tickets.begin(), tickets.end(), [&] (Ticket ticket) {
            const auto answer = answers().find (ticket);
            return answer != answers().end() && answer->second.m_result.m_reason == reason;
        }));
    }

private:
    bool m_isWorkTimeStated;
    std::uint16_t m_workTime = 100;
    std::uint64_t m_sent = 0;
};

double ratio (Duration one, Duration other)
{
    return static_cast<double> (one.count()) / static_cast<double> (other.count());
}

} // namespace

TEST_CASE ("entries know a changed speed with the first answer that states it, and the mean does not show it")
{
    for (const bool isStated : { false, true })
    {
        CAPTURE (isStated);
        SpeedSite site (isStated);
        site.learn();
        site.setWorkTime (150);

        // One duration, one request more and both ways.
        site.runUnderLoad (SpeedSite::durationAt (150) + Milliseconds (15), 100);
        const auto up = ratio (site.timeAtEntry(), SpeedSite::durationAt (150));
        site.runUnderLoad (seconds (1), 100);
        site.setWorkTime (60);
        site.runUnderLoad (SpeedSite::durationAt (60) + Milliseconds (15), 100);
        const auto down = ratio (site.timeAtEntry(), SpeedSite::durationAt (60));
        MESSAGE ("known time / time after the step up " << up << ", after the step down " << down);

        CHECK (up > (isStated ? 0.9 : 0.0));
        CHECK (up < (isStated ? 1.1 : 0.7));
        CHECK (down > (isStated ? 0.9 : 1.4));
        CHECK (down < (isStated ? 1.1 : 9.9));
    }
}

TEST_CASE ("queued requests are estimated again as soon as the target states another work time")
{
    for (const bool isStated : { false, true })
    {
        CAPTURE (isStated);
        SpeedSite site (isStated);
        site.learn();

        // Requests that end at the new speed hold all slots; 20 more wait.
        site.setWorkTime (150);

        for (int index = 0; index < 39; ++index)
            site.send ("entry", "q" + std::to_string (index), "/read/x");

        site.run (Milliseconds (60));
        const auto before = site.gate().status (site.now());
        const auto queuedBefore = site.gate().queued();
        REQUIRE (queuedBefore >= 10);

        while (site.gate().queued() == queuedBefore)
            site.run (Milliseconds (1));

        const auto after = site.gate().status (site.now());
        const auto queued = site.gate().queued();
        REQUIRE (queued >= 1);
        const auto perRequest = after.m_queuedWork / static_cast<Duration::rep> (queued);
        MESSAGE ("queued " << queuedBefore << ", then " << queued << "; expected slot time of one "
                           << perRequest.count() << " us, before "
                           << (before.m_queuedWork / static_cast<Duration::rep> (queuedBefore)).count());
        const auto known = ratio (perRequest, SpeedSite::durationAt (150));
        CHECK (known > (isStated ? 0.9 : 0.0));
        CHECK (known < (isStated ? 1.1 : 0.8));
        site.run (seconds (2));
        CHECK (site.gate().status (site.now()).m_queuedWork == Duration::zero());
    }
}

TEST_CASE ("requests that the target can no longer serve in time are refused without waiting in the queue")
{
    for (const bool isStated : { false, true })
    {
        CAPTURE (isStated);
        SpeedSite site (isStated);
        site.learn();
        site.setWorkTime (300);
        site.runUnderLoad (SpeedSite::durationAt (300) + Milliseconds (20), 50);

        // The last of these would wait for 0.5 s, and may wait for 0.4 s.
        std::vector<Ticket> tickets;
        const auto sentAt = site.now();

        for (int index = 0; index < 100; ++index)
            tickets.push_back (site.send ("entry", "s" + std::to_string (index), "/read/x"));

        site.run (seconds (4));
        std::size_t served = 0;
        std::size_t refused = 0;
        Duration longest {};

        for (const auto ticket : tickets)
        {
            const auto& answer = site.answers().at (ticket);
            const bool isServed = answer.m_result.m_outcome == Outcome::completed;
            ++(isServed ? served : refused);

            if (! isServed)
                longest = std::max (longest, answer.m_at - sentAt);
        }

        MESSAGE ("served " << served << ", refused " << refused << ", the last after "
                           << toMilliseconds (longest) << " ms");
        CHECK (served >= 60);
        REQUIRE (refused >= 5);
        CHECK (longest < (isStated ? Milliseconds (50) : Milliseconds (500)));
        CHECK (longest > (isStated ? Milliseconds (0) : Milliseconds (350)));
    }
}

TEST_CASE ("after one second without a stated work time the mean is used")
{
    SpeedSite site (true);
    site.learn();
    site.setWorkTime (150);
    const auto ticket = site.send ("entry", "last", "/read/x");
    site.run (Milliseconds (90));
    REQUIRE (site.answers().contains (ticket));
    const auto statedAt = site.now() - site.gate().statedLoad().age (site.now());
    const auto timeAt = [&site] (Time time) { return site.gate().routeTimes (time).front().m_time; };
    const auto atOnce = timeAt (site.now());
    CHECK (ratio (atOnce, SpeedSite::durationAt (150)) > 0.9);

    // Between the ends of two windows too, since a status may be sent to peers at any time.
    CHECK (timeAt (statedAt + StatedLoad::validity) == atOnce);
    CHECK (ratio (timeAt (statedAt + StatedLoad::validity + Duration (1)), SpeedSite::durationAt (60)) < 1.2);
    site.run (Milliseconds (850));
    CHECK (timeAt (site.now()) == atOnce);
    site.run (Milliseconds (250));
    CHECK (ratio (timeAt (site.now()), SpeedSite::durationAt (60)) < 1.2);
}

TEST_CASE ("a restart of the target clears the load; late and surplus answers don't state one")
{
    SpeedSite site (true);
    site.learn();
    REQUIRE (site.gate().statedLoad().last().has_value());

    site.setTarget ("one", [] (RelayRig&, const InstanceName&, const RelayToTarget&) {});
    site.send ("entry", "running", "/read/x");
    site.run (Milliseconds (10));
    REQUIRE (site.runsOf ("running").size() == 1);
    const auto before = site.runsOf ("running").front().m_dispatch.m_call;
    site.restartTarget ("one", SpeedSite::slots);
    site.run (Milliseconds (20));
    CHECK_FALSE (site.gate().statedLoad().last().has_value());

    // The answer of the request that ran at the earlier incarnation, twice.
    site.replyWith ("one", site.makeReply (before), Milliseconds (1));
    site.replyWith ("one", site.makeReply (before), Milliseconds (2));
    site.run (Milliseconds (50));
    CHECK_FALSE (site.gate().statedLoad().last().has_value());

    // The answer of a request at the new incarnation.
    site.send ("entry", "next", "/read/x");
    site.run (Milliseconds (20));
    REQUIRE (site.runsOf ("next").size() == 1);
    site.replyWith ("one", site.makeReply (site.runsOf ("next").front().m_dispatch.m_call), Milliseconds (1));
    site.run (Milliseconds (20));
    CHECK (site.gate().statedLoad().last().has_value());
}

TEST_CASE (
    "an answer of a request sent to a target that was replaced does not state the load of the next one")
{
    SpeedSite site (true);
    site.learn();
    site.setTarget ("one", [] (RelayRig&, const InstanceName&, const RelayToTarget&) {});
    site.send ("entry", "running", "/read/x");
    site.run (Milliseconds (10));
    const auto runs = site.runsOf ("running");
    REQUIRE (runs.size() == 1);
    site.replaceTarget ("one");
    site.announce ("one");
    site.run (Milliseconds (10));
    CHECK_FALSE (site.gate().statedLoad().last().has_value());
    site.replyWith ("one", site.makeReply (runs.front().m_dispatch.m_call), Milliseconds (1));
    site.run (Milliseconds (10));
    CHECK_FALSE (site.gate().statedLoad().last().has_value());
}

TEST_CASE ("malformed loads are counted and ignored")
{
    SpeedSite site (true);
    site.learn();
    const auto workTime = site.gate().statedLoad().workTime (site.now());
    REQUIRE (workTime.has_value());
    site.setTarget ("one", [] (RelayRig& rig, const InstanceName& instance, const RelayToTarget& dispatch) {
        rig.replyWith (instance,
                       { dispatch.m_call, TargetReplyKind::answered, { 200, {}, "answer" }, malformed() },
                       Milliseconds (5));
    });
    const auto tickets = site.runUnderLoad (Milliseconds (50), 100);
    site.run (Milliseconds (50));
    CHECK (site.count (tickets, Reason::none) == tickets.size());
    CHECK (site.reducer ("one").counters().m_malformedLoads == tickets.size());
    CHECK (site.gate().statedLoad().workTime (site.now()) == workTime);
}

//==============================================================================
TEST_CASE ("each finding is logged in one line with its inputs; without one nothing is logged")
{
    const NodeSettings settings;
    Counters counters;
    TimerQueue timers;
    Random random (1);
    Turn turn (settings, counters, timers, random);
    turn.begin (start);
    auto load = makeLoad();
    load.onAnswer (stating (100, 5), current, quiet, start);
    StatedLoad::Findings findings { true, std::nullopt, false };
    detail::logStatedLoad (turn, "target", load, findings, 3);
    CHECK (turn.takeEffects().empty());

    findings = { true, false, true };
    detail::logStatedLoad (turn, "target", load, findings, 3);
    const Effects expected { LogDecision { Decision::targetConditionChanged,
                                           {},
                                           { { "target", "target" },
                                             { "work_time_percent", "100" },
                                             { "mean_percent", "100" },
                                             { "unusual", "no" } } },
                             LogDecision { Decision::targetConditionChanged,
                                           {},
                                           { { "target", "target" },
                                             { "waiting", "5" },
                                             { "stated_running", "4" },
                                             { "stated_slots", "20" },
                                             { "running", "3" } } } };
    CHECK (turn.takeEffects() == expected);
}

TEST_CASE ("the metrics show the last stated load, and none before the first one")
{
    SpeedSite site (true);
    const auto render = [&site] {
        return renderRelayMetrics (site.reducer ("one"), NodeMetrics(), ControlTraffic(), site.now());
    };
    CHECK (render().find ("target_stated") == std::string::npos);
    CHECK (render().find ("plankledge_malformed_loads_total 0\n") != std::string::npos);
    site.runUnderLoad (seconds (1), 20);

    for (const auto* line :
         { "target_stated_running 4\n", "target_stated_waiting 0\n", "target_stated_waiting_max 0\n",
           "target_stated_slots 20\n", "target_stated_work_time_percent 100\n" })
    {
        CAPTURE (line);
        CHECK (render().find (std::string ("plankledge_") + line) != std::string::npos);
    }
}

} // namespace plankledge::test
