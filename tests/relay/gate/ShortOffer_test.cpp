#include "support/RelayRig.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

constexpr std::uint16_t fullLevel = 1000;
constexpr Duration workTime = Milliseconds (50);
constexpr Duration shortQueueTime = Milliseconds (50);
constexpr std::uint32_t manySlots = 20;

/** A gate that receives requests from an entry. Its target answers requests of the route "read" after
    workTime and those of the route "hold" never. */
struct GateSite : RelayRig
{
    explicit GateSite (std::uint32_t slots)
    {
        add ("entry", "web");
        add ("one", "plans", "zone-a", slots);
        setTarget ("one", [this] (RelayRig&, const InstanceName&, const RelayToTarget& dispatch) {
            if (dispatch.m_content.m_path == "/read")
                replyWith ("one",
                           { dispatch.m_call,
                             TargetReplyKind::answered,
                             { 200, {}, "answer" },
                             TargetCondition { m_rate, false, false } },
                           workTime);
        });
        publish (makeTable (1, { makeRoute ("read", "plans"), makeRoute ("hold", "plans") }));
        run (seconds (1));

        // The gate learns the slot time of the route.
        for (int index = 0; index < 20; ++index)
        {
            offer ("read", seconds (1), false);
            run (Milliseconds (100));
        }

        REQUIRE (level() == fullLevel);
    }

    /** Sends a request to the gate. */
    void offer (const RouteName& route, Duration maxQueueTime, bool isShort)
    {
        RelayRequest request;
        request.m_callId = ++m_lastCall;
        request.m_content = { "r" + std::to_string (m_lastCall), "GET", "/" + route, {}, {} };
        request.m_service = "plans";
        request.m_callerService = "web";
        request.m_route = route;
        request.m_isShortOffer = isShort;
        request.m_timeLeft = seconds (30);
        request.m_maxQueueTime = maxQueueTime;
        request.m_maxQueueTimeOfNewChain = maxQueueTime;
        request.m_sentAt = now().time_since_epoch();
        applyEvent ("one", PeerMessageReceived { 1, { "entry", 1 }, request });
    }

    /** Occupies slots with requests that the target does not answer. */
    void hold (int requests)
    {
        for (int index = 0; index < requests; ++index)
            offer ("hold", seconds (30), false);
    }

    /** Sends 1,000 requests in a second, which is 2.6 times what 19 slots can run.

        @returns the lowest admission level meanwhile */
    std::uint16_t offerMany (Duration maxQueueTime, bool isShort)
    {
        auto lowest = level();

        for (int index = 0; index < 200; ++index)
        {
            for (int request = 0; request < 5; ++request)
                offer ("read", maxQueueTime, isShort);

            run (Milliseconds (5));
            lowest = std::min (lowest, level());
        }

        return lowest;
    }

    std::uint16_t level() const { return reducer ("one").relay().gate().status (now()).m_admittedPermille; }

    std::uint64_t refused (Reason reason) const { return reducer ("one").counters().m_refusals[reason]; }

    std::optional<double> m_rate; /**< that the target states in its answers */
    CallId m_lastCall = 1000000;  /**< above the ids that the entry uses itself */
};

} // namespace

//==============================================================================
// Guards against entries that refuse requests because a full gate lowers its level by offers that other
// targets take, and against refusals of other requests that lower no level.
TEST_CASE ("short offers that are refused as overloaded leave the admission level as it is, others lower it")
{
    GateSite site (manySlots);

    // 19 slots and a queue of 20 requests: the expected wait is 55 ms.
    site.hold (39);

    SUBCASE ("short offers")
    {
        CHECK (site.offerMany (shortQueueTime, true) == fullLevel);
    }

    SUBCASE ("other requests")
    {
        CHECK (site.offerMany (shortQueueTime, false) < 500);
    }

    CHECK (site.refused (Reason::overloaded) == 1000);
}

// Guards against the same where the queue is full: these refusals have another reason and are redirected too.
TEST_CASE (
    "short offers that are refused by a full queue leave the admission level as it is, others lower it")
{
    GateSite site (1);
    site.hold (9);
    site.run (seconds (3));
    REQUIRE (site.level() == fullLevel);

    SUBCASE ("short offers")
    {
        CHECK (site.offerMany (shortQueueTime, true) == fullLevel);
    }

    SUBCASE ("other requests")
    {
        CHECK (site.offerMany (shortQueueTime, false) < 500);
    }

    CHECK (site.refused (Reason::queueFull) == 1000);
}

// Guards against a level that ignores demand above the stated rate: these refusals are not redirected.
TEST_CASE ("short offers that are refused because of a stated rate limit lower the admission level")
{
    GateSite site (manySlots);
    site.m_rate = 1.0;
    site.offer ("read", seconds (1), false);
    site.run (seconds (3));
    REQUIRE (site.level() == fullLevel);
    CHECK (site.offerMany (shortQueueTime, true) < 500);
    CHECK (site.refused (Reason::targetRateLimit) > 900);
}

// Guards against a level that ignores the work which the gate has accepted as short offers.
TEST_CASE ("short offers that are accepted lower the admission level")
{
    GateSite site (manySlots);
    auto lowest = site.level();

    // In the period, 19 slots can run 114 of these.
    for (int index = 0; index < 150; ++index)
        site.offer ("read", seconds (2), true);

    for (int index = 0; index < 100; ++index)
    {
        site.run (Milliseconds (5));
        lowest = std::min (lowest, site.level());
    }

    CHECK (lowest < 950);
    CHECK (site.refused (Reason::overloaded) + site.refused (Reason::queueFull) == 0);
}

} // namespace plankledge::test
