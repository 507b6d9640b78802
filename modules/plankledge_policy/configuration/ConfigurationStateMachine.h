#pragma once

#include "plankledge_policy/Events.h"
#include "plankledge_policy/NodeSettings.h"
#include <vector>

namespace plankledge
{

/** The verdict on a proposal, which depends on the order of the log only. */
enum class ProposalVerdict : std::uint8_t
{
    accepted,
    conflict, /**< its base version was not in force at its offset in the log */
    invalid   /**< its text is not a valid set of declarations */
};

/** A proposal and its verdict. */
struct DecidedProposal
{
    std::string m_id;
    ProposalVerdict m_verdict = ProposalVerdict::conflict;
    ConfigurationVersion m_version = 0; /**< version in force after the proposal */

    auto operator<=> (const DecidedProposal&) const = default;
};

//==============================================================================
/**
    Replicated state machine over the configuration stream. A proposal is accepted if
    and only if its base version is in force at its offset in the log and its text is
    valid.

    All readers of the same records reach the same verdicts. A reader that misses the
    start of the stream keeps proposals pending until a checkpoint or a peer's state
    closes the gap. The version never decreases.
*/
class ConfigurationStateMachine
{
public:
    //==============================================================================
    explicit ConfigurationStateMachine (DeclarationsParser parser)
        : m_parser (std::move (parser))
    {
    }

    /** Applies records read from the stream; ignores a read that does not start at nextOffset().

        @returns the verdicts that became possible, in log order
    */
    std::vector<DecidedProposal> apply (const ConfigurationRead& read);

    /** Applies a peer's state.

        @returns whether a higher version came into force on this node
    */
    bool adopt (const ConfigurationState& state);

    /** @returns the version in force, its text, and the offset of the last record applied */
    const ConfigurationState& state() const noexcept { return m_state; }

    const Declarations& declarations() const noexcept { return m_declarations; }

    /** @returns the offset to read from next */
    LogOffset nextOffset() const noexcept { return m_next; }

    /** @returns the offset of the last record read that holds the version in force; -1 if none was read */
    LogOffset lastVersionOffset() const noexcept { return m_lastVersionOffset; }

    /** @returns whether all records after the state's offset have been read */
    bool canDecide() const noexcept { return m_state.m_asOfOffset + 1 >= m_coveredFrom; }

private:
    //==============================================================================
    bool putInForce (const ConfigurationState& state);
    void applyRecord (const ConfigurationRecord& record, std::vector<DecidedProposal>& decided);
    void applyCheckpoint (const ConfigurationRecord& record, std::vector<DecidedProposal>& decided);
    void decidePending (std::vector<DecidedProposal>& decided);
    DecidedProposal decideProposal (const ConfigurationRecord& proposal);

    DeclarationsParser m_parser;
    ConfigurationState m_state;
    Declarations m_declarations;
    LogOffset m_next = 0;
    LogOffset m_coveredFrom = 0; /**< all records from here up to m_next were read */
    LogOffset m_lastVersionOffset = -1;
    std::vector<ConfigurationRecord> m_pendingProposals; /**< kept until there is no gap before them */
};

} // namespace plankledge
