#include "support/RelayRig.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

TEST_CASE ("a fall of the admission level is sent to nodes that have no traffic to the gate")
{
    RelayRig rig;
    rig.add ("busy", "web");
    rig.add ("idle", "web");
    rig.add ("one", "plans", "zone-a", 2);
    rig.publish (makeTable (1, { makeRoute ("read", "plans") }));
    rig.run (std::chrono::seconds (1));
    rig.setTarget ("one", [] (RelayRig& inner, const InstanceName& instance, const RelayToTarget& dispatch) {
        inner.reply (instance, dispatch.m_call, TargetReplyKind::answered, Milliseconds (50));
    });

    // Hellos are sent twice a second, so a change has to be sent separately to arrive within 50 ms.
    Duration lag {};

    for (int index = 0; index < 600; ++index)
    {
        rig.send ("busy", "a" + std::to_string (index), "/read/x");
        rig.run (Milliseconds (2));
        const auto received = rig.reducer ("idle").relay().peers().find ("one")->m_gate.m_admittedPermille;
        const auto level = rig.reducer ("one").relay().gate().status (rig.now()).m_admittedPermille;
        lag = received > level + 50 ? lag + Milliseconds (2) : Duration::zero();
        CHECK (lag < Milliseconds (50));
    }

    CHECK (rig.reducer ("idle").relay().peers().find ("one")->m_gate.m_admittedPermille < 900);
}

} // namespace plankledge::test
