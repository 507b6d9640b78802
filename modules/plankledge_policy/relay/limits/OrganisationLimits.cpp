#include "plankledge_policy/relay/limits/OrganisationLimits.h"

#include "plankledge_policy/relay/LogText.h"

#include <algorithm>
#include <fmt/ranges.h>
#include <vector>

namespace plankledge
{

namespace
{

/** A home answers within a few milliseconds; a process that has used up its share of a processor stands still
    for 90. */
constexpr Duration askPatience = Milliseconds (100);

/** The part of what may be exceeded in a window that a home which starts lets through at once. */
constexpr double firstPart = 0.25;

/** The part of its own equal share that a node uses where no home answers. */
constexpr double alonePart = 0.5;

} // namespace

//==============================================================================
OrganisationLimits::OrganisationLimits (const RelaySettings& settings, const RouteFollower& routes,
                                        PeerTable& peers, OnJudged onJudged)
    : m_settings (settings)
    , m_routes (routes)
    , m_peers (peers)
    , m_onJudged (std::move (onJudged))
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
    const auto found = m_earlier.find (organisation);
    return found != m_earlier.end() && now < found->second.m_until ? found->second.m_limit : declared;
}

//==============================================================================
std::optional<OrganisationLimits::Judgement>
OrganisationLimits::ask (Turn& turn, const OrganisationName& organisation, CallId request)
{
    if (organisation.empty())
        return Judgement { LimitVerdict::within, {} };

    if (limitOf (organisation) == nullptr)
        return noted (organisation, { LimitVerdict::within, {} });

    const auto* home = m_settings.m_limitSharing == LimitSharing::homes ? m_homes.of (organisation) : nullptr;

    if (home == nullptr)
        return noted (organisation, judgeAlone (organisation, turn.now()));

    const auto& instance = home->m_member.m_id.m_instance;

    if (instance == m_peers.self())
        return noted (organisation, judgeAtHome (organisation, turn.now()));

    const auto question = m_next++;
    m_questions[question] = { request, organisation, instance, turn.now() };
    m_byRequest[request] = question;
    turn.emit (SendToPeer { instance, home->m_member.m_endpoint, LimitQuestion { question, organisation } });
    return std::nullopt;
}

void OrganisationLimits::forget (CallId request)
{
    const auto found = m_byRequest.find (request);

    if (found == m_byRequest.end())
        return;

    m_questions.erase (found->second);
    m_byRequest.erase (found);
}

void OrganisationLimits::onQuestion (Turn& turn, LinkId link, const InstanceName& from,
                                     const LimitQuestion& question)
{
    const auto judgement = judgeAtHome (question.m_organisation, turn.now());
    turn.emit (ReplyOnLink { link, from,
                             LimitAnswer { question.m_question, judgement.m_verdict, judgement.m_wait } });
}

void OrganisationLimits::onAnswer (Turn& turn, const InstanceName& from, const LimitAnswer& answer)
{
    const auto found = m_questions.find (answer.m_question);

    if (found == m_questions.end() || found->second.m_home != from)
        return; // given up meanwhile

    const auto question = found->second;
    forget (question.m_request);

    // A home with an older configuration may not know the organisation yet.
    const auto judgement = answer.m_verdict == LimitVerdict::unknown
                               ? judgeAlone (question.m_organisation, turn.now())
                               : Judgement { answer.m_verdict, answer.m_wait };
    m_onJudged (turn, question.m_request, noted (question.m_organisation, judgement));
}

//==============================================================================
/** Counts a judgement of one of this node's own requests. */
OrganisationLimits::Judgement OrganisationLimits::noted (const OrganisationName& organisation,
                                                         const Judgement& judgement)
{
    auto& count = m_counts[organisation];

    switch (judgement.m_verdict)
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

    return judgement;
}

OrganisationLimits::Judgement OrganisationLimits::judge (Meters& meters, const OrganisationName& organisation,
                                                         double share, double first, Time now)
{
    const auto* limit = limitOf (organisation);

    if (limit == nullptr)
        return { LimitVerdict::unknown, {} };

    auto& meter = meters.try_emplace (organisation, first, now).first->second;
    const auto wait = meter.take (limitInForce (organisation, *limit, now), share, now);
    return { wait > Duration::zero() ? LimitVerdict::beyond : LimitVerdict::within, wait };
}

OrganisationLimits::Judgement OrganisationLimits::judgeAtHome (const OrganisationName& organisation, Time now)
{
    const auto* limit = limitOf (organisation);

    if (limit == nullptr)
        return {}; // peers may ask about anything

    const auto judgement = judge (m_counted, organisation, m_share, firstLevel (*limit), now);
    m_counts[organisation].m_counted += judgement.m_verdict == LimitVerdict::within ? 1 : 0;
    return judgement;
}

OrganisationLimits::Judgement OrganisationLimits::judgeAlone (const OrganisationName& organisation, Time now)
{
    const auto part = m_settings.m_limitSharing == LimitSharing::fixedShares ? 1.0 : alonePart;
    const auto share = part / static_cast<double> (m_peers.size());
    auto judgement = judge (m_own, organisation, share, 1.0, now);

    // Of the whole limit nothing is known here.
    if (judgement.m_verdict == LimitVerdict::beyond && m_settings.m_limitSharing == LimitSharing::homes)
        judgement.m_verdict = LimitVerdict::unknown;

    return judgement;
}

double OrganisationLimits::firstLevel (const RequestLimit& limit) const noexcept
{
    const auto window = static_cast<double> (m_settings.m_limitWindow.count()) / 1e6;
    const auto exceeded = m_settings.m_limitOverage * (limit.m_perSecond * window + limit.m_burst) +
                          static_cast<double> (m_settings.m_limitSlack);
    return std::min (limit.m_burst, firstPart * exceeded);
}

//==============================================================================
void OrganisationLimits::giveUp (Turn& turn, const std::function<bool (const Question&)>& isLost,
                                 bool isShunned)
{
    std::vector<Question> lost;

    for (const auto& [number, question] : m_questions)
        if (isLost (question))
            lost.push_back (question);

    for (const auto& question : lost)
    {
        forget (question.m_request);

        if (isShunned)
            m_homes.shun (question.m_home, question.m_askedAt);

        m_onJudged (turn, question.m_request,
                    noted (question.m_organisation, judgeAlone (question.m_organisation, turn.now())));
    }
}

void OrganisationLimits::onPeerDown (Turn& turn, const InstanceName& instance)
{
    m_homes.update (turn.now());
    giveUp (
        turn, [&] (const Question& question) { return question.m_home == instance; }, false);
}

void OrganisationLimits::onWindowEnd (Turn& turn)
{
    giveUp (
        turn,
        [now = turn.now()] (const Question& question) { return now - question.m_askedAt >= askPatience; },
        true);
}

void OrganisationLimits::onTick (Turn& turn)
{
    if (! areLimitsDeclared())
        return;

    takeVersion (turn.now());
    m_share = m_homes.reachingShare (turn.now());
    const auto before = m_homes.homes();
    m_homes.update (turn.now());

    if (before == m_homes.homes())
        return;

    forgetMoved();
    turn.emit (LogDecision { Decision::limitHomes,
                             {},
                             { { "homes", fmt::format ("{}", fmt::join (m_homes.homes(), ",")) },
                               { "nodes", detail::number (m_peers.size()) },
                               { "share", fmt::format ("{:.2f}", m_share) } } });
}

/** What another home counts meanwhile is not known here: an organisation that comes back begins anew. */
void OrganisationLimits::forgetMoved()
{
    std::erase_if (m_counted, [this] (const auto& entry) {
        const auto* home = m_homes.of (entry.first);
        return home != nullptr && home->m_member.m_id.m_instance != m_peers.self();
    });
}

/** Organisations come and go with versions: what is counted of others would be kept for ever. */
void OrganisationLimits::takeVersion (Time now)
{
    std::erase_if (m_earlier, [now] (const auto& entry) { return entry.second.m_until <= now; });

    if (std::exchange (m_version, m_routes.version()) == m_routes.version())
        return;

    noteLowered (now);
    const auto& declared = m_routes.table().organisations();
    const auto isUndeclared = [&] (const auto& entry) { return declared.find (entry.first) == nullptr; };
    std::erase_if (m_counted, isUndeclared);
    std::erase_if (m_own, isUndeclared);
    std::erase_if (m_counts, isUndeclared);
    std::erase_if (m_earlier, isUndeclared);
}

void OrganisationLimits::noteLowered (Time now)
{
    const auto before = std::exchange (m_limits, {});

    for (const auto& organisation : m_routes.table().organisations().all())
    {
        if (! organisation.m_limit.has_value())
            continue;

        const auto& limit = m_limits[organisation.m_name] = *organisation.m_limit;
        const auto known = before.find (organisation.m_name);

        if (known != before.end() && limit.m_perSecond < known->second.m_perSecond)
            m_earlier.try_emplace (organisation.m_name,
                                   EarlierLimit { known->second, now + m_settings.m_limitWindow });
    }
}

std::vector<const Peer*> OrganisationLimits::due (Time now) const
{
    return areLimitsDeclared() ? m_homes.due (now) : std::vector<const Peer*> {};
}

void OrganisationLimits::onPause (Time now) noexcept
{
    for (auto& [number, question] : m_questions)
        question.m_askedAt = now;
}

} // namespace plankledge
