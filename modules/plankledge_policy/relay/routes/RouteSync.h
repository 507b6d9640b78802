#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/routes/RouteTable.h"

#include <functional>
#include <optional>

namespace plankledge
{

//==============================================================================
/**
    Keeps the newest known version of the routes in force.

    Routes are read from the store and pulled from peers that have a higher version.
    The version never decreases while the process runs.
*/
class RouteSync
{
public:
    //==============================================================================
    /** @param onInForce   called after a new version was put in force */
    RouteSync (RouteTableParser parser, std::function<void()> onInForce);

    /** Parses the text of a version and puts it in force if it is newer.

        @param source   written to the log: "store" or a peer's instance name
        @returns the version of the text; nullopt if it is invalid
    */
    std::optional<ConfigurationVersion> onText (Turn& turn, const std::string& text,
                                                const std::string& source);

    /** Pulls the routes from the peer if its version is newer. */
    void onPeerVersion (Turn& turn, const InstanceName& peer, const Endpoint& endpoint,
                        ConfigurationVersion version);

    /** Replies with the routes if they are newer than the peer's. */
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
    Time m_requestedAt;
    ConfigurationVersion m_requestedVersion = 0;
};

} // namespace plankledge
