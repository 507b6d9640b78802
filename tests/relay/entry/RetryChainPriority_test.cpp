/*  A service rejects half of its requests at random. The retries allowed are too few for all chains and must
   go to those that need the fewest of them to finish. */

#include "support/ChainSite.h"

#include "plankledge_core/Random.h"

#include <doctest/doctest.h>
#include <memory>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

constexpr std::uint64_t rejectedPermille = 550;

/** @returns a target that rejects requests at random, without delay */
RelayRig::TargetBehaviour rejectingAtRandom()
{
    return [random = std::make_shared<Random> (11)] (RelayRig& rig, const InstanceName& instance,
                                                     const RelayToTarget& dispatch) {
        if (random->below (1000) < rejectedPermille)
            rig.reply (instance, dispatch.m_call, TargetReplyKind::rejected, Milliseconds (1), 503);
        else
            rig.reply (instance, dispatch.m_call, TargetReplyKind::answered, Milliseconds (10));
    };
}

} // namespace

TEST_CASE (
    "where a service rejects half of its requests, retries go to the chains with the most completed calls")
{
    // 120 chains of four calls per second; only retries are scarce.
    ChainSite site (0, 120, 0, {});
    site.load (seconds (4));
    site.setTarget ("deep", rejectingAtRandom());
    site.load (seconds (2));
    site.resetCounts();
    site.load (seconds (20));

    // The share would be 0.0825 if retries were granted by cohort alone.
    MESSAGE ("completed share: " << site.searches().share());
    CHECK (site.searches().share() > 0.086);
}

} // namespace plankledge::test
