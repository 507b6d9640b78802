#include "plankledge_operator/Publisher.h"

#include <array>

namespace plankledge
{

namespace
{

constexpr int readsPerAppend = 10;

} // namespace

//==============================================================================
std::string_view nameOf (PublishError error) noexcept
{
    constexpr std::array<std::string_view, 3> names {
        "the log is unreachable; whether the version was accepted is unknown",
        "the log no longer contains the version in force; specify a node's address",
        "timed out waiting for the verdict; whether the version was accepted is unknown",
    };
    return names.at (static_cast<std::size_t> (error));
}

absl::Status toStatus (PublishError error)
{
    const auto code = error == PublishError::versionNotRetained ? absl::StatusCode::kFailedPrecondition
                                                                : absl::StatusCode::kUnavailable;
    auto status = absl::Status (code, std::string (nameOf (error)));
    status.SetPayload ("plankledge/publish-error", absl::Cord (std::string (1, static_cast<char> (error))));
    return status;
}

//==============================================================================
Publisher::Publisher (DeclarationsParser parser, Hooks hooks)
    : m_hooks (std::move (hooks))
    , m_stateMachine (std::move (parser))
{
}

absl::Status Publisher::readToEnd()
{
    for (;;)
    {
        const auto from = m_stateMachine.nextOffset();
        const auto page = m_hooks.m_read (from);

        if (! page.ok())
            return toStatus (PublishError::logUnavailable);

        ConfigurationRead read { from, page->m_earliest, page->m_next, {} };

        for (const auto& record : page->m_records)
            if (auto decoded = decodeConfigurationRecord (record); decoded.ok())
                read.m_records.push_back (*std::move (decoded));

        for (auto& decided : m_stateMachine.apply (read))
            m_verdicts.push_back (std::move (decided));

        if (page->m_next <= from)
            return absl::OkStatus();
    }
}

absl::StatusOr<ConfigurationState> Publisher::current()
{
    if (const auto status = readToEnd(); ! status.ok())
        return status;

    if (! m_stateMachine.canDecide())
        return toStatus (PublishError::versionNotRetained);

    return m_stateMachine.state();
}

absl::StatusOr<DecidedProposal> Publisher::publish (const std::string& id, const std::string& text,
                                                    std::optional<ConfigurationVersion> base)
{
    const auto before = current();

    if (! before.ok())
        return before.status();

    ConfigurationRecord record;
    record.m_id = id;
    record.m_version = base.value_or (before->m_version);
    record.m_text = text;
    const auto data = encodeConfigurationRecord (record);

    for (int round = 0;; ++round)
    {
        // An append whose response was lost may have taken effect, so the log is read before a retry.
        const bool isAppendDue = round % readsPerAppend == 0;

        if (isAppendDue)
            (void)m_hooks.m_append (data);

        if (readToEnd().ok())
            if (auto verdict = findVerdict (id))
                return *std::move (verdict);

        if (! m_hooks.m_pause())
            return toStatus (PublishError::timedOut);
    }
}

std::optional<DecidedProposal> Publisher::findVerdict (const std::string& id) const
{
    for (const auto& decided : m_verdicts)
        if (decided.m_id == id)
            return decided;

    return std::nullopt;
}

} // namespace plankledge
