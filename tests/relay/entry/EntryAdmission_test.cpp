#include "plankledge_policy/relay/entry/EntryAdmission.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

constexpr Duration timeout = std::chrono::seconds (5);

Route routeTo (const RouteName& name, const ServiceName& service, std::uint32_t priority)
{
    Route route;
    route.m_name = name;
    route.m_priority = priority;
    route.m_services = { { service, 1 } };
    return route;
}

Member memberOf (const InstanceName& instance, const ServiceName& service)
{
    Member member;
    member.m_id.m_instance = instance;
    member.m_service = service;
    return member;
}

/** An entry node that knows one target of "archive", with service times of 480 ms for "log" and "urgent" and
   30 ms for "fetch". Each "status" request to another service makes four "fetch" calls. */
struct EntryNode
{
    explicit EntryNode (std::uint16_t levelPermille)
        : m_peers (memberOf ("entry", "web"))
    {
        m_peers.addOrUpdate (memberOf ("one", "archive"), PeerTable::Source::itself);
        m_peers.find ("one")->m_isReachable = true;
        m_peers.onGate ("one", { true, 20, 0, {}, 0, levelPermille }, {});
        m_peers.onRouteTime ("one", { "log", Milliseconds (480) });
        m_peers.onRouteTime ("one", { "urgent", Milliseconds (480) });
        m_peers.onRouteTime ("one", { "fetch", Milliseconds (30) });
        m_calls.setPeerEdges ("two", { { "status", "fetch", "archive", 4000 } });

        RouteTable::Hosts hosts;
        hosts["host"] = { { "/urgent/", routeTo ("urgent", "archive", 0) },
                          { "/log/", routeTo ("log", "archive", 1) },
                          { "/status/", routeTo ("status", "portal", 1) } };
        m_routes = RouteTable (1, hosts);
    }

    /** Decides on 6000 requests: one sixth for "/log/", one sixth for "/urgent/" and the rest for "/status/".

        @returns the admitted share of requests, by path
    */
    std::map<std::string, double> admitted()
    {
        std::map<std::string, double> admitted;
        std::map<std::string, double> sent;

        for (int index = 0; index < 6000; ++index)
        {
            const std::string path = index % 6 == 0 ? "/log/" : index % 6 == 1 ? "/urgent/" : "/status/";
            const auto* route = m_routes.find ("host", path);
            const auto decision = m_admission.decide (*route, route->m_services.front().m_service, timeout,
                                                      m_routes, m_peers, m_calls, m_random);
            sent[path] += 1.0;
            admitted[path] += decision.m_refusal.has_value() ? 0.0 : 1.0;
        }

        for (auto& [path, count] : admitted)
            count /= sent[path];

        return admitted;
    }

    PeerTable m_peers;
    CallGraph m_calls;
    RouteTable m_routes;
    EntryAdmission m_admission;
    Random m_random { 7 };
};

} // namespace

//==============================================================================
TEST_CASE ("all requests are admitted at the highest admission level")
{
    for (const auto& [path, share] : EntryNode (1000).admitted())
        CHECK (share == 1.0);
}

TEST_CASE ("within a priority, requests that are expensive for the bottleneck are shed first, up to a bound")
{
    // Admits all of the first priority and a quarter of the second; first attempts draw from the lower half
    // of the ranks.
    auto admitted = EntryNode (625).admitted();
    CHECK (admitted["/urgent/"] == 1.0);
    CHECK (admitted["/status/"] > 0.5);
    CHECK (admitted["/log/"] < admitted["/status/"] * 0.8);
    CHECK (admitted["/log/"] > admitted["/status/"] * 0.6);
}

TEST_CASE ("where the highest priority saturates a service, lower priorities are admitted about a "
           "quarter as often")
{
    for (const std::uint16_t level : { 150, 200, 300 })
    {
        CAPTURE (level);
        auto admitted = EntryNode (level).admitted();
        CHECK (admitted["/urgent/"] > 0.5);
        CHECK (admitted["/log/"] < admitted["/urgent/"] * 0.3);
        CHECK (admitted["/status/"] < admitted["/urgent/"] * 0.3);
        CHECK (admitted["/log/"] > admitted["/urgent/"] * 0.15);
        CHECK (admitted["/status/"] > admitted["/urgent/"] * 0.2);
    }
}

TEST_CASE ("client retries are never promoted to a higher priority")
{
    EntryNode entry (300);
    const auto& route = *entry.m_routes.find ("host", "/status/");
    const auto decide = [&] (Duration left) {
        return entry.m_admission.decide (route, "portal", left, entry.m_routes, entry.m_peers, entry.m_calls,
                                         entry.m_random);
    };

    (void)decide (timeout);

    for (int index = 0; index < 1000; ++index)
        CHECK (decide (timeout / 2).m_priority == route.m_priority);
}

} // namespace plankledge::test
