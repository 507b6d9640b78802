#include "plankledge_policy/relay/routes/CallGraph.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

TEST_CASE ("calls observed at a target are reported as edges with their mean number per request")
{
    CallGraph graph;

    for (int index = 0; index < 10; ++index)
    {
        graph.onRequest ("search");
        graph.onCall ("search", "status", "lodgement");
        graph.onCall ("search", "lookup", "corrections");
        graph.onCall ("search", "lookup", "corrections");
    }

    const std::vector<CallEdge> expected { { "search", "lookup", "corrections", 2000 },
                                           { "search", "status", "lodgement", 1000 } };
    CHECK (graph.ownEdges() == expected);
}

TEST_CASE ("routes with too few requests have no edges, and old observations decay")
{
    CallGraph graph;
    graph.onRequest ("search");
    graph.onCall ("search", "status", "lodgement");
    CHECK (graph.ownEdges().empty());

    for (int index = 0; index < 2000; ++index)
        graph.onRequest ("search");

    REQUIRE (graph.ownEdges().size() == 1);
    CHECK (graph.ownEdges()[0].m_callsPermille == 0);
}

TEST_CASE ("demand includes transitive calls and averages the edges reported by peers")
{
    CallGraph graph;
    graph.setPeerEdges ("one", { { "search", "status", "lodgement", 1000 } });
    graph.setPeerEdges ("two", { { "status", "tile", "plans", 2000 } });
    graph.setPeerEdges ("three", { { "tile", "lookup", "corrections", 4000 } });
    graph.setPeerEdges ("four", { { "tile", "lookup", "corrections", 2000 } });
    const auto demand = graph.demandOf ("search");
    CHECK (demand.at ("lodgement") == doctest::Approx (1.0));
    CHECK (demand.at ("plans") == doctest::Approx (2.0));
    CHECK (demand.at ("corrections") == doctest::Approx (6.0));
    CHECK (graph.demandOf ("unknown").empty());

    graph.removePeer ("three");
    CHECK (graph.demandOf ("search").at ("corrections") == doctest::Approx (4.0));
}

TEST_CASE ("cyclic calls terminate")
{
    CallGraph graph;
    graph.setPeerEdges ("one", { { "a", "b", "one", 1000 }, { "b", "a", "two", 1000 } });
    CHECK (graph.demandOf ("a").size() == 2);
}

} // namespace plankledge::test
