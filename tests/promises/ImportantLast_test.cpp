/*  Promise 5: under overload, critical operations (lodgements, corrections, reservations and deposits) are
   shed last. Runs reducers in virtual time at up to several times their capacity. */

#include "support/Rig.h"
#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

constexpr const char* declarations = R"({"services":{
    "front":{"slots":20,"queue_length":40,"operations":{
        "lodge":{"class":"critical","repeatable":true,"longest_wait_ms":600,"retry_budget":0},
        "search":{"class":"normal","repeatable":true,"longest_wait_ms":600,"retry_budget":0},
        "browse":{"class":"low","repeatable":true,"longest_wait_ms":3000,"retry_budget":0}}},
    "deep":{"slots":10,"queue_length":20,"operations":{
        "work":{"class":"normal","repeatable":true,"longest_wait_ms":600,"retry_budget":0}}}}})";

/** Offered load of each class, in percent of capacity. */
struct Row
{
    std::string m_name;
    unsigned m_critical;
    unsigned m_normal;
    unsigned m_low;
    bool m_hasDeepCalls;
};

const Row rows[] = {
    { "normal requests alone exceed capacity", 50, 300, 100, false },
    { "low requests far exceed capacity", 50, 50, 800, false },
    { "critical requests alone exceed capacity", 200, 200, 200, false },
    { "critical requests alone nearly reach capacity", 95, 300, 0, false },
    { "the deep service is the bottleneck", 30, 300, 100, true },
};

bool isCapacityRefusal (Reason reason)
{
    return reason == Reason::overloaded || reason == Reason::queueFull ||
           reason == Reason::wouldMissDeadline || reason == Reason::overloadedDownstream;
}

/** Simulates one overload and checks each refusal when it is issued. */
class OverloadSimulation
{
public:
    explicit OverloadSimulation (const Row& row)
        : m_row (row)
        , m_rig (3)
    {
        m_rig.declare (declarations);
        m_rig.add ("front-1", "front");
        m_rig.add ("deep-1", "deep");
        m_rig.m_serviceTime = [] (const auto&, const auto&) { return Duration (Milliseconds (50)); };
        m_rig.m_onDispatch = [this] (const auto& instance, const auto& dispatch) {
            onDispatch (instance, dispatch);
        };
        m_rig.m_onEffect = [this] (const auto& instance, const auto& effect) { onEffect (instance, effect); };
        m_rig.run (std::chrono::seconds (5));
    }

    void run()
    {
        const auto capacity = 20.0 / 0.050; // requests per second

        for (int step = 0; step < 8000; ++step)
        {
            offer ("lodge", capacity * m_row.m_critical / 100.0);
            offer ("search", capacity * m_row.m_normal / 100.0);
            offer ("browse", capacity * m_row.m_low / 100.0);
            m_rig.run (Milliseconds (1));
        }

        m_rig.run (std::chrono::seconds (4));
    }

    /** Completed and sent requests, by operation. */
    std::map<std::string, std::pair<int, int>> m_completedByOperation;

    int m_criticalRefusals = 0;
    int m_priorityInversions = 0;

    void countCompleted()
    {
        for (const auto& [ticket, operation] : m_sent)
        {
            const auto* answer = m_rig.answer (ticket);
            auto& [completed, sent] = m_completedByOperation[operation];
            ++sent;
            completed += answer != nullptr && answer->m_result.m_outcome == Outcome::completed ? 1 : 0;
        }
    }

private:
    void offer (const OperationName& operation, double requestsPerSecond)
    {
        if (m_rig.random().below (1000000) < static_cast<std::uint64_t> (requestsPerSecond * 1000.0))
            m_sent[m_rig.request ("front-1", makeRepeatable ("front", operation))] = operation;
    }

    void onDispatch (const InstanceName& instance, const DispatchToTarget& dispatch)
    {
        if (! m_row.m_hasDeepCalls || instance != "front-1")
            return;

        auto request = makeRepeatable ("deep", "work");
        request.m_isOutbound = true;
        request.m_parent = dispatch.m_requestId;
        m_rig.request (instance, request);
    }

    /** Checks that a node that refuses a critical request admits no requests of lower classes. */
    void onEffect (const InstanceName& instance, const Effect& effect)
    {
        const auto* answer = std::get_if<AnswerRequest> (&effect);

        if (answer == nullptr || instance != "front-1" || ! m_sent.contains (answer->m_ticket))
            return;

        const auto& result = answer->m_result;

        if (m_sent.at (answer->m_ticket) != "lodge" || ! isCapacityRefusal (result.m_reason))
            return;

        ++m_criticalRefusals;
        const auto threshold = m_rig.reducer (instance).inbound().admission().threshold();

        if (result.m_reason != Reason::overloadedDownstream && threshold > cohortsPerClass)
            ++m_priorityInversions;
    }

    const Row& m_row;
    Rig m_rig;
    std::map<Ticket, OperationName> m_sent;
};

} // namespace

//==============================================================================
TEST_CASE ("no critical request is refused while requests of lower classes are admitted")
{
    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        OverloadSimulation simulation (row);
        simulation.run();
        simulation.countCompleted();
        std::string text;

        for (const auto& [operation, counts] : simulation.m_completedByOperation)
            text += fmt::format (" {} {}/{}", operation, counts.first, counts.second);

        MESSAGE (
            fmt::format ("{}:{}, critical refusals {}", row.m_name, text, simulation.m_criticalRefusals));
        CHECK (simulation.m_priorityInversions == 0);

        // Critical requests within capacity complete, whatever the load of the lower classes.
        if (row.m_critical <= 95)
        {
            const auto [completed, sent] = simulation.m_completedByOperation["lodge"];
            CHECK (completed >= sent * 97 / 100);
        }
    }
}

TEST_CASE ("a full queue evicts less important calls, regardless of arrival order")
{
    AdmissionQueue queue;
    const Rank critical = 5;
    const Rank normal = cohortsPerClass * 2 + 5;
    const Rank low = cohortsPerClass * 3 + 5;
    queue.push ({ 1, low, false });
    queue.push ({ 2, normal, false });
    queue.push ({ 3, critical, false });
    queue.push ({ 4, normal, true });

    CHECK (queue.evictFor (critical)->m_call == 1); // the least important
    CHECK (queue.evictFor (critical)->m_call == 2); // new calls before nested ones
    CHECK (queue.pop() == 3);
    CHECK (queue.evictFor (critical)->m_call == 4);
    CHECK_FALSE (queue.evictFor (low).has_value());

    queue.push ({ 5, critical, false });
    CHECK_FALSE (queue.evictFor (normal).has_value()); // never in favour of a less important call
}

TEST_CASE ("nested calls inherit the rank of the root request")
{
    Rig rig (5);
    rig.declare (declarations);
    rig.add ("front-1", "front");
    rig.add ("deep-1", "deep");
    std::vector<Rank> ranks;
    rig.m_onDispatch = [&] (const InstanceName& instance, const DispatchToTarget& dispatch) {
        if (instance != "front-1")
            return;

        auto request = makeRepeatable ("deep", "work");
        request.m_isOutbound = true;
        request.m_parent = dispatch.m_requestId;
        rig.request (instance, request);
    };
    rig.m_onEffect = [&] (const InstanceName&, const Effect& effect) {
        if (const auto* sent = std::get_if<SendToPeer> (&effect))
            if (const auto* call = std::get_if<CallRequest> (&sent->m_message))
                ranks.push_back (call->m_rank);
    };
    rig.run (std::chrono::seconds (5));
    rig.request ("front-1", makeRepeatable ("front", "lodge"));
    rig.run (std::chrono::seconds (1));
    REQUIRE (ranks.size() == 1);

    // Still critical at "deep", although its own operation is of class normal.
    CHECK (ranks.front() < cohortsPerClass);
}

} // namespace plankledge::test
