#pragma once

#include "plankledge_policy/Events.h"
#include "plankledge_policy/NodeSettings.h"
#include <vector>

namespace plankledge
{

/** What came of a proposal, by log order alone. */
enum class Verdict : std::uint8_t
{
    accepted,
    conflict, /**< its base was not the version in force at its place in the log */
    invalid   /**< its text is not a valid set of declarations */
};

/** One proposal's verdict. */
struct JudgedProposal
{
    std::string m_id;
    Verdict m_verdict = Verdict::conflict;
    ConfigurationVersion m_version = 0; /**< in force after it */

    auto operator<=> (const JudgedProposal&) const = default;
};

//==============================================================================
/**
    Judges the configuration stream: a proposal is accepted if and only if its
    base is the version in force at its place in the log.

    All readers of the same records come to the same verdicts. A reader that
    misses the start of the stream keeps proposals unjudged until a checkpoint or a
    peer's state tells it what was in force before them. The version never goes
    down.
*/
class ConfigurationJudge
{
public:
    //==============================================================================
    explicit ConfigurationJudge (DeclarationsParser parser)
        : m_parser (std::move (parser))
    {
    }

    /** Takes in part of the stream.

        @returns the verdicts that this made possible, in log order
    */
    std::vector<JudgedProposal> apply (const ConfigurationRead& read);

    /** Takes in a peer's state.

        @returns whether it brought a higher version into force here
    */
    bool adopt (const ConfigurationState& state);

    /** @returns the version in force, its text, and the last offset taken into account */
    const ConfigurationState& state() const noexcept { return m_state; }

    const Declarations& declarations() const noexcept { return m_declarations; }

    /** @returns the offset to read from next */
    LogOffset nextOffset() const noexcept { return m_next; }

    /** @returns the offset of the newest record that restates the version in force; -1: none seen */
    LogOffset lastRestated() const noexcept { return m_lastRestated; }

    /** @returns whether all records after the state's offset were seen */
    bool canJudge() const noexcept { return m_state.m_asOfOffset + 1 >= m_coveredFrom; }

private:
    //==============================================================================
    bool bringInForce (const ConfigurationState& state);
    void take (const ConfigurationRecord& record, std::vector<JudgedProposal>& judged);
    void takeCheckpoint (const ConfigurationRecord& record, std::vector<JudgedProposal>& judged);
    void judgeWaiting (std::vector<JudgedProposal>& judged);
    JudgedProposal judge (const ConfigurationRecord& proposal);

    DeclarationsParser m_parser;
    ConfigurationState m_state;
    Declarations m_declarations;
    LogOffset m_next = 0;
    LogOffset m_coveredFrom = 0; /**< all records from here up to m_next were seen */
    LogOffset m_lastRestated = -1;
    std::vector<ConfigurationRecord> m_waiting; /**< proposals that can't be judged yet */
};

} // namespace plankledge
