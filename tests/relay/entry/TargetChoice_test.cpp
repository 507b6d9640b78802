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
    std::uint16_t m_refusedPermille = 0; /**< of the order of refusal, by its gate */
};

/** Candidates with 20 slots each, and which of them gets nearly all requests of zone a. */
struct Row
{
    const char* m_name;
    std::vector<Candidate> m_candidates;
    const char* m_chosen;
};

const Row rows[] = {
    { "the own zone, though the other is idle",
      { { "own", "a", 10, 20, 0 }, { "far", "b", 0, 20, 0 } },
      "own" },
    { "the own zone, though the other is faster",
      { { "own", "a", 10, 30, 0 }, { "far", "b", 0, 15, 0 } },
      "own" },
    { "another zone, while the own one waits long",
      { { "own", "a", 60, 30, 0 }, { "far", "b", 5, 30, 0 } },
      "far" },
    { "the own zone, for a wait of a thirtieth of the objective",
      { { "own", "a", 40, 30, 0 }, { "far", "b", 5, 30, 0 } },
      "own" },
    { "the own zone, while both wait alike",
      { { "own", "a", 40, 30, 0 }, { "far", "b", 40, 30, 0 } },
      "own" },
    { "within a zone the faster", { { "slow", "a", 5, 400, 0 }, { "fast", "a", 5, 50, 0 } }, "fast" },
    { "the one that does not fail", { { "grey", "a", 0, 20, 500 }, { "far", "b", 0, 20, 0 } }, "far" },
    // A gate that refuses at the entries keeps its queue short. One stood at a level of 0.5 for ten seconds,
    // while that of the next zone was idle and a third of all requests was refused.
    { "another zone, while the own one refuses half, though nothing waits there",
      { { "own", "a", 20, 30, 0, 500 }, { "far", "b", 5, 30, 0 } },
      "far" },
    { "the own zone, while both refuse alike",
      { { "own", "a", 20, 30, 0, 500 }, { "far", "b", 20, 30, 0, 500 } },
      "own" },
    { "the own zone, though it refuses a tenth",
      { { "own", "a", 20, 30, 0, 100 }, { "far", "b", 5, 30, 0 } },
      "own" },
    { "a slow one is left, even for another zone",
      { { "slow", "a", 5, 900, 0 }, { "far", "b", 5, 60, 0 } },
      "far" },
};

/** @returns the slot time of the requests that find none of the 20 slots free */
Duration waitingWork (const Candidate& candidate)
{
    const auto waiting = candidate.m_load > 20 ? candidate.m_load - 20 : 0;
    return Milliseconds (candidate.m_serviceMs) * waiting;
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
                        waitingWork (candidate),
                        candidate.m_failurePermille,
                        static_cast<std::uint16_t> (1000 - candidate.m_refusedPermille) };
        peer.m_times["route"] = Milliseconds (candidate.m_serviceMs);
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
TEST_CASE ("a target is chosen by waiting, zone, failures and speed")
{
    constexpr int choices = 500;

    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        const auto peers = makePeers (row.m_candidates);
        Random random (7);
        int chosen = 0;

        for (int index = 0; index < choices; ++index)
        {
            const auto* peer =
                chooseTarget (pointersTo (peers), { "a", "route", Milliseconds (1000), {} }, random);
            REQUIRE (peer != nullptr);
            chosen += peer->m_member.m_id.m_instance == row.m_chosen ? 1 : 0;
        }

        CHECK (chosen > choices * 9 / 10);
    }
}

TEST_CASE ("a target that was tried is not chosen again, and every target of the zone is tried at times")
{
    const auto peers = makePeers ({ { "fast", "a", 0, 20, 0 }, { "slow", "a", 0, 400, 0 } });
    Random random (7);
    const auto* other =
        chooseTarget (pointersTo (peers), { "a", "route", Milliseconds (1000), { "fast" } }, random);
    REQUIRE (other != nullptr);
    CHECK (other->m_member.m_id.m_instance == "slow");
    CHECK (chooseTarget (pointersTo (peers), { "a", "route", Milliseconds (1000), { "fast", "slow" } },
                         random) == nullptr);

    int slow = 0;

    for (int index = 0; index < 2000; ++index)
        slow += chooseTarget (pointersTo (peers), { "a", "route", Milliseconds (1000), {} }, random)
                            ->m_member.m_id.m_instance == "slow"
                    ? 1
                    : 0;

    CHECK (slow > 2);
    CHECK (slow < 200);
}

} // namespace plankledge::test
