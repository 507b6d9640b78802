#include "support/RelaySite.h"

#include <utility>

namespace plankledge::test
{

RelaySite::RelaySite()
{
    add ("entry", "web");
    add ("one", "plans");
    add ("two", "plans");
    publish (makeTable (1, { makeRoute ("read", "plans"), makeRoute ("write", "plans", false) }));
    run (Milliseconds (100));
}

void RelaySite::setTargets (const TargetBehaviour& behaviour)
{
    setTarget ("one", behaviour);
    setTarget ("two", behaviour);
}

RelayRig::TargetBehaviour always (TargetReplyKind kind, Duration after)
{
    return [kind, after] (RelayRig& rig, const InstanceName& instance, const RelayToTarget& dispatch) {
        rig.reply (instance, dispatch.m_call, kind, after);
    };
}

void never (RelayRig&, const InstanceName&, const RelayToTarget&) {}

RelayRig::TargetBehaviour failFirstThenAnswer (TargetReplyKind kind)
{
    return [kind, isFirst = std::make_shared<bool> (true)] (RelayRig& rig, const InstanceName& instance,
                                                            const RelayToTarget& dispatch) {
        rig.reply (instance, dispatch.m_call,
                   std::exchange (*isFirst, false) ? kind : TargetReplyKind::answered, Milliseconds (20));
    };
}

} // namespace plankledge::test
