#include "support/RelaySite.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

/** An entry node and one target of "plans". */
struct OneTarget : RelayRig
{
    explicit OneTarget (std::uint32_t slots)
    {
        add ("entry", "web");
        add ("one", "plans", "zone-a", slots);
        publish (makeTable (1, { makeRoute ("read", "plans") }));
        run (Milliseconds (100));
    }
};

/** A request "old" runs at "front" and may make nested calls to "deep", whose target has one slot and a
   service time of 50 ms. */
struct OneSlot : RelayRig
{
    OneSlot()
    {
        add ("entry", "web");
        add ("front", "front", "zone-a", 10);
        add ("deep", "deep", "zone-a", 1);
        publish (makeTable (1, { makeRoute ("root", "front"), makeRoute ("call", "deep") }));
        run (Milliseconds (100));
        setTarget ("deep", always (TargetReplyKind::answered, Milliseconds (50)));
        setTarget ("front", never);
        send ("entry", "old", "/root/x");
        run (Milliseconds (10));
    }

    /** Sends two requests directly to "deep", and then a nested call of "old". */
    void sendDirectThenCall()
    {
        send ("entry", "first", "/call/x");
        run (Milliseconds (10));
        send ("entry", "second", "/call/x");
        run (Milliseconds (10));
        send ("front", "old.call", "/call/x");
        run (Milliseconds (300));
    }

    Time ranAt (const std::string& id) const
    {
        REQUIRE (runsOf (id).size() == 1);
        return runsOf (id).front().m_at;
    }
};

} // namespace

//==============================================================================
TEST_CASE ("requests that can't run in time are refused with a retry delay and do not reach the target")
{
    OneTarget rig (1);
    rig.setTarget ("one", always (TargetReplyKind::answered, Milliseconds (100)));
    std::vector<Ticket> tickets;

    for (int index = 0; index < 40; ++index)
        tickets.push_back (rig.send ("entry", "a" + std::to_string (index), "/read/x"));

    rig.run (seconds (4));
    std::size_t refused = 0;

    for (const auto ticket : tickets)
    {
        const auto& result = rig.answers().at (ticket).m_result;
        refused += result.m_outcome == Outcome::notRun ? 1 : 0;

        if (result.m_outcome == Outcome::notRun)
            CHECK (result.m_retryAfter > Duration::zero());
    }

    CHECK (refused > 30);
    CHECK (rig.runs().size() == tickets.size() - refused);
}

TEST_CASE (
    "a call chain that has run at a target goes before requests that arrived earlier than its next call")
{
    OneSlot site;
    site.send ("front", "old.one", "/call/x");
    site.run (Milliseconds (100));
    REQUIRE (site.runsOf ("old.one").size() == 1);
    site.sendDirectThenCall();
    CHECK (site.ranAt ("old.call") < site.ranAt ("second"));
}

TEST_CASE ("a call chain that has not run at a target does not go before requests that arrived earlier")
{
    OneSlot site;
    site.sendDirectThenCall();
    CHECK (site.ranAt ("second") < site.ranAt ("old.call"));
}

TEST_CASE (
    "requests are refused at the entry node if a service that only their nested calls reach is overloaded")
{
    RelayRig rig;
    rig.add ("entry", "web");
    rig.add ("front", "front", "zone-a", 400);
    rig.add ("deep", "deep", "zone-a", 2);
    rig.publish (makeTable (1, { makeRoute ("root", "front"), makeRoute ("call", "deep") }));
    rig.run (Milliseconds (100));
    rig.setTarget ("deep", always (TargetReplyKind::answered, Milliseconds (50)));
    int calls = 0;

    // Each request makes one nested call through the node of its target.
    rig.setTarget (
        "front", [&calls] (RelayRig& inner, const InstanceName& instance, const RelayToTarget& dispatch) {
            inner.send (instance, dispatch.m_content.m_id + ".c" + std::to_string (++calls), "/call/x");
            inner.reply (instance, dispatch.m_call, TargetReplyKind::answered, Milliseconds (100));
        });

    std::vector<Ticket> tickets;

    for (int index = 0; index < 1000; ++index)
    {
        tickets.push_back (rig.send ("entry", "a" + std::to_string (index), "/root/x"));
        rig.run (Milliseconds (5));
    }

    rig.run (seconds (1));
    std::size_t refusedLate = 0;

    for (std::size_t index = tickets.size() / 2; index < tickets.size(); ++index)
        refusedLate += rig.answers().at (tickets[index]).m_result.m_reason == Reason::overloadedDownstream;

    // The load is 200 requests per second; the downstream service handles about 20.
    CHECK (refusedLate > tickets.size() * 3 / 8);
}

TEST_CASE ("requests that a target rejects at once take no capacity and cause no refusals at the entry node")
{
    OneTarget rig (20);
    const auto count = std::make_shared<int> (0);

    // Half of 400 requests/s are rejected at once, the others take 50 ms: this occupies ten of twenty slots.
    rig.setTarget (
        "one", [count] (RelayRig& inner, const InstanceName& instance, const RelayToTarget& dispatch) {
            if (++*count % 2 == 0)
                inner.reply (instance, dispatch.m_call, TargetReplyKind::rejected, Milliseconds (1));
            else
                inner.reply (instance, dispatch.m_call, TargetReplyKind::answered, Milliseconds (50));
        });

    std::vector<Ticket> tickets;

    for (int index = 0; index < 2000; ++index)
    {
        tickets.push_back (rig.send ("entry", "a" + std::to_string (index), "/read/x"));
        rig.run (index % 2 == 0 ? Milliseconds (5) : Duration::zero());
    }

    rig.run (seconds (1));
    const auto isRefused = [&] (Ticket ticket) {
        return rig.answers().at (ticket).m_result.m_reason == Reason::overloadedDownstream;
    };
    CHECK (std::count_if (tickets.begin(), tickets.end(), isRefused) < 20);
}

} // namespace plankledge::test
