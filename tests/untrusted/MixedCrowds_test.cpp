/*  Crowds of all shapes at random ports, at the same time, while nodes are stopped, killed and started again.
   The environment variable CROWD_SEED fixes what is drawn. */

#include "plankledge_core/Random.h"
#include "untrusted/CrowdShapes.h"

#include <cstdlib>
#include <deque>
#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

constexpr int rounds = 24;

/** Crowds that are connected at the same time. */
constexpr std::size_t maxCrowds = 4;

constexpr std::size_t maxCrowdSize = 60;

/** Connections of a crowd that sends without end. */
constexpr std::size_t maxEndlessCrowdSize = 8;

std::uint64_t seedFromEnvironment()
{
    const char* seed = std::getenv ("CROWD_SEED");
    return seed != nullptr ? std::strtoull (seed, nullptr, 10) : 1;
}

//==============================================================================
/** Draws crowds and what happens to them and to the nodes. */
class MixedCrowds
{
public:
    explicit MixedCrowds (std::uint64_t seed)
        : m_random (seed)
    {
    }

    void run()
    {
        for (int round = 0; round < rounds; ++round)
        {
            if (m_crowds.size() == maxCrowds)
                endCrowd();

            addCrowd();
            m_scenario.runUntil ([] { return false; }, Milliseconds (100 + below (700)));

            if (below (8) == 0)
                m_scenario.restart (below (2) == 0 ? m_scenario.entry() : m_scenario.gate(), below (2) == 0);
        }

        CHECK (areNodesServing());
        m_crowds.clear();
        CHECK (areNodesServing());
        m_scenario.checkMachines();
    }

private:
    std::size_t below (std::size_t bound) { return m_random.below (bound); }

    bool areNodesServing()
    {
        return m_scenario.isServing (m_scenario.entry()) && m_scenario.isServing (m_scenario.gate());
    }

    void endCrowd()
    {
        if (below (2) == 0)
            m_crowds.front()->reset();

        m_crowds.pop_front();
    }

    void addCrowd()
    {
        auto& node = below (3) == 0 ? m_scenario.gate() : m_scenario.entry();
        const bool isEndless = below (4) == 0;
        const auto size = 1 + below (isEndless ? maxEndlessCrowdSize : maxCrowdSize);

        if (below (6) == 0)
            return add (node.peers(), size, unfinishedFrame());

        const std::vector<Endpoint> ports { node.outbound(), node.outbound(), node.outbound(),
                                            node.control(),  node.ready(),    node.metrics() };
        add (ports[below (ports.size())], size, isEndless ? endlessShape() : shape());
    }

    void add (const Endpoint& server, std::size_t size, CrowdShape shape)
    {
        shape.m_readsAnswers = below (4) != 0;
        m_crowds.push_back (std::make_unique<Crowd> (m_scenario.context(), server, size, std::move (shape)));
    }

    CrowdShape endlessShape()
    {
        switch (below (3))
        {
        case 0:
            return endlessTrailers (chunkedHead());
        case 1:
            return endlessExtension (chunkedHead());
        default:
            return { chunkedHead(), chunk (1 + below (largeChunk)), 1 + below (512), {} };
        }
    }

    CrowdShape shape()
    {
        switch (below (7))
        {
        case 0:
            return {};
        case 1:
            return { CrowdScenario::makeHead ("POST", "/read/x"), {}, 0, {} };
        case 2:
            return { headWithLength (1 + below (1U << 30U)), {}, 0, std::string (below (largeChunk), 'b') };
        case 3:
            return bodyWithLength (below (3));
        case 4:
            return unfinishedChunks (chunkedHead(), 1 + below (largeChunk));
        case 5:
            return { CrowdScenario::makeHead ("GET", "/read/large") + "\r\n", {}, 0, {} };
        default:
            return { CrowdScenario::makeHead ("GET", "/read/endless") + "\r\n", {}, 0, {} };
        }
    }

    Random m_random;
    CrowdScenario m_scenario { { 64, 400 } };
    std::deque<std::unique_ptr<Crowd>> m_crowds;
};

} // namespace

//==============================================================================
TEST_CASE ("crowds of all shapes at the same time")
{
    const auto seed = seedFromEnvironment();
    MESSAGE ("CROWD_SEED=", seed);
    MixedCrowds (seed).run();
}

} // namespace plankledge::test
