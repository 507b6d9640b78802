#pragma once

#include "plankledge_formats/PlatformJson.h"
#include "plankledge_policy/configuration/ConfigurationJudge.h"
#include <absl/status/statusor.h>
#include <functional>
#include <optional>
#include <string>

namespace plankledge
{

/** Why a publication has no verdict. */
enum class PublishError : std::uint8_t
{
    logUnavailable, /**< it may or may not have taken effect: ask again with the same id */
    cannotJudge,    /**< the log no longer keeps what is in force; a node's state is needed */
    timedOut
};

/** @returns the error's text for an operator */
std::string_view nameOf (PublishError error) noexcept;

absl::Status toStatus (PublishError error);

//==============================================================================
/**
    Publishes a version of the declarations through the log and judges it by reading
    back, as every node does.

    An append whose answer is lost does no harm: the record's id is unique, and the
    first record that has it counts.
*/
class Publisher
{
public:
    //==============================================================================
    /** How it reaches the log, and how it waits. */
    struct Hooks
    {
        std::function<absl::StatusOr<LogPage> (LogOffset from)> m_read;
        std::function<absl::Status (const std::string& data)> m_append;
        std::function<bool()> m_pause; /**< @returns false once time is up */
    };

    Publisher (DeclarationsParser parser, Hooks hooks);

    /** Takes in a node's state, for logs that keep records for a limited time. */
    void adopt (const ConfigurationState& state) { m_judge.adopt (state); }

    /** Reads the log up to its end.

        @returns what is in force, or a PublishError as a status
    */
    absl::StatusOr<ConfigurationState> current();

    /** Publishes.

        @param id     unique to this publication
        @param base   the version the text is based on; nullopt: the one in force now
        @returns the verdict by log order, or a PublishError as a status
    */
    absl::StatusOr<JudgedProposal> publish (const std::string& id, const std::string& text,
                                            std::optional<ConfigurationVersion> base);

    /** @returns the verdicts on all proposals that were read so far, in log order */
    const std::vector<JudgedProposal>& verdicts() const noexcept { return m_verdicts; }

private:
    //==============================================================================
    absl::Status readToEnd();
    std::optional<JudgedProposal> verdictOn (const std::string& id) const;

    Hooks m_hooks;
    ConfigurationJudge m_judge;
    std::vector<JudgedProposal> m_verdicts;
};

} // namespace plankledge
