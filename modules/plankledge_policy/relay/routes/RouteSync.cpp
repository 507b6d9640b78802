#include "plankledge_policy/relay/routes/RouteSync.h"

#include <fmt/format.h>

namespace plankledge
{

namespace
{

/** After this time an unanswered pull is sent to the next peer that reports the version. */
constexpr Duration pullTimeout = Milliseconds (200);

} // namespace

//==============================================================================
RouteSync::RouteSync (RouteTableParser parser, std::function<void()> onInForce)
    : m_parser (std::move (parser))
    , m_onInForce (std::move (onInForce))
{
}

std::optional<ConfigurationVersion> RouteSync::onText (Turn& turn, const std::string& text,
                                                       const std::string& source)
{
    if (text == m_text)
        return version();

    auto table = m_parser (text);

    if (! table.ok())
    {
        ++turn.counters().m_invalidConfigurations;
        turn.emit (
            LogDecision { Decision::routesInvalid,
                          {},
                          { { "source", source }, { "error", std::string (table.status().message()) } } });
        return std::nullopt;
    }

    if (table->version() <= version())
        return table->version();

    turn.emit (LogDecision { Decision::routesInForce,
                             {},
                             { { "version", fmt::format ("{}", table->version()) },
                               { "before", fmt::format ("{}", version()) },
                               { "source", source } } });
    m_table = *std::move (table);
    m_text = text;
    m_onInForce();
    return version();
}

void RouteSync::onPeerVersion (Turn& turn, const InstanceName& peer, const Endpoint& endpoint,
                               ConfigurationVersion peerVersion)
{
    if (peerVersion <= version())
        return;

    if (m_requestedVersion >= peerVersion && turn.now() - m_requestedAt < pullTimeout)
        return;

    m_requestedVersion = peerVersion;
    m_requestedAt = turn.now();
    turn.emit (SendToPeer { peer, endpoint, RoutesPull { version() } });
}

void RouteSync::onPull (Turn& turn, LinkId link, const InstanceName& peer, const RoutesPull& pull) const
{
    if (version() > pull.m_knownState)
        turn.emit (ReplyOnLink { link, peer, RoutesText { m_text } });
}

} // namespace plankledge
