#include "plankledge_policy/relay/entry/EntryAdmission.h"
#include "plankledge_policy/relay/entry/EntryLog.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <tuple>

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
            const auto decision =
                m_admission.decide ({ *route, route->m_services.front().m_service, timeout, false, Time {} },
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
        const ServiceName portal = "portal";
        return entry.m_admission.decide ({ route, portal, left, false, Time {} }, entry.m_routes,
                                         entry.m_peers, entry.m_calls, entry.m_random);
    };

    (void)decide (timeout);

    for (int index = 0; index < 1000; ++index)
        CHECK (decide (timeout / 2).m_priority == route.m_priority);
}

//==============================================================================
namespace
{

using Decisions = std::vector<EntryAdmission::AdmissionDecision>;

/** Four more targets of "archive" that admit all requests and use half of their slots, and one of "portal".

    @param portalPermille   level of the target of "portal", which uses a quarter of its slots
*/
void addTargets (EntryNode& entry, std::uint16_t portalPermille)
{
    for (const InstanceName name : { "half-1", "half-2", "half-3", "half-4" })
    {
        entry.m_peers.addOrUpdate (memberOf (name, "archive"), PeerTable::Source::itself);
        entry.m_peers.find (name)->m_isReachable = true;
        entry.m_peers.onGate (name, { true, 20, 10, {}, 0, 1000 }, {});
    }

    entry.m_peers.addOrUpdate (memberOf ("portal", "portal"), PeerTable::Source::itself);
    entry.m_peers.find ("portal")->m_isReachable = true;
    entry.m_peers.onGate ("portal", { true, 20, 5, {}, 0, portalPermille }, {});
    entry.m_peers.onRouteTime ("portal", { "status", Milliseconds (200) });
    entry.m_peers.onGate ("one", { true, 20, 20, {}, 0, 500 }, {});
}

/** Decides on 6000 requests for three routes in turn. A third of them, spread over all routes, are client
    retries.

    @param isTolerant   whether the routes with these names are latency-tolerant
    @returns the decisions by route
*/
std::map<RouteName, Decisions> decide (EntryNode& entry,
                                       const std::function<bool (const RouteName&)>& isTolerant)
{
    std::map<RouteName, Decisions> decisions;

    for (int index = 0; index < 6000; ++index)
    {
        const std::string path = index % 3 == 0 ? "/log/" : index % 3 == 1 ? "/urgent/" : "/status/";
        const auto& route = *entry.m_routes.find ("host", path);
        const auto attemptTimeout = index / 3 % 3 == 0 ? timeout / 2 : timeout;
        decisions[route.m_name].push_back (entry.m_admission.decide (
            { route, route.m_services.front().m_service, attemptTimeout, isTolerant (route.m_name), Time {} },
            entry.m_routes, entry.m_peers, entry.m_calls, entry.m_random));
    }

    return decisions;
}

std::size_t refusedOf (const Decisions& decisions)
{
    return static_cast<std::size_t> (
        std::count_if (decisions.begin(), decisions.end(),
                       [] (const auto& decision) { return decision.m_refusal.has_value(); }));
}

bool isSame (const EntryAdmission::AdmissionDecision& one, const EntryAdmission::AdmissionDecision& other)
{
    const auto valuesOf = [] (const auto& decision) {
        const auto refusal = decision.m_refusal.value_or (EntryAdmission::Refusal());
        return std::tuple (decision.m_refusal.has_value(), decision.m_priority, refusal.m_service,
                           refusal.m_shedRank, refusal.m_level, refusal.m_room);
    };

    return valuesOf (one) == valuesOf (other);
}

bool all (const RouteName&)
{
    return true;
}
bool none (const RouteName&)
{
    return false;
}

} // namespace

// Guards against refusals for a full target while four others use half of their slots.
TEST_CASE ("with one of five targets full and four at half, at most 1 % of tolerant requests are refused")
{
    EntryNode entry (1000);
    addTargets (entry, 1000);
    const auto byMean = decide (entry, none);
    const auto byRoom = decide (entry, all);

    for (const auto& [route, decisions] : byRoom)
    {
        MESSAGE ("refused of ", decisions.size(), " for ", route, ": by the mean ",
                 refusedOf (byMean.at (route)), ", by the level of the service ", refusedOf (decisions));
        CHECK (refusedOf (decisions) <= decisions.size() / 100);
    }

    CHECK (refusedOf (byMean.at ("log")) > 0);
}

// Guards against a tolerant request that is admitted although a service that its calls reach has no free
// slot.
TEST_CASE ("the service with the lowest level decides on tolerant requests")
{
    EntryNode entry (300);
    entry.m_peers.onGate ("one", { true, 20, 20, {}, 0, 300 }, {});
    auto decisions = decide (entry, all);
    CHECK (refusedOf (decisions["status"]) > decisions["status"].size() / 2);

    for (const auto& decision : decisions["status"])
    {
        if (! decision.m_refusal.has_value())
            continue;

        CHECK (decision.m_refusal->m_service == "archive");
        CHECK (decision.m_refusal->m_level == doctest::Approx (0.3));
        CHECK (! decision.m_refusal->isWithRoom());
    }
}

// Guards against tolerant requests that change what is decided on others, by the random numbers that they
// draw or by the mean costs that they are compared with.
TEST_CASE ("routes that are not tolerant are decided as without tolerant routes")
{
    for (const std::uint16_t portalLevel : { 200, 600, 800, 950 })
    {
        CAPTURE (portalLevel);
        EntryNode without (1000);
        EntryNode with (1000);
        addTargets (without, portalLevel);
        addTargets (with, portalLevel);
        auto expected = decide (without, none);
        auto actual = decide (with, [] (const RouteName& route) { return route == "status"; });

        for (const RouteName route : { "log", "urgent" })
        {
            REQUIRE (actual[route].size() == expected[route].size());

            for (std::size_t index = 0; index < expected[route].size(); ++index)
                REQUIRE (isSame (actual[route][index], expected[route][index]));
        }
    }
}

// The counts are those of the mean level alone, before latency-tolerant routes were known. Guards against a
// change of the decisions on other routes.
TEST_CASE ("the decisions on routes that are not tolerant follow from the mean level")
{
    struct Expectation
    {
        std::uint16_t m_portalLevel = 0;
        std::size_t m_log = 0;
        std::size_t m_urgent = 0;
        std::size_t m_status = 0;
    };

    for (const auto& expected : { Expectation { 200, 277, 0, 1728 },
                                  { 600, 277, 0, 1261 },
                                  { 800, 277, 0, 540 },
                                  { 950, 358, 0, 183 } })
    {
        CAPTURE (expected.m_portalLevel);
        EntryNode entry (1000);
        addTargets (entry, expected.m_portalLevel);
        auto decisions = decide (entry, none);
        CHECK (refusedOf (decisions["log"]) == expected.m_log);
        CHECK (refusedOf (decisions["urgent"]) == expected.m_urgent);
        CHECK (refusedOf (decisions["status"]) == expected.m_status);
    }
}

// Guards against an operator who sees refusals but not that slots were free.
TEST_CASE ("a refusal counts as one with room from a tenth of free slots of every service needed")
{
    struct Expectation
    {
        std::uint32_t m_load = 0;
        double m_room = 0.0;
        bool m_isWithRoom = false;
    };

    for (const auto& expected : { Expectation { 0, 1.0, true },
                                  { 18, 0.1, true },
                                  { 19, 0.05, false },
                                  { 20, 0.0, false },
                                  { 60, 0.0, false } })
    {
        CAPTURE (expected.m_load);
        EntryNode entry (100);
        entry.m_peers.onGate ("one", { true, 20, expected.m_load, {}, 0, 100 }, {});
        auto decisions = decide (entry, none);
        const auto refused =
            std::find_if (decisions["log"].begin(), decisions["log"].end(),
                          [] (const auto& decision) { return decision.m_refusal.has_value(); });
        REQUIRE (refused != decisions["log"].end());
        CHECK (refused->m_refusal->m_room == doctest::Approx (expected.m_room));
        CHECK (refused->m_refusal->isWithRoom() == expected.m_isWithRoom);
    }
}

// Guards against refusals that count as ones with room because just one of the services needed has free
// slots.
TEST_CASE ("the room of a refusal is the smallest one of the services that the request needs")
{
    struct Expectation
    {
        std::uint32_t m_portalLoad = 0;
        std::uint32_t m_archiveLoad = 0;
        double m_room = 0.0;
    };

    for (const auto& expected :
         { Expectation { 20, 0, 0.0 }, { 0, 20, 0.0 }, { 5, 10, 0.5 }, { 10, 5, 0.5 } })
    {
        CAPTURE (expected.m_portalLoad);
        CAPTURE (expected.m_archiveLoad);
        EntryNode entry (100);
        addTargets (entry, 1000);

        for (const InstanceName name : { "half-1", "half-2", "half-3", "half-4" })
            entry.m_peers.onUnreachable (name);

        entry.m_peers.onGate ("one", { true, 20, expected.m_archiveLoad, {}, 0, 100 }, {});
        entry.m_peers.onGate ("portal", { true, 20, expected.m_portalLoad, {}, 0, 1000 }, {});
        auto decisions = decide (entry, none);
        CHECK (refusedOf (decisions["status"]) > 0);

        for (const auto& decision : decisions["status"])
            if (decision.m_refusal.has_value())
                CHECK (decision.m_refusal->m_room == doctest::Approx (expected.m_room));
    }
}

// Guards against a log line from which an operator can't tell whether slots were free.
TEST_CASE ("the log line of a refusal states the room")
{
    const auto line = detail::logOverloadedDownstream ({}, { "archive", 0.9, 0.8, 0.25 }, 1);
    const auto room = std::find_if (line.m_inputs.begin(), line.m_inputs.end(),
                                    [] (const auto& field) { return field.m_name == "room"; });
    REQUIRE (room != line.m_inputs.end());
    CHECK (room->m_value == "0.250");
}

} // namespace plankledge::test
