#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/RelaySettings.h"
#include "plankledge_policy/relay/limits/LimitHomes.h"
#include "plankledge_policy/relay/limits/OrganisationCounts.h"
#include "plankledge_policy/relay/limits/RequestMeter.h"
#include "plankledge_policy/relay/routes/RouteFollower.h"

#include <functional>
#include <map>

namespace plankledge
{

//==============================================================================
/**
    Keeps what all nodes together let through of an organisation's requests within its
    limit.

    The loads it answers: an organisation that sends many times its usual, a limit lowered
    far below what is sent, and the many small organisations whose equal part at a node is
    less than a request in a window.

    Each request is counted once, by the organisation's home, before it is sent on: a round
    trip, and exact wherever requests arrive. A home lets through only the part of the limit
    that the nodes have which it hears, so that two halves of a fleet that is split allow
    one limit together. A home that starts knows nothing of what was let through before:
    it begins with a quarter of what may be exceeded in a window, so that two changes in one
    are borne.

    A limit that is lowered holds from one window on after it came in force: until then the
    windows still hold what the one before let through. Applied at once, 0.04 of the
    worth of the four seconds after it was lost, by requests that lay below the limit in
    force when they were sent.

    Where no home answers a node goes by its own equal part of the limit, halved: at a bound
    of 5 s on keys, cut off nodes come to an end before the other half would be too much.

    With fixed shares a node always goes by its own equal part.
*/
class OrganisationLimits
{
public:
    //==============================================================================
    /** Whether a request may go on, and if not, how long it is to wait. */
    struct Judgement
    {
        LimitVerdict m_verdict = LimitVerdict::unknown;
        Duration m_wait {};

        auto operator<=> (const Judgement&) const = default;
    };

    using OnJudged = std::function<void (Turn&, CallId request, const Judgement&)>;

    /** @param onJudged   takes judgements that were not there at once */
    OrganisationLimits (const RelaySettings& settings, const RouteFollower& routes, PeerTable& peers,
                        OnJudged onJudged);

    //==============================================================================
    /** Asks whether a request is within its organisation's limit.

        @returns the judgement, if it is there at once
    */
    std::optional<Judgement> ask (Turn& turn, const OrganisationName& organisation, CallId request);

    /** Nobody waits for the judgement any more. */
    void forget (CallId request);

    void onQuestion (Turn& turn, LinkId link, const InstanceName& from, const LimitQuestion& question);
    void onAnswer (Turn& turn, const InstanceName& from, const LimitAnswer& answer);
    void onPeerDown (Turn& turn, const InstanceName& instance);

    /** Looks after questions without an answer; every 100 ms. */
    void onWindowEnd (Turn& turn);

    /** Looks who the homes are; every 200 ms. */
    void onTick (Turn& turn);

    /** @returns the homes that are due a hello */
    std::vector<const Peer*> due (Time now) const;

    /** This process stood still: questions meanwhile say nothing of those that were asked. */
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

    using Meters = std::map<OrganisationName, RequestMeter>;

    /** A limit that was lowered, as it was. */
    struct EarlierLimit
    {
        RequestLimit m_limit;
        Time m_until;
    };

    bool areLimitsDeclared() const noexcept;
    const RequestLimit* limitOf (const OrganisationName& organisation) const noexcept;
    RequestLimit limitInForce (const OrganisationName& organisation, const RequestLimit& declared,
                               Time now) const noexcept;
    void noteLowered (Time now);
    Judgement noted (const OrganisationName& organisation, const Judgement& judgement);
    Judgement judge (Meters& meters, const OrganisationName& organisation, double share, double first,
                     Time now);
    Judgement judgeAtHome (const OrganisationName& organisation, Time now);
    Judgement judgeAlone (const OrganisationName& organisation, Time now);
    double firstLevel (const RequestLimit& limit) const noexcept;
    void giveUp (Turn& turn, const std::function<bool (const Question&)>& isLost, bool isShunned);
    void takeVersion (Time now);
    void forgetMoved();

    const RelaySettings m_settings;
    const RouteFollower& m_routes;
    PeerTable& m_peers;
    const OnJudged m_onJudged;
    LimitHomes m_homes;
    OrganisationCounts m_counts;                        /**< since the start, of those that are declared */
    std::map<CallId, Question> m_questions;             /**< by their numbers */
    std::map<CallId, CallId> m_byRequest;               /**< a request to its question */
    Meters m_counted;                                   /**< of organisations whose home this node is */
    Meters m_own;                                       /**< of this node's own parts */
    std::map<OrganisationName, RequestLimit> m_limits;  /**< of m_version */
    std::map<OrganisationName, EarlierLimit> m_earlier; /**< that still hold */
    ConfigurationVersion m_version = 0;                 /**< that the meters are of */
    double m_share = 0.0;                               /**< of all nodes, that reach this one */
    CallId m_next = 1;
};

} // namespace plankledge
