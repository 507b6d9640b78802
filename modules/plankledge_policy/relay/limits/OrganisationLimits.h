#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/RelaySettings.h"
#include "plankledge_policy/relay/limits/LimitHomes.h"
#include "plankledge_policy/relay/limits/OrganisationCounts.h"
#include "plankledge_policy/relay/limits/TokenBucket.h"
#include "plankledge_policy/relay/routes/RouteSync.h"

#include <functional>
#include <map>

namespace plankledge
{

//==============================================================================
/**
    Distributed rate limiter: keeps the requests of an organisation within its limit over all nodes.

    Each request is counted once, by the home of its organisation, before it is forwarded. This costs a round
    trip, but is exact wherever requests arrive, also for organisations whose equal share per node is less
    than one request per window. A home grants only the share of the limit that belongs to the nodes that can
    reach it, so that the two sides of a network partition together stay within one limit. A new home does not
    know what the previous one allowed. It starts with a quarter of the permitted excess per window, which
    allows for two changes of the home in one window.

    A lowered limit is enforced with a delay of one window, since until then the windows still hold what the
    previous limit allowed, and so that requests that were within the previous limit when they were sent are
    not refused. When it was enforced at once, 4 % of the value of the next 4 s was lost by such refusals.

    If no home answers, a node enforces half of its own equal share of the limit. This may
    exceed the limit only for a short time, since an isolated node stops accepting keys after the revocation
    bound.

    With LimitSharing::fixedShares a node always enforces its own equal share.
*/
class OrganisationLimits
{
public:
    //==============================================================================
    /** Whether a request is within the limit, and if not, how long the caller should wait. */
    struct LimitDecision
    {
        LimitVerdict m_verdict = LimitVerdict::unknown;
        Duration m_wait {};

        auto operator<=> (const LimitDecision&) const = default;
    };

    using OnDecided = std::function<void (Turn&, CallId request, const LimitDecision&)>;

    /** @param onDecided   receives the decisions that check() could not return at once */
    OrganisationLimits (const RelaySettings& settings, const RouteSync& routes, PeerTable& peers,
                        OnDecided onDecided);

    //==============================================================================
    /** Checks whether a request is within its organisation's limit.

        @returns the decision, or std::nullopt if it has to be requested from the home; the OnDecided hook
                 then receives it
    */
    std::optional<LimitDecision> check (Turn& turn, const OrganisationName& organisation, CallId request);

    /** Cancels a pending question. */
    void cancel (CallId request);

    void onQuestion (Turn& turn, LinkId link, const InstanceName& from, const LimitQuery& question);
    void onAnswer (Turn& turn, const InstanceName& from, const LimitAnswer& answer);
    void onPeerDown (Turn& turn, const InstanceName& instance);

    /** Decides questions that were not answered in time. Called every 100 ms. */
    void onWindowEnd (Turn& turn);

    /** Applies configuration changes and recomputes the homes. Called every 200 ms. */
    void onTick (Turn& turn);

    /** @returns the homes to which a hello is due */
    std::vector<const Peer*> peersDueForHello (Time now) const;

    /** Called after this process was paused. Restarts the timeouts of all pending questions, since the pause
        says nothing about the homes. */
    void onPause (Time now) noexcept;

    const LimitHomes& homes() const noexcept { return m_homes; }
    const OrganisationCounts& counts() const noexcept { return m_counts; }

private:
    //==============================================================================
    struct Question
    {
        CallId m_request = 0;
        OrganisationName m_organisation;
        InstanceName m_home;
        Time m_askedAt;
    };

    using TokenBuckets = std::map<OrganisationName, TokenBucket>;

    /** The value of a lowered limit before the change. */
    struct PreviousLimit
    {
        RequestLimit m_limit;
        Time m_until; /**< enforced until then */
    };

    bool areLimitsDeclared() const noexcept;
    const RequestLimit* limitOf (const OrganisationName& organisation) const noexcept;
    RequestLimit limitInForce (const OrganisationName& organisation, const RequestLimit& declared,
                               Time now) const noexcept;
    void recordLoweredLimits (Time now);
    LimitDecision recordDecision (const OrganisationName& organisation, const LimitDecision& decision);
    LimitDecision decide (TokenBuckets& buckets, const OrganisationName& organisation, double share,
                          double initialLevel, Time now);
    LimitDecision decideAtHome (const OrganisationName& organisation, Time now);
    LimitDecision decideLocally (const OrganisationName& organisation, Time now);
    double initialLevelOf (const RequestLimit& limit) const noexcept;
    void decideUnanswered (Turn& turn, const std::function<bool (const Question&)>& isUnanswered,
                           bool isHomeUnresponsive);
    void applyVersion (Time now);
    void dropMovedBuckets();

    const RelaySettings m_settings;
    const RouteSync& m_routes;
    PeerTable& m_peers;
    const OnDecided m_onDecided;
    LimitHomes m_homes;
    OrganisationCounts m_counts;            /**< since the start of this process */
    std::map<CallId, Question> m_questions; /**< pending, by question number */
    std::map<CallId, CallId> m_byRequest;   /**< question numbers by request */
    TokenBuckets m_homeBuckets;             /**< of organisations that have this node as their home */
    TokenBuckets m_localBuckets;            /**< of this node's own equal shares */
    std::map<OrganisationName, RequestLimit> m_limits;          /**< declared in m_version */
    std::map<OrganisationName, PreviousLimit> m_previousLimits; /**< still enforced */
    ConfigurationVersion m_version = 0;                         /**< of the configuration last applied */
    double m_reachableShare = 0.0; /**< fraction of all nodes that can reach this one */
    CallId m_nextQuestion = 1;
};

} // namespace plankledge
