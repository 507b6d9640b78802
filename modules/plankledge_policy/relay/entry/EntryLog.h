#pragma once

#include "plankledge_policy/Effects.h"
#include "plankledge_policy/relay/entry/EntryAdmission.h"
#include "plankledge_policy/relay/entry/EntryRequest.h"

/** Decision log records about requests at their entry node, each with the inputs of the decision. */
namespace plankledge::detail
{

LogDecision logRefusal (const RelayRequestReceived& received, Reason reason, ConfigurationVersion version);
LogDecision logOverloadedDownstream (const EntryRequest& request, const EntryAdmission::Refusal& refusal,
                                     ConfigurationVersion version);
LogDecision logSent (const EntryRequest& request, const Peer& peer, ConfigurationVersion version, Time now);
LogDecision logRetry (const EntryRequest& request, Reason reason);
LogDecision logBusyRedirect (const EntryRequest& request, const Peer& peer);
LogDecision logCancelled (const EntryRequest& request, Time now);
LogDecision logGivenUp (const EntryRequest& request, Outcome outcome, Reason reason, Time now);
LogDecision logAnswered (const EntryRequest& request, std::uint16_t status, Time now);

} // namespace plankledge::detail
