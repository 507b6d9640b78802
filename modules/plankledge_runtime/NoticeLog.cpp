#include "plankledge_runtime/NoticeLog.h"

#include "plankledge_policy/relay/RequestIds.h"

#include <array>
#include <fmt/format.h>

namespace plankledge
{

std::string_view nameOf (Notice notice) noexcept
{
    switch (notice)
    {
    case Notice::configurationInForce:
        return "configuration-in-force";
    case Notice::configurationConflict:
        return "configuration-conflict";
    case Notice::configurationInvalid:
        return "configuration-invalid";
    case Notice::established:
        return "established";
    case Notice::memberLost:
        return "member-lost";
    case Notice::memberLeft:
        return "member-left";
    case Notice::targetStateChanged:
        return "target-state-changed";
    case Notice::thresholdChanged:
        return "threshold-changed";
    case Notice::drainStarted:
        return "drain-started";
    case Notice::handoverFinished:
        return "handover-finished";
    case Notice::drainTimedOut:
        return "drain-timed-out";
    case Notice::wokeFromPause:
        return "woke-from-pause";
    case Notice::scheduledLate:
        break;
    }

    return "scheduled-late";
}

Severity severityOf (Notice notice) noexcept
{
    switch (notice)
    {
    case Notice::thresholdChanged:
        return Severity::debug;
    case Notice::configurationConflict:
    case Notice::configurationInvalid:
    case Notice::memberLost:
    case Notice::drainTimedOut:
    case Notice::wokeFromPause:
        return Severity::warning;
    default:
        return Severity::info;
    }
}

//==============================================================================
std::string_view nameOf (Decision decision) noexcept
{
    constexpr std::array<std::string_view, static_cast<std::size_t> (Decision::decisionCount)> names {
        "request-sent",     "request-sent-again",      "request-answered", "request-refused",
        "request-given-up", "request-cancelled",       "gate-dispatched",  "gate-refused",
        "gate-ended",       "target-announced",        "peer-found",       "peer-lost",
        "peer-regained",    "routes-in-force",         "routes-invalid",   "admission-moved",
        "store-following",  "member-published",        "keys-opened",      "keys-closed",
        "limit-homes",      "crash-reported",          "crash-withdrawn",  "content-held",
        "store-restored",   "target-condition-changed"
    };
    static_assert (! names.back().empty(), "every decision has a name");
    return names.at (static_cast<std::size_t> (decision));
}

void writeNotice (Logger& logger, const WriteLog& notice)
{
    logger.write (severityOf (notice.m_notice), nameOf (notice.m_notice),
                  { { "subject", notice.m_subject }, { "value", fmt::format ("{}", notice.m_value) } });
}

void writeDecision (Logger& logger, const LogDecision& decision)
{
    std::vector<LogField> fields;

    if (! decision.m_request.empty())
        fields.push_back ({ "request", decision.m_request });

    for (const auto& input : decision.m_inputs)
        fields.push_back ({ input.m_name, input.m_value });

    logger.write (Severity::info, nameOf (decision.m_decision), fields,
                  ! decision.m_request.empty() && isLogSampled (decision.m_request));
}

} // namespace plankledge
