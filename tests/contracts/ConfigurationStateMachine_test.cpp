/*  Contract of ConfigurationStateMachine: all readers of the configuration stream reach the same verdicts,
    whichever part of the stream they read, and the version never decreases. */

#include "plankledge_policy/configuration/ConfigurationStateMachine.h"
#include <doctest/doctest.h>
#include <random>

namespace plankledge::test
{

namespace
{

ConfigurationStateMachine makeStateMachine()
{
    return ConfigurationStateMachine ([] (const std::string& text) {
        return text == "bad" ? std::nullopt : std::optional<Declarations> (Declarations {});
    });
}

ConfigurationRecord proposal (LogOffset offset, ConfigurationVersion base, const std::string& text)
{
    return { offset, ConfigurationRecordKind::proposal, "id-" + std::to_string (offset), base, -1, text };
}

ConfigurationRecord checkpoint (LogOffset offset, ConfigurationVersion version, LogOffset asOf,
                                const std::string& text)
{
    return { offset, ConfigurationRecordKind::checkpoint, "checkpoint", version, asOf, text };
}

ConfigurationRead read (LogOffset from, LogOffset earliest, std::vector<ConfigurationRecord> records,
                        LogOffset next)
{
    return { from, earliest, next, std::move (records) };
}

} // namespace

//==============================================================================
TEST_CASE ("a proposal is accepted if its base is in force at its offset")
{
    auto stateMachine = makeStateMachine();
    const auto results =
        stateMachine.apply (read (0, 0,
                                  { proposal (0, 0, "one"), proposal (1, 0, "late"), proposal (2, 1, "bad"),
                                    proposal (3, 1, "two"), proposal (4, 9, "far") },
                                  5));
    REQUIRE (results.size() == 5);
    CHECK (results[0].m_verdict == ProposalVerdict::accepted);
    CHECK (results[1].m_verdict == ProposalVerdict::conflict);
    CHECK (results[2].m_verdict == ProposalVerdict::invalid);
    CHECK (results[3].m_verdict == ProposalVerdict::accepted);
    CHECK (results[4].m_verdict == ProposalVerdict::conflict);
    CHECK (stateMachine.state() == ConfigurationState { 2, 4, "two" });
}

TEST_CASE ("a reader that missed records waits for a checkpoint or for a peer's state")
{
    auto stateMachine = makeStateMachine();
    CHECK (stateMachine.apply (read (0, 5, { proposal (5, 2, "three") }, 6)).empty());
    CHECK (stateMachine.state().m_version == 0);

    SUBCASE ("a checkpoint as of the offset before the proposal")
    {
        const auto results = stateMachine.apply (read (6, 5, { checkpoint (6, 2, 4, "two") }, 7));
        REQUIRE (results.size() == 1);
        CHECK (results[0].m_verdict == ProposalVerdict::accepted);
        CHECK (stateMachine.state().m_version == 3);
    }

    SUBCASE ("a checkpoint that includes the proposal")
    {
        stateMachine.apply (read (6, 5, { checkpoint (6, 3, 5, "three") }, 7));
        CHECK (stateMachine.state().m_version == 3);
    }

    SUBCASE ("a checkpoint from before the gap is ignored")
    {
        stateMachine.apply (read (6, 5, { checkpoint (6, 1, 2, "one") }, 7));
        CHECK (stateMachine.state().m_version == 0);
    }

    SUBCASE ("a newer state of a peer")
    {
        CHECK (stateMachine.adopt ({ 7, 20, "seven" }));
        CHECK (stateMachine.nextOffset() == 21);
        CHECK (stateMachine.canDecide());
    }

    SUBCASE ("a peer's state from before the gap, then a checkpoint")
    {
        CHECK (stateMachine.adopt ({ 1, 2, "one" }));
        CHECK_FALSE (stateMachine.canDecide());
        const auto results = stateMachine.apply (read (6, 5, { checkpoint (6, 2, 4, "two") }, 7));
        REQUIRE (results.size() == 1);
        CHECK (stateMachine.state().m_version == 3);
    }
}

TEST_CASE ("the version never decreases")
{
    auto stateMachine = makeStateMachine();
    stateMachine.apply (read (0, 0, { proposal (0, 0, "one"), proposal (1, 1, "two") }, 2));
    CHECK_FALSE (stateMachine.adopt ({ 1, 0, "one" }));
    stateMachine.apply (read (2, 0, { checkpoint (2, 1, 0, "one"), proposal (3, 0, "again") }, 4));
    CHECK (stateMachine.state().m_version == 2);
    CHECK (stateMachine.state().m_text == "two");

    // Reads of another range than requested, or of a log that has become shorter, are ignored.
    CHECK (stateMachine.apply (read (0, 0, { proposal (0, 2, "three") }, 1)).empty());
    CHECK (stateMachine.apply (read (4, 0, {}, 1)).empty());
    CHECK (stateMachine.state().m_version == 2);
}

TEST_CASE (
    "all readers of a log reach the same version, whatever offset they start at and whichever peers they ask")
{
    std::mt19937_64 random (9);

    for (int round = 0; round < 300; ++round)
    {
        std::vector<ConfigurationRecord> log;
        auto reference = makeStateMachine();
        std::vector<ConfigurationState> states;

        for (LogOffset offset = 0; offset < 40; ++offset)
        {
            const auto version = reference.state().m_version;
            const bool isCheckpoint = random() % 4 == 0 && ! states.empty();

            if (isCheckpoint)
            {
                const auto& known =
                    states[states.size() - 1 - random() % std::min<std::size_t> (3, states.size())];
                log.push_back (checkpoint (offset, known.m_version, known.m_asOfOffset, known.m_text));
            }
            else
            {
                log.push_back (
                    proposal (offset, version - std::min<std::uint64_t> (version, random() % 2), "text"));
            }

            reference.apply (read (offset, 0, { log.back() }, offset + 1));
            states.push_back (reference.state());
        }

        auto reader = makeStateMachine();
        const auto earliest = static_cast<LogOffset> (random() % 30);
        ConfigurationVersion last = 0;

        for (auto offset = earliest; offset < 40;)
        {
            const auto size = std::min<LogOffset> (40 - offset, 1 + static_cast<LogOffset> (random() % 5));
            const auto from = reader.nextOffset() < earliest ? reader.nextOffset() : offset;
            reader.apply (
                read (from, earliest, { log.begin() + offset, log.begin() + offset + size }, offset + size));
            offset += size;

            if (random() % 8 == 0)
            {
                reader.adopt (states[random() % static_cast<std::size_t> (offset)]);
                offset = std::max (offset, std::max (earliest, reader.nextOffset()));
            }

            CHECK (reader.state().m_version >= last);
            CHECK (reader.state().m_version <= states[static_cast<std::size_t> (offset) - 1].m_version);
            last = reader.state().m_version;
        }

        if (reader.canDecide() && reader.state().m_version > 0)
            CHECK (reader.state().m_version == reference.state().m_version);
    }
}

} // namespace plankledge::test
