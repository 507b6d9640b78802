#pragma once

#include "plankledge_policy/Events.h"
#include "plankledge_policy/relay/routes/RouteTable.h"

#include <optional>
#include <set>

namespace plankledge::detail
{

/** The state of a request at its entry node, from its arrival to its answer. */
struct EntryRequest
{
    Ticket m_ticket = 0;
    RelayContent m_content;
    Route m_route;
    ServiceName m_service;
    OrganisationName m_organisation;        /**< the owner of its API key; empty if it needs no key */
    ContentDigest m_digest = 0;             /**< of its content */
    std::optional<Time> m_keyValidUntil {}; /**< it is not sent to a target later; nullopt: no bound */
    bool m_isLimitChecked = true; /**< false while the check of its organisation's limit is pending */
    bool m_isNested = false;
    std::uint32_t m_completedCalls = 0;    /**< successful earlier calls of its parent request */
    std::uint16_t m_effectivePriority = 0; /**< nested calls inherit it from their parent */
    std::uint16_t m_retryPriority = 0;     /**< configured priority of the route at which its chain began */
    bool m_isChainRepeatable = true;       /**< that route is repeatable */
    bool m_isTolerantChain = false;        /**< that route is latency-tolerant, see
                                              RelaySettings::m_tolerantObjective */
    Time m_receivedAt;
    Time m_chainStartedAt; /**< when the root request of its call chain arrived */
    Time m_deadline;
    Time m_queueDeadline;                 /**< end of the time that it may be queued, here and at gates */
    Duration m_maxQueueTimeOfNewChain {}; /**< maximum queueing time at a target where nothing of its chain
                                             has run */
    std::set<InstanceName> m_tried;       /**< excluded from target selection */
    std::uint32_t m_attempts = 0;         /**< attempts that may have reached a target */
    std::set<InstanceName> m_reached;     /**< instances whose targets these attempts may have reached */
    bool m_hasRetriedAncestor = false;    /**< its parent request, or one further up, was itself a retry */
    bool m_mayHaveRun = false;            /**< an attempt ended without confirmation that it did not run */
    InstanceName m_instance;              /**< that holds the current attempt; empty if there is none */
    CallId m_call = 0;                    /**< of the current attempt; 0 if there is none */
    bool m_isQueued = false;              /**< at the entry node, until a target is available */
    Reason m_lastReason = Reason::noReachableInstance;
    std::uint32_t m_busyRedirects = 0;    /**< redirects since a gate would have queued it too long */
    std::set<InstanceName> m_shortOffers; /**< instances that were offered it with a short queueing time */
    bool m_isFullOfferDue = false;        /**< further offers have the full queueing time */
    Duration m_rateLimitWait {}; /**< shortest time until a target that refused it because of its rate limit
                                    could run it; 0: none did */
};

} // namespace plankledge::detail
