#include "plankledge_policy/relay/entry/TargetSelection.h"

#include <doctest/doctest.h>
#include <map>

namespace plankledge::test
{

namespace
{

struct Candidate
{
    const char* m_name;
    const char* m_zone;
    std::uint32_t m_load;
    int m_serviceMs;
    std::uint16_t m_failurePermille;
    std::uint16_t m_shedPermille = 0; /**< shed at entry nodes by the admission level of its gate */
};

/** Candidates with 20 slots each, and the one that must get nearly all requests of zone a. */
struct Row
{
    const char* m_name;
    std::vector<Candidate> m_candidates;
    const char* m_expected;
};

const Row rows[] = {
    { "the own zone, although the other is idle",
      { { "own", "a", 10, 20, 0 }, { "far", "b", 0, 20, 0 } },
      "own" },
    { "the own zone, although the other is faster",
      { { "own", "a", 10, 30, 0 }, { "far", "b", 0, 15, 0 } },
      "own" },
    { "another zone, if the own one has a long queue",
      { { "own", "a", 60, 30, 0 }, { "far", "b", 5, 30, 0 } },
      "far" },
    { "the own zone, if its wait is a thirtieth of the objective",
      { { "own", "a", 40, 30, 0 }, { "far", "b", 5, 30, 0 } },
      "own" },
    { "the own zone, if both have the same wait",
      { { "own", "a", 40, 30, 0 }, { "far", "b", 40, 30, 0 } },
      "own" },
    { "within a zone, the faster target", { { "slow", "a", 5, 400, 0 }, { "fast", "a", 5, 50, 0 } }, "fast" },
    { "the target that does not fail", { { "grey", "a", 0, 20, 500 }, { "far", "b", 0, 20, 0 } }, "far" },
    // Shedding at entry nodes keeps the queue of a gate short, so an empty queue does not mean free capacity.
    { "another zone, if the own one sheds half of its requests, although its queue is empty",
      { { "own", "a", 20, 30, 0, 500 }, { "far", "b", 5, 30, 0 } },
      "far" },
    { "the own zone, if both shed the same share",
      { { "own", "a", 20, 30, 0, 500 }, { "far", "b", 20, 30, 0, 500 } },
      "own" },
    { "the own zone, although it sheds a tenth",
      { { "own", "a", 20, 30, 0, 100 }, { "far", "b", 5, 30, 0 } },
      "own" },
    { "another zone, if the target in the own zone is very slow",
      { { "slow", "a", 5, 900, 0 }, { "far", "b", 5, 60, 0 } },
      "far" },
};

/** @returns the total service time of the requests queued beyond the 20 slots */
Duration queuedWork (const Candidate& candidate)
{
    const auto queued = candidate.m_load > 20 ? candidate.m_load - 20 : 0;
    return Milliseconds (candidate.m_serviceMs) * queued;
}

std::vector<Peer> makePeers (const std::vector<Candidate>& candidates)
{
    std::vector<Peer> peers;

    for (const auto& candidate : candidates)
    {
        Peer peer;
        peer.m_member.m_id.m_instance = candidate.m_name;
        peer.m_member.m_zone = candidate.m_zone;
        peer.m_gate = { true,
                        20,
                        candidate.m_load,
                        queuedWork (candidate),
                        candidate.m_failurePermille,
                        static_cast<std::uint16_t> (1000 - candidate.m_shedPermille) };
        peer.m_routeTimes["route"] = Milliseconds (candidate.m_serviceMs);
        peers.push_back (peer);
    }

    return peers;
}

std::vector<const Peer*> pointersTo (const std::vector<Peer>& peers)
{
    std::vector<const Peer*> pointers;

    for (const auto& peer : peers)
        pointers.push_back (&peer);

    return pointers;
}

} // namespace

//==============================================================================
TEST_CASE ("a target is selected by queueing time, zone, failures and service time")
{
    constexpr int selections = 500;

    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        const auto peers = makePeers (row.m_candidates);
        Random random (7);
        int selectedCount = 0;

        for (int index = 0; index < selections; ++index)
        {
            const auto* peer =
                selectTarget (pointersTo (peers), { "a", "route", Milliseconds (1000), {} }, random);
            REQUIRE (peer != nullptr);
            selectedCount += peer->m_member.m_id.m_instance == row.m_expected ? 1 : 0;
        }

        CHECK (selectedCount > selections * 9 / 10);
    }
}

namespace
{

/** Selections of a latency-tolerant chain and of another one with the same objective. */
struct TolerantRow
{
    const char* m_name;
    std::vector<Candidate> m_candidates;
    const char* m_tolerant;
    const char* m_other;
};

const TolerantRow tolerantRows[] = {
    { "another zone, if the own target has a wait of a thirtieth of the objective",
      { { "own", "a", 60, 30, 0 }, { "far", "b", 5, 30, 0 } },
      "far",
      "own" },
    { "the own zone, although its target is nearly full",
      { { "own", "a", 18, 30, 0 }, { "far", "b", 0, 30, 0 } },
      "own",
      "own" },
    { "the own zone, if both have the same wait",
      { { "own", "a", 60, 30, 0 }, { "far", "b", 60, 30, 0 } },
      "own",
      "own" },
    // Otherwise all entries would send to the target that sheds the least until it sheds more than the
    // others.
    { "the own zone, although its target sheds a quarter",
      { { "own", "a", 0, 30, 0, 250 }, { "far", "b", 0, 30, 0 } },
      "own",
      "far" },
    { "another zone, if the own target sheds most of its load",
      { { "own", "a", 0, 30, 0, 800 }, { "far", "b", 0, 30, 0 } },
      "far",
      "far" },
};

/** @returns how often each target is selected in zone a, for an objective of 2 s */
std::map<std::string, int> countSelections (const std::vector<Candidate>& candidates, bool isTolerant)
{
    const auto peers = makePeers (candidates);
    Random random (7);
    std::map<std::string, int> counts;

    for (int index = 0; index < 1000; ++index)
        ++counts[selectTarget (pointersTo (peers), { "a", "route", Milliseconds (2000), {}, {}, isTolerant },
                               random)
                     ->m_member.m_id.m_instance];

    return counts;
}

} // namespace

// Guards against unused slots in another zone: with a penalty of a fifth of the objective, a wait of 100 ms
// in the own zone is accepted although slots are free elsewhere.
TEST_CASE ("a latency-tolerant chain leaves the zone for a wait above the smallest zone penalty")
{
    for (const auto& row : tolerantRows)
    {
        CAPTURE (row.m_name);
        CHECK (countSelections (row.m_candidates, true)[row.m_tolerant] > 900);
        CHECK (countSelections (row.m_candidates, false)[row.m_other] > 900);
    }
}

// Guards against targets that are filled up to their limit, where they slow down, while others are empty.
TEST_CASE ("a latency-tolerant chain prefers the targets with the smaller share of used slots")
{
    const std::vector<Candidate> candidates { { "empty", "a", 0, 30, 0 }, { "full", "a", 19, 30, 0 } };
    auto tolerant = countSelections (candidates, true);
    auto other = countSelections (candidates, false);
    MESSAGE ("selected of 1000, tolerant: empty ", tolerant["empty"], ", nearly full ", tolerant["full"],
             "; other: empty ", other["empty"], ", nearly full ", other["full"]);

    // The penalty (19 ms) decides: costs of tolerant chains have no jitter, and only probes select the other
    // target. Chains that are not tolerant have no penalty, and jitter selects either target.
    CHECK (tolerant["empty"] > 900);
    CHECK (other["full"] > 300);
    CHECK (other["full"] < 700);
}

// Guards against all entries sending to the target that was the emptiest at its last status, which is as old
// as many requests take.
TEST_CASE ("a latency-tolerant chain has no preference among targets below 0.8 of their slots")
{
    const Candidate empty { "empty", "a", 0, 30, 0 };
    const Candidate below { "below", "a", 15, 30, 0 };
    const Candidate above { "above", "a", 17, 30, 0 };

    // Of equal ones the first candidate is selected; only probes select the other one.
    CHECK (countSelections ({ below, empty }, true)["below"] > 950);
    CHECK (countSelections ({ empty, below }, true)["empty"] > 950);
    CHECK (countSelections ({ above, empty }, true)["empty"] > 950);
}

TEST_CASE ("a target that was tried is not selected again, and every target of the zone is probed at times")
{
    const auto peers = makePeers ({ { "fast", "a", 0, 20, 0 }, { "slow", "a", 0, 400, 0 } });
    Random random (7);
    const auto* other =
        selectTarget (pointersTo (peers), { "a", "route", Milliseconds (1000), { "fast" } }, random);
    REQUIRE (other != nullptr);
    CHECK (other->m_member.m_id.m_instance == "slow");
    CHECK (selectTarget (pointersTo (peers), { "a", "route", Milliseconds (1000), { "fast", "slow" } },
                         random) == nullptr);

    int slow = 0;

    for (int index = 0; index < 2000; ++index)
        slow += selectTarget (pointersTo (peers), { "a", "route", Milliseconds (1000), {} }, random)
                            ->m_member.m_id.m_instance == "slow"
                    ? 1
                    : 0;

    CHECK (slow > 2);
    CHECK (slow < 200);
}

} // namespace plankledge::test
