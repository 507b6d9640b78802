#pragma once

#include "plankledge_formats/PlatformJson.h"
#include "plankledge_policy/configuration/ConfigurationStateMachine.h"
#include <absl/status/statusor.h>
#include <functional>
#include <optional>
#include <string>

namespace plankledge
{

/** Errors that leave a publication without a verdict. */
enum class PublishError : std::uint8_t
{
    logUnavailable,     /**< the publication may have taken effect: retry with the same id */
    versionNotRetained, /**< the log no longer contains the version in force, see Publisher::adopt */
    timedOut            /**< the publication may have taken effect: retry with the same id */
};

/** @returns the error message */
std::string_view nameOf (PublishError error) noexcept;

absl::Status toStatus (PublishError error);

//==============================================================================
/**
    Publishes a version of the declarations by appending it to the log, then reads the log to
    determine the verdict, as every node does.

    Appends can be retried safely: of the records with one id, only the first counts.
*/
class Publisher
{
public:
    //==============================================================================
    /** Access to the log, and the delay between polls. */
    struct Hooks
    {
        std::function<absl::StatusOr<LogPage> (LogOffset from)> m_read;
        std::function<absl::Status (const std::string& data)> m_append;
        std::function<bool()> m_pause; /**< waits before the next poll; returns false after the timeout */
    };

    Publisher (DeclarationsParser parser, Hooks hooks);

    /** Sets the version in force from a node's state; required if the log no longer contains that version. */
    void adopt (const ConfigurationState& state) { m_stateMachine.adopt (state); }

    /** Reads the log to its end.

        @returns the version in force, or a PublishError as a status
    */
    absl::StatusOr<ConfigurationState> current();

    /** Publishes a version of the declarations.

        @param id     unique id of this publication
        @param base   the version on which the text is based; nullopt: the version in force
        @returns the verdict, or a PublishError as a status
    */
    absl::StatusOr<DecidedProposal> publish (const std::string& id, const std::string& text,
                                             std::optional<ConfigurationVersion> base);

    /** @returns the verdicts on all proposals read so far, in log order */
    const std::vector<DecidedProposal>& verdicts() const noexcept { return m_verdicts; }

private:
    //==============================================================================
    absl::Status readToEnd();
    std::optional<DecidedProposal> findVerdict (const std::string& id) const;

    Hooks m_hooks;
    ConfigurationStateMachine m_stateMachine;
    std::vector<DecidedProposal> m_verdicts;
};

} // namespace plankledge
