#include "plankledge_policy/relay/limits/OrganisationLimits.h"

#include "plankledge_policy/relay/LogText.h"

#include <algorithm>
#include <fmt/ranges.h>
#include <vector>

namespace plankledge
{

namespace
{

/** Longer than the 90 ms for which a process that has exhausted its CPU quota is suspended. */
constexpr Duration questionTimeout = Milliseconds (100);

/** Initial tokens of a new home, as a fraction of the permitted excess per window. */
constexpr double initialFraction = 0.25;

/** Fraction of its own equal share that a node enforces if no home answers. */
constexpr double fallbackFraction = 0.5;

} // namespace

//==============================================================================
OrganisationLimits::OrganisationLimits (const RelaySettings& settings, const RouteSync& routes,
                                        PeerTable& peers, OnDecided onDecided)
    : m_settings (settings)
    , m_routes (routes)
    , m_peers (peers)
    , m_onDecided (std::move (onDecided))
    , m_homes (peers)
{
}

bool OrganisationLimits::areLimitsDeclared() const noexcept
{
    return m_settings.m_limitSharing == LimitSharing::homes && m_routes.table().organisations().areDeclared();
}

const RequestLimit* OrganisationLimits::limitOf (const OrganisationName& organisation) const noexcept
{
    const auto* declared = m_routes.table().organisations().find (organisation);
    return declared != nullptr && declared->m_limit.has_value() ? &*declared->m_limit : nullptr;
}

RequestLimit OrganisationLimits::limitInForce (const OrganisationName& organisation,
                                               const RequestLimit& declared, Time now) const noexcept
{
    const auto found = m_previousLimits.find (organisation);
    return found != m_previousLimits.end() && now < found->second.m_until ? found->second.m_limit : declared;
}

//==============================================================================
std::optional<OrganisationLimits::LimitDecision>
OrganisationLimits::check (Turn& turn, const OrganisationName& organisation, CallId request)
{
    if (organisation.empty())
        return LimitDecision { LimitVerdict::within, {} };

    if (limitOf (organisation) == nullptr)
        return recordDecision (organisation, { LimitVerdict::within, {} });

    const auto* home =
        m_settings.m_limitSharing == LimitSharing::homes ? m_homes.homeOf (organisation) : nullptr;

    if (home == nullptr)
        return recordDecision (organisation, decideLocally (organisation, turn.now()));

    const auto& instance = home->m_member.m_id.m_instance;

    if (instance == m_peers.self())
        return recordDecision (organisation, decideAtHome (organisation, turn.now()));

    const auto question = m_nextQuestion++;
    m_questions[question] = { request, organisation, instance, turn.now() };
    m_byRequest[request] = question;
    turn.emit (SendToPeer { instance, home->m_member.m_endpoint, LimitQuery { question, organisation } });
    return std::nullopt;
}

void OrganisationLimits::cancel (CallId request)
{
    const auto found = m_byRequest.find (request);

    if (found == m_byRequest.end())
        return;

    m_questions.erase (found->second);
    m_byRequest.erase (found);
}

void OrganisationLimits::onQuestion (Turn& turn, LinkId link, const InstanceName& from,
                                     const LimitQuery& question)
{
    const auto decision = decideAtHome (question.m_organisation, turn.now());
    turn.emit (
        ReplyOnLink { link, from, LimitAnswer { question.m_queryId, decision.m_verdict, decision.m_wait } });
}

void OrganisationLimits::onAnswer (Turn& turn, const InstanceName& from, const LimitAnswer& answer)
{
    const auto found = m_questions.find (answer.m_queryId);

    if (found == m_questions.end() || found->second.m_home != from)
        return; // already decided locally, or cancelled

    const auto question = found->second;
    cancel (question.m_request);

    // A home with an older configuration may not know the organisation yet.
    const auto decision = answer.m_verdict == LimitVerdict::unknown
                              ? decideLocally (question.m_organisation, turn.now())
                              : LimitDecision { answer.m_verdict, answer.m_wait };
    m_onDecided (turn, question.m_request, recordDecision (question.m_organisation, decision));
}

//==============================================================================
/** Counts the decision on a request that arrived at this node. */
OrganisationLimits::LimitDecision OrganisationLimits::recordDecision (const OrganisationName& organisation,
                                                                      const LimitDecision& decision)
{
    auto& count = m_counts[organisation];

    switch (decision.m_verdict)
    {
    case LimitVerdict::within:
        ++count.m_admitted;
        break;
    case LimitVerdict::beyond:
        ++count.m_beyondLimit;
        break;
    case LimitVerdict::unknown:
        ++count.m_limitUnknown;
        break;
    }

    return decision;
}

OrganisationLimits::LimitDecision OrganisationLimits::decide (TokenBuckets& buckets,
                                                              const OrganisationName& organisation,
                                                              double share, double initialLevel, Time now)
{
    const auto* limit = limitOf (organisation);

    if (limit == nullptr)
        return { LimitVerdict::unknown, {} };

    auto& bucket = buckets.try_emplace (organisation, initialLevel, now).first->second;
    const auto wait = bucket.take (limitInForce (organisation, *limit, now), share, now);
    return { wait > Duration::zero() ? LimitVerdict::beyond : LimitVerdict::within, wait };
}

OrganisationLimits::LimitDecision OrganisationLimits::decideAtHome (const OrganisationName& organisation,
                                                                    Time now)
{
    const auto* limit = limitOf (organisation);

    if (limit == nullptr)
        return {}; // a peer may ask about an organisation that is not declared here

    const auto decision =
        decide (m_homeBuckets, organisation, m_reachableShare, initialLevelOf (*limit), now);
    m_counts[organisation].m_counted += decision.m_verdict == LimitVerdict::within ? 1 : 0;
    return decision;
}

OrganisationLimits::LimitDecision OrganisationLimits::decideLocally (const OrganisationName& organisation,
                                                                     Time now)
{
    const auto fraction = m_settings.m_limitSharing == LimitSharing::fixedShares ? 1.0 : fallbackFraction;
    const auto share = fraction / static_cast<double> (m_peers.size());
    auto decision = decide (m_localBuckets, organisation, share, 1.0, now);

    // This node does not know whether the limit as a whole is exceeded.
    if (decision.m_verdict == LimitVerdict::beyond && m_settings.m_limitSharing == LimitSharing::homes)
        decision.m_verdict = LimitVerdict::unknown;

    return decision;
}

double OrganisationLimits::initialLevelOf (const RequestLimit& limit) const noexcept
{
    const auto window = static_cast<double> (m_settings.m_limitWindow.count()) / 1e6;
    const auto excess = m_settings.m_limitOverage * (limit.m_perSecond * window + limit.m_burst) +
                        static_cast<double> (m_settings.m_limitSlack);
    return std::min (limit.m_burst, initialFraction * excess);
}

//==============================================================================
void OrganisationLimits::decideUnanswered (Turn& turn,
                                           const std::function<bool (const Question&)>& isUnanswered,
                                           bool isHomeUnresponsive)
{
    std::vector<Question> unanswered;

    for (const auto& [number, question] : m_questions)
        if (isUnanswered (question))
            unanswered.push_back (question);

    for (const auto& question : unanswered)
    {
        cancel (question.m_request);

        if (isHomeUnresponsive)
            m_homes.markUnresponsive (question.m_home, question.m_askedAt);

        m_onDecided (
            turn, question.m_request,
            recordDecision (question.m_organisation, decideLocally (question.m_organisation, turn.now())));
    }
}

void OrganisationLimits::onPeerDown (Turn& turn, const InstanceName& instance)
{
    m_homes.update (turn.now());
    decideUnanswered (
        turn, [&] (const Question& question) { return question.m_home == instance; }, false);
}

void OrganisationLimits::onWindowEnd (Turn& turn)
{
    decideUnanswered (
        turn,
        [now = turn.now()] (const Question& question) { return now - question.m_askedAt >= questionTimeout; },
        true);
}

void OrganisationLimits::onTick (Turn& turn)
{
    if (! areLimitsDeclared())
        return;

    applyVersion (turn.now());
    m_reachableShare = m_homes.reachableShare (turn.now());
    const auto before = m_homes.homes();
    m_homes.update (turn.now());

    if (before == m_homes.homes())
        return;

    dropMovedBuckets();
    turn.emit (LogDecision { Decision::limitHomes,
                             {},
                             { { "homes", fmt::format ("{}", fmt::join (m_homes.homes(), ",")) },
                               { "nodes", detail::number (m_peers.size()) },
                               { "share", fmt::format ("{:.2f}", m_reachableShare) } } });
}

/** Removes the buckets of organisations that have another home now, since they go out of date. */
void OrganisationLimits::dropMovedBuckets()
{
    std::erase_if (m_homeBuckets, [this] (const auto& entry) {
        const auto* home = m_homes.homeOf (entry.first);
        return home != nullptr && home->m_member.m_id.m_instance != m_peers.self();
    });
}

/** Records lowered limits and removes the state of organisations that are no longer declared. */
void OrganisationLimits::applyVersion (Time now)
{
    std::erase_if (m_previousLimits, [now] (const auto& entry) { return entry.second.m_until <= now; });

    if (std::exchange (m_version, m_routes.version()) == m_routes.version())
        return;

    recordLoweredLimits (now);
    const auto& declared = m_routes.table().organisations();
    const auto isUndeclared = [&] (const auto& entry) { return declared.find (entry.first) == nullptr; };
    std::erase_if (m_homeBuckets, isUndeclared);
    std::erase_if (m_localBuckets, isUndeclared);
    std::erase_if (m_counts, isUndeclared);
    std::erase_if (m_previousLimits, isUndeclared);
}

void OrganisationLimits::recordLoweredLimits (Time now)
{
    const auto before = std::exchange (m_limits, {});

    for (const auto& organisation : m_routes.table().organisations().all())
    {
        if (! organisation.m_limit.has_value())
            continue;

        const auto& limit = m_limits[organisation.m_name] = *organisation.m_limit;
        const auto previous = before.find (organisation.m_name);

        if (previous != before.end() && limit.m_perSecond < previous->second.m_perSecond)
            m_previousLimits.try_emplace (organisation.m_name,
                                          PreviousLimit { previous->second, now + m_settings.m_limitWindow });
    }
}

std::vector<const Peer*> OrganisationLimits::peersDueForHello (Time now) const
{
    return areLimitsDeclared() ? m_homes.peersDueForHello (now) : std::vector<const Peer*> {};
}

void OrganisationLimits::onPause (Time now) noexcept
{
    for (auto& [number, question] : m_questions)
        question.m_askedAt = now;
}

} // namespace plankledge
