#pragma once

#include "plankledge_policy/Events.h"
#include "plankledge_policy/relay/routes/RouteTable.h"

#include <optional>
#include <set>

namespace plankledge::detail
{

/** A request at its entry, from its arrival to its answer. */
struct EntryRequest
{
    Ticket m_ticket = 0;
    RelayContent m_content;
    Route m_route;
    ServiceName m_service;
    OrganisationName m_organisation;        /**< that it is sent for; empty: it needs no key */
    ContentDigest m_digest = 0;             /**< of what it asks */
    std::optional<Time> m_keyHoldsUntil {}; /**< it may not be sent on later; nullopt: no such bound */
    bool m_isJudged = true; /**< false: whether it is within its organisation's limit is asked */
    bool m_isNested = false;
    std::uint32_t m_callsDone = 0; /**< earlier calls of the request that it is a call of, that ended well */
    std::uint16_t m_urgency = 0;   /**< its route's priority; a call has that of the request it is for */
    Time m_receivedAt;
    Time m_chainStartedAt; /**< when the request at the head of its chain came to its entry */
    Time m_deadline;
    Time m_holdEnd;
    Duration m_longestToBegin {}; /**< that it waits for a slot where nothing of its chain has run yet */
    std::set<InstanceName> m_tried;
    std::uint32_t m_arrivals = 0;     /**< sendings that may have reached a target */
    std::set<InstanceName> m_reached; /**< whose targets they may have reached */
    bool m_isOfRepeat = false;        /**< a call of a run that was itself a retry */
    bool m_mayHaveRun = false;        /**< a sending ended without anyone's word that it did not run */
    InstanceName m_instance;          /**< where it is now; empty: nowhere */
    CallId m_call = 0;
    bool m_isHeld = false;
    Reason m_lastReason = Reason::noReachableInstance;
};

} // namespace plankledge::detail
