#include "plankledge_policy/relay/entry/ServiceRoom.h"

#include "support/RelayRig.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

constexpr Time now { std::chrono::hours (1) };
constexpr std::uint32_t limit = 20;

/** The state of a gate with 20 slots. */
struct Gate
{
    std::uint32_t m_load = 0;
    std::uint16_t m_levelPermille = 1000;
    Duration m_statusAge {};
    std::optional<GateRate> m_rate {};
};

Peer peerOf (const Gate& gate)
{
    Peer peer;
    peer.m_isReachable = true;
    peer.m_gate.m_isOpen = true;
    peer.m_gate.m_limit = limit;
    peer.m_gate.m_inGate = gate.m_load;
    peer.m_gate.m_admittedPermille = gate.m_levelPermille;
    peer.m_gate.m_rate = gate.m_rate;
    peer.m_gateUpdatedAt = now - gate.m_statusAge;
    peer.m_routeTimes["read"] = Milliseconds (500);
    return peer;
}

ServiceRoom roomOf (const std::vector<Gate>& gates)
{
    std::vector<Peer> peers;
    std::vector<const Peer*> pointers;

    for (const auto& gate : gates)
        peers.push_back (peerOf (gate));

    for (const auto& peer : peers)
        pointers.push_back (&peer);

    return { pointers, now };
}

/** A target that runs four requests a second, which take 0.5 s: two of its slots are of use. */
constexpr GateRate fourPerSecond { 4.0, 0.0, 4.0 };

struct Expectation
{
    const char* m_case;
    std::vector<Gate> m_gates;
    double m_level = 1.0;
    double m_meanLevel = 1.0;
    double m_freeShare = 0.0;
};

} // namespace

//==============================================================================
// Guards against refusals for a full target although the others have free slots, and against admitting more
// than the slots of the service can run.
TEST_CASE ("the level of a service is the share of its demand that its slots can serve")
{
    const Gate full { 20, 500 };
    const Gate half { 10 };
    const Gate outdated { 0, 500, Milliseconds (1001) };
    const std::vector<Expectation> expectations {
        { "no gate is known", {}, 1.0, 1.0, 0.0 },
        { "all idle", { {}, {} }, 1.0, 1.0, 1.0 },
        { "one of five full, four at half", { full, half, half, half, half }, 1.0, 0.9, 0.4 },
        { "four of five full", { full, full, full, full, half }, 0.97 * 100 / 170, 0.6, 0.1 },
        { "all full, same level", { full, full }, 0.5, 0.5, 0.0 },
        { "all full, levels differ", { { 20, 200 }, { 20, 800 } }, 0.5, 0.5, 0.0 },
        { "all full, no overload", { { 20 }, { 20 } }, 1.0, 1.0, 0.0 },
        { "queued requests add to the demand as they are",
          { { 60, 500 }, half },
          0.97 * 40 / (20 / 0.5 + 40 + 10),
          0.75,
          0.25 },
        { "a low level with free slots, after a burst", { { 1, 200 }, { 2, 200 } }, 1.0, 0.2, 37.0 / 40 },
        { "an outdated status counts as full", { outdated, {} }, 0.97 * 40 / 40, 0.75, 0.5 },
        { "all statuses outdated", { outdated, outdated }, 0.5, 0.5, 0.0 },
        { "a status of exactly the maximum age is valid", { { 0, 500, seconds (1) } }, 1.0, 0.5, 1.0 },
        { "idle gates whose statuses are outdated don't lower the level of those that admit all",
          { { 0, 1000, seconds (2) }, { 0, 1000, seconds (2) } },
          1.0,
          1.0,
          0.0 },
        { "a rate limit bounds the slots that are of use",
          { { 2, 1000, {}, fourPerSecond }, { 20, 500 } },
          0.97 * 22 / 42,
          12.0 / 22,
          0.0 },
        { "an outdated status of a rate-limited gate",
          { { 0, 500, seconds (2), fourPerSecond }, { 0 } },
          1.0,
          21.0 / 22,
          20.0 / 22 },
        { "a target that runs nothing", { { 3, 50, {}, GateRate { 0.0, 0.0, 0.0 } } }, 1.0, 1.0, 0.0 },
        { "a full gate with a low level: its estimated demand alone exceeds the slots, the mean applies",
          { { 20, 50 }, half, half, half, half },
          0.81,
          0.81,
          0.4 },
        { "a level of 0, as only a faulty peer states",
          { { 0, 0 }, { 1, 0 } },
          0.97 * 40 / 1000,
          0.0,
          39.0 / 40 },
    };

    for (const auto& expected : expectations)
    {
        CAPTURE (expected.m_case);
        const auto room = roomOf (expected.m_gates);
        CHECK (room.level() == doctest::Approx (std::max (expected.m_level, expected.m_meanLevel)));
        CHECK (room.meanLevel() == doctest::Approx (expected.m_meanLevel));
        CHECK (room.freeShare() == doctest::Approx (expected.m_freeShare));
    }
}

// Requests that were sent after a status also use slots: without them, all entries would admit until the next
// status.
TEST_CASE ("requests sent since the last status count as demand")
{
    auto peer = peerOf ({ 10, 500 });
    CHECK (ServiceRoom ({ &peer }, now).level() == doctest::Approx (0.97));
    peer.m_sentSinceStatus = 5;
    CHECK (ServiceRoom ({ &peer }, now).level() == doctest::Approx (0.97 * 20 / 30));
    CHECK (ServiceRoom ({ &peer }, now).freeShare() == doctest::Approx (0.25));
}

// Guards against levels that admit fewer requests than before, and against values outside [0, 1].
TEST_CASE ("the level is never below the mean and never above 1")
{
    Random random (5);

    for (int trial = 0; trial < 20000; ++trial)
    {
        std::vector<Gate> gates (1 + random.below (6));

        for (auto& gate : gates)
        {
            gate = { static_cast<std::uint32_t> (random.below (60)),
                     static_cast<std::uint16_t> (random.below (1001)),
                     Milliseconds (static_cast<int> (random.below (3000))) };

            if (random.below (4) == 0)
                gate.m_rate = GateRate { static_cast<double> (random.below (60)), 0.0, 1.0 };
        }

        const auto room = roomOf (gates);
        REQUIRE (room.level() >= room.meanLevel());
        REQUIRE (room.level() <= 1.0);
        REQUIRE (room.freeShare() >= 0.0);
        REQUIRE (room.freeShare() <= 1.0);
    }
}

// Guards against a dead or closed gate that holds the level of the remaining ones down.
TEST_CASE ("gates that are unreachable or closed are not counted")
{
    PeerTable peers ({ { "entry", 1 }, "web", "zone-a", {}, MemberState::serving, 0 });

    for (const InstanceName name : { "one", "two", "three" })
    {
        peers.addOrUpdate ({ { name, 1 }, "plans", "zone-a", { "10.0.0.1", 1 }, MemberState::serving, 0 },
                           PeerTable::Source::itself);
        peers.find (name)->m_isReachable = true;
    }

    peers.onGate ("one", { true, limit, 20, {}, 0, 50 }, now);
    peers.onGate ("two", { false, limit, 20, {}, 0, 50 }, now);
    peers.onGate ("three", { true, limit, 5, {}, 0, 1000 }, now);
    peers.onUnreachable ("one");
    const ServiceRoom room (peers.acceptingRequests ("plans"), now);
    CHECK (room == roomOf ({ { 5 } }));
    CHECK (room.level() == 1.0);
}

//==============================================================================
namespace
{

/** An entry node and five targets of "plans" with 20 slots each, which take 100 ms. "/tolerant/" is a
    latency-tolerant route, "/urgent/" is not; both have the lowest of three priorities. */
struct FiveTargets : RelayRig
{
    static constexpr double capacityPerSecond = 5 * 19 / 0.1;

    explicit FiveTargets (Duration tolerantObjective)
    {
        settings().m_tolerantObjective = tolerantObjective;
        add ("entry", "web");

        for (const InstanceName& name : names)
        {
            add (name, "plans", "zone-a", limit);
            setTarget (name, [] (RelayRig& rig, const InstanceName& instance, const RelayToTarget& dispatch) {
                rig.reply (instance, dispatch.m_call, TargetReplyKind::answered, Milliseconds (100));
            });
        }

        auto tolerant = makeRoute ("tolerant", "plans");
        tolerant.m_latencyObjective = seconds (2);
        tolerant.m_priority = 2;
        auto urgent = makeRoute ("urgent", "plans");
        urgent.m_latencyObjective = Milliseconds (300);
        urgent.m_priority = 2;
        auto middle = makeRoute ("middle", "plans");
        middle.m_priority = 1;
        publish (makeTable (1, { tolerant, urgent, middle, makeRoute ("first", "plans") }));
        run (Milliseconds (300));
    }

    /** Sends requests at a constant rate.

        @returns their tickets
    */
    std::vector<Ticket> sendAt (double perSecond, const std::string& route, Duration duration)
    {
        std::vector<Ticket> tickets;

        for (const auto end = now() + duration; now() < end; run (Milliseconds (5)))
            for (m_requestsDue += perSecond * 0.005; m_requestsDue >= 1.0; m_requestsDue -= 1.0)
                tickets.push_back (sendOne ("entry", route));

        return tickets;
    }

    /** Sends a request; about half of them are client retries, which are shed first. */
    Ticket sendOne (const InstanceName& instance, const std::string& route)
    {
        const Duration timeout = m_random.below (2) == 0 ? seconds (5) : seconds (3);
        return send (instance, "r" + std::to_string (++m_nextId), "/" + route + "/x", timeout);
    }

    std::size_t refused (const std::vector<Ticket>& tickets) const
    {
        return static_cast<std::size_t> (
            std::count_if (tickets.begin(), tickets.end(), [this] (Ticket ticket) {
                return answers().at (ticket).m_result.m_reason == Reason::overloadedDownstream;
            }));
    }

    double meanLevel() const
    {
        const auto& peers = reducer ("entry").relay().peers();
        return ServiceRoom (peers.acceptingRequests ("plans"), now()).meanLevel();
    }

    const std::vector<InstanceName> names { "one", "two", "three", "four", "five" };
    int m_nextId = 0;
    double m_requestsDue = 0.0;
    Random m_random { 11 };
};

struct AfterBurst
{
    double m_meanLevel = 1.0; /**< one second after the burst */
    std::size_t m_sent = 0;   /**< from then on */
    std::size_t m_refused = 0;
    std::uint64_t m_refusedWithRoom = 0;
};

/** Sends a multiple of the capacity for a time, and then 50 requests a second of a route. */
AfterBurst replayBurst (Duration tolerantObjective, const std::string& route, double overload,
                        Duration duration)
{
    FiveTargets site (tolerantObjective);
    site.sendAt (FiveTargets::capacityPerSecond * overload, "tolerant", duration);
    site.sendAt (50, route, seconds (1));

    const auto before = site.reducer ("entry").counters().m_refusedWithRoom;
    AfterBurst result;
    result.m_meanLevel = site.meanLevel();
    const auto tickets = site.sendAt (50, route, seconds (4));
    site.run (seconds (3));
    result.m_sent = tickets.size();
    result.m_refused = site.refused (tickets);
    result.m_refusedWithRoom = site.reducer ("entry").counters().m_refusedWithRoom - before;
    return result;
}

struct Burst
{
    double m_overload = 1.0; /**< in multiples of the capacity */
    Duration m_duration {};
};

} // namespace

// Guards against refusals while the levels of the gates recover, which takes them some seconds after a burst.
TEST_CASE ("from one second after a burst, no request of a tolerant route is refused")
{
    for (const auto& [overload, duration] :
         { Burst { 3, Milliseconds (600) }, { 6, Milliseconds (1000) }, { 10, Milliseconds (900) } })
    {
        const auto tolerant = replayBurst (seconds (2), "tolerant", overload, duration);
        const auto other = replayBurst (seconds (2), "urgent", overload, duration);
        const auto disabled = replayBurst (Duration::zero(), "tolerant", overload, duration);
        MESSAGE ("burst of ", overload, " times the capacity: mean level ", tolerant.m_meanLevel,
                 "; refused of ", tolerant.m_sent, ": tolerant ", tolerant.m_refused, ", not tolerant ",
                 other.m_refused, ", setting disabled ", disabled.m_refused);

        CHECK (tolerant.m_meanLevel < 0.7);
        CHECK (tolerant.m_refused == 0);
        CHECK (tolerant.m_refusedWithRoom == 0);

        // Other routes keep the mean level; their refusals are counted.
        CHECK (other.m_refused > 0);
        CHECK (other.m_refusedWithRoom == other.m_refused);
        CHECK (disabled.m_refused > 0);
        CHECK (disabled.m_refusedWithRoom == disabled.m_refused);
    }
}

//==============================================================================
namespace
{

struct OneFull
{
    double m_fullLevel = 0.0;  /**< mean level of the full target over time */
    double m_othersUsed = 0.0; /**< mean share of the slots in use at the others over time */
    std::size_t m_sent = 0;
    std::size_t m_refused = 0;
};

/** The node "near" reaches only the target "one" and sends it 1.5 times its capacity, in equal parts of all
    priorities. "entry" sends tolerant requests that use half of the slots of the other four. */
OneFull replayOneFull (Duration tolerantObjective)
{
    constexpr int steps = 1600;
    constexpr int settlingSteps = 600; // The level of the full target takes some seconds to settle.
    FiveTargets site (tolerantObjective);
    site.add ("near", "web");

    for (const auto& name : site.names)
        if (name != "one")
            site.addPartition ("near", name);

    site.run (seconds (1));
    OneFull result;
    std::vector<Ticket> tickets;
    double due = 0.0;
    const std::vector<RouteName> routes { "first", "middle", "urgent" };

    for (int step = 0; step < steps; ++step)
    {
        for (due += FiveTargets::capacityPerSecond / 5 * 1.5 * 0.005; due >= 1.0; due -= 1.0)
            site.sendOne ("near", routes[site.m_random.below (3)]);

        const auto sent = site.sendAt (FiveTargets::capacityPerSecond * 0.4, "tolerant", Milliseconds (5));

        if (step < settlingSteps)
            continue;

        tickets.insert (tickets.end(), sent.begin(), sent.end());

        for (const auto* peer : site.reducer ("entry").relay().peers().acceptingRequests ("plans"))
            if (peer->m_member.m_id.m_instance == "one")
                result.m_fullLevel += peer->m_gate.m_admittedPermille / 1000.0;
            else
                result.m_othersUsed += peer->load() / 4.0 / peer->m_gate.m_limit;
    }

    site.run (seconds (3));
    result.m_fullLevel /= steps - settlingSteps;
    result.m_othersUsed /= steps - settlingSteps;
    result.m_sent = tickets.size();
    result.m_refused = site.refused (tickets);
    return result;
}

} // namespace

// Guards against refusals at the entry for a target that others keep full, while the remaining targets have
// free slots.
TEST_CASE (
    "while one of five targets is kept full, at most 1 % of the requests of tolerant routes are refused")
{
    const auto tolerant = replayOneFull (seconds (2));
    const auto disabled = replayOneFull (Duration::zero());
    MESSAGE ("level of the full target ", tolerant.m_fullLevel, ", slots in use at the others ",
             tolerant.m_othersUsed, "; refused of ", tolerant.m_sent, ": ", tolerant.m_refused,
             ", setting disabled ", disabled.m_refused);
    CHECK (tolerant.m_fullLevel < 0.8);
    CHECK (tolerant.m_othersUsed > 0.4);
    CHECK (tolerant.m_refused <= tolerant.m_sent / 100);
    CHECK (disabled.m_refused > disabled.m_sent / 20);
}

} // namespace plankledge::test
