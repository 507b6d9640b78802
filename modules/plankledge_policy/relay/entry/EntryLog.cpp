#include "plankledge_policy/relay/entry/EntryLog.h"

#include "plankledge_policy/relay/LogText.h"

namespace plankledge::detail
{

namespace
{

std::string joinTried (const EntryRequest& request)
{
    return fmt::format ("{}", fmt::join (request.m_tried, ","));
}

} // namespace

//==============================================================================
LogDecision logRefusal (const RelayRequestReceived& received, Reason reason, ConfigurationVersion version)
{
    return { Decision::requestRefused,
             received.m_content.m_id,
             { { "reason", std::string (nameOf (reason)) },
               { "host", received.m_host },
               { "path", received.m_content.m_path },
               { "version", number (version) } } };
}

LogDecision logOverloadedDownstream (const EntryRequest& request, const EntryAdmission::Refusal& refusal,
                                     ConfigurationVersion version)
{
    return { Decision::requestRefused,
             request.m_content.m_id,
             { { "reason", "no-room" },
               { "service", refusal.m_service },
               { "place", fmt::format ("{:.3f}", refusal.m_shedRank) },
               { "level", fmt::format ("{:.3f}", refusal.m_level) },
               { "room", fmt::format ("{:.3f}", refusal.m_room) },
               { "route", request.m_route.m_name },
               { "version", number (version) } } };
}

LogDecision logSent (const EntryRequest& request, const Peer& peer, ConfigurationVersion version, Time now)
{
    return { Decision::requestSent,
             request.m_content.m_id,
             { { "peer", peer.m_member.m_id.m_instance },
               { "route", request.m_route.m_name },
               { "service", request.m_service },
               { "version", number (version) },
               { "load", number (peer.load()) },
               { "limit", number (peer.m_gate.m_limit) },
               { "gate_age_ms", milliseconds (now - peer.m_lastFrameAt) },
               { "time_left_ms", milliseconds (request.m_deadline - now) } } };
}

LogDecision logRetry (const EntryRequest& request, Reason reason)
{
    return { Decision::requestSentAgain,
             request.m_content.m_id,
             { { "reason", std::string (nameOf (reason)) },
               { "arrivals", number (request.m_attempts) },
               { "chain_priority", number (request.m_retryPriority) },
               { "priority", number (request.m_effectivePriority) } } };
}

LogDecision logBusyRedirect (const EntryRequest& request, const Peer& peer)
{
    return { Decision::requestSentAgain,
             request.m_content.m_id,
             { { "reason", std::string (nameOf (request.m_lastReason)) },
               { "arrivals", number (request.m_attempts) },
               { "redirects", number (request.m_busyRedirects) },
               { "peer", peer.m_member.m_id.m_instance },
               { "tried", joinTried (request) } } };
}

LogDecision logCancelled (const EntryRequest& request, Time now)
{
    return { Decision::requestCancelled,
             request.m_content.m_id,
             { { "waited_ms", milliseconds (now - request.m_receivedAt) } } };
}

LogDecision logGivenUp (const EntryRequest& request, Outcome outcome, Reason reason, Time now)
{
    return { Decision::requestGivenUp,
             request.m_content.m_id,
             { { "outcome", std::string (nameOf (outcome)) },
               { "reason", std::string (nameOf (reason)) },
               { "route", request.m_route.m_name },
               { "service", request.m_service },
               { "organisation", request.m_organisation },
               { "arrivals", number (request.m_attempts) },
               { "nested", request.m_isNested ? "yes" : "no" },
               { "tried", joinTried (request) },
               { "waited_ms", milliseconds (now - request.m_receivedAt) },
               { "time_left_ms", milliseconds (request.m_deadline - now) } } };
}

LogDecision logAnswered (const EntryRequest& request, std::uint16_t status, Time now)
{
    return { Decision::requestAnswered,
             request.m_content.m_id,
             { { "status", number (status) },
               { "route", request.m_route.m_name },
               { "tried", joinTried (request) },
               { "took_ms", milliseconds (now - request.m_receivedAt) } } };
}

} // namespace plankledge::detail
