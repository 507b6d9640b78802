#include "support/RelaySite.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

} // namespace

//==============================================================================
TEST_CASE ("a request runs at one target of its route's service and its answer is returned")
{
    RelaySite site;
    const auto ticket = site.send ("entry", "a", "/read/x");
    site.run (Milliseconds (100));
    CHECK (site.outcomeOf (ticket) == Outcome::completed);
    CHECK (site.answers().at (ticket).m_result.m_answer.m_body == "answer");
    REQUIRE (site.runsOf ("a").size() == 1);
    CHECK (site.runsOf ("a")[0].m_dispatch.m_callerService == "web");
}

TEST_CASE ("without a route a request is refused; without a configuration it is refused with a retry delay")
{
    RelaySite site;
    const auto unknown = site.send ("entry", "a", "/nothing/x");
    site.run (Milliseconds (10));
    CHECK (site.reasonOf (unknown) == Reason::noRoute);

    RelayRig bare;
    bare.add ("alone", "plans");
    const auto early = bare.send ("alone", "b", "/read/x");
    bare.run (Milliseconds (10));
    CHECK (bare.answers().at (early).m_result.m_reason == Reason::noConfiguration);
    CHECK (bare.answers().at (early).m_result.m_retryAfter > Duration::zero());
    CHECK_FALSE (bare.reducer ("alone").relay().isReady());
}

TEST_CASE ("a request is answered at its route's timeout and cancelled at the target")
{
    RelaySite site;
    auto route = makeRoute ("read", "plans");
    route.m_timeout = Milliseconds (300);
    site.publish (makeTable (2, { route }));
    site.setTargets (never);
    const auto ticket = site.send ("entry", "a", "/read/x");
    site.run (Milliseconds (500));
    CHECK (site.reasonOf (ticket) == Reason::deadlineExceeded);
    REQUIRE (site.runsOf ("a").size() == 1);
    CHECK (site.runsOf ("a")[0].m_isCancelled);
}

TEST_CASE ("a request is cancelled within 500 ms of its sender disconnecting, whether it runs or is queued")
{
    RelaySite site;
    site.setTargets (never);
    const auto running = site.send ("entry", "a", "/read/x");
    site.run (Milliseconds (100));
    site.close ("entry", running);
    site.run (Milliseconds (100));
    REQUIRE (site.runsOf ("a").size() == 1);
    CHECK (site.runsOf ("a")[0].m_isCancelled);

    // Queued in the gate: must not run.
    RelayRig full;
    full.add ("entry", "web");
    full.add ("one", "plans", "zone-a", 1);
    full.publish (makeTable (1, { makeRoute ("read", "plans") }));
    full.run (Milliseconds (100));
    full.setTarget ("one", always (TargetReplyKind::answered, Milliseconds (150)));
    full.send ("entry", "first", "/read/x");
    const auto queued = full.send ("entry", "second", "/read/x");
    full.run (Milliseconds (50));
    full.close ("entry", queued);
    full.run (seconds (1));
    CHECK (full.runsOf ("first").size() == 1);
    CHECK (full.runsOf ("second").empty());
}

} // namespace plankledge::test
