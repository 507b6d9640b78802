#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/routes/RouteTable.h"

#include <functional>
#include <optional>

namespace plankledge
{

//==============================================================================
/**
    Keeps the newest routes in force.

    They come from the store or, where that can't be reached, from any peer that has a
    higher version. Within one life of the node the version never falls.
*/
class RouteFollower
{
public:
    //==============================================================================
    /** @param onInForce   called after another version is in force */
    RouteFollower (RouteTableParser parser, std::function<void()> onInForce);

    /** Takes in the text of a version, whoever had it.

        @param source   for the log: "store" or a peer's instance
        @returns the version that it is; nullopt: it can't be read
    */
    std::optional<ConfigurationVersion> onText (Turn& turn, const std::string& text,
                                                const std::string& source);

    /** A peer said which version it has in force. */
    void onPeerVersion (Turn& turn, const InstanceName& peer, const Endpoint& endpoint,
                        ConfigurationVersion version);

    /** A peer asks for routes that are newer than its own. */
    void onPull (Turn& turn, LinkId link, const InstanceName& peer, const RoutesPull& pull) const;

    ConfigurationVersion version() const noexcept { return m_table.version(); }
    const RouteTable& table() const noexcept { return m_table; }
    bool isKnown() const noexcept { return version() > 0; }

private:
    //==============================================================================
    RouteTableParser m_parser;
    std::function<void()> m_onInForce;
    RouteTable m_table;
    std::string m_text;
    Time m_pulledAt;
    ConfigurationVersion m_pulledVersion = 0;
};

} // namespace plankledge
