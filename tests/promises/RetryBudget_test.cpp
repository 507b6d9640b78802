/*  Promise 4: the retries of one request are bounded across its whole call chain, counted at the targets.
   Runs chains of reducers in virtual time that lose answers at every hop. */

#include "support/Rig.h"
#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

/** A chain or tree of services with three instances each, and the failure rate at every hop. */
struct Row
{
    std::string m_name;
    int m_depth;
    int m_fanOut; /**< nested calls of each run */
    unsigned m_budget;
    unsigned m_brokenPercent; /**< share of runs whose connection breaks before the answer */
    std::uint32_t m_attempts; /**< by the caller, including the first */
};

const Row rows[] = {
    { "depth 3, every run fails", 3, 1, 3, 100, 1 },
    { "depth 8, every run fails", 8, 1, 3, 100, 1 },
    { "depth 18, every run fails", 18, 1, 3, 100, 1 },
    { "depth 18, half fail", 18, 1, 5, 50, 1 },
    { "depth 18, a tenth fail, large budget", 18, 1, 20, 10, 1 },
    { "fan-out of 3, depth 4, half fail", 4, 3, 6, 50, 1 },
    { "no budget", 8, 1, 0, 50, 1 },
    { "a caller that makes four attempts", 8, 1, 2, 50, 4 },
};

std::string serviceAt (int depth)
{
    return fmt::format ("s{}", depth);
}

std::string declarationsFor (const Row& row)
{
    std::string services;

    for (int depth = 0; depth < row.m_depth; ++depth)
        services += fmt::format (R"({}"{}":{{"slots":100,"operations":{{"work":
            {{"class":"normal","repeatable":true,"longest_wait_ms":20000,"retry_budget":{}}}}}}})",
                                 depth > 0 ? "," : "", serviceAt (depth), row.m_budget);

    return fmt::format (R"({{"services":{{{}}}}})", services);
}

/** Simulates targets that call the next service and answer once these calls have ended. */
class Chain
{
public:
    explicit Chain (const Row& row)
        : m_row (row)
        , m_rig (11)
    {
        m_rig.declare (declarationsFor (row));

        for (int depth = 0; depth < row.m_depth; ++depth)
            for (const auto* suffix : { "a", "b", "c" })
                m_rig.add (serviceAt (depth) + suffix, serviceAt (depth));

        m_rig.m_onDispatch = [this] (const InstanceName& instance, const DispatchToTarget& dispatch) {
            onDispatch (instance, dispatch);
        };
        m_rig.m_targetStatus = [this] (const auto&, const auto&) {
            const bool breaks = m_rig.random().below (100) < m_row.m_brokenPercent;
            return breaks ? std::nullopt : std::optional<std::uint16_t> (200);
        };

        // Deep targets answer first.
        m_rig.m_serviceTime = [this] (const InstanceName& instance, const auto&) {
            return Duration (Milliseconds (10 + 40 * (m_row.m_depth - depthOf (instance))));
        };
        m_rig.run (std::chrono::seconds (5));
    }

    void runAttempt (std::uint32_t attempt)
    {
        auto request = makeRepeatable (serviceAt (0), "work");
        request.m_idempotency.m_attempt = attempt;
        m_ticket = m_rig.request ("s0a", request);
        m_rig.run (std::chrono::seconds (25));
    }

    std::uint64_t retries() const
    {
        std::uint64_t total = 0;

        for (const auto& instance : m_rig.instances())
            for (const auto count : const_cast<Rig&> (m_rig).reducer (instance).counters().m_retries.m_values)
                total += count;

        return total;
    }

    std::size_t runs() const { return m_rig.runs().size(); }

    /** @returns the root requests and the nested calls of all runs, without retries */
    std::size_t calls() const { return m_calls; }

    void countRootCall() { ++m_calls; }
    bool isAnswered() const { return m_rig.answer (m_ticket) != nullptr; }

private:
    static int depthOf (const InstanceName& instance) { return std::stoi (instance.substr (1)); }

    void onDispatch (const InstanceName& instance, const DispatchToTarget& dispatch)
    {
        const auto next = depthOf (instance) + 1;

        if (next >= m_row.m_depth)
            return;

        for (int call = 0; call < m_row.m_fanOut; ++call)
        {
            auto request = makeRepeatable (serviceAt (next), "work");
            request.m_isOutbound = true;
            request.m_parent = dispatch.m_requestId;
            m_rig.request (instance, request);
            ++m_calls;
        }
    }

    const Row& m_row;
    Rig m_rig;
    Ticket m_ticket = 0;
    std::size_t m_calls = 0;
};

} // namespace

//==============================================================================
TEST_CASE ("retries over the whole chain stay within the budget of the root request")
{
    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        Chain chain (row);
        std::uint64_t allowedRetries = 0;

        for (std::uint32_t attempt = 1; attempt <= row.m_attempts; ++attempt)
        {
            chain.countRootCall();
            chain.runAttempt (attempt);
            CHECK (chain.isAnswered());

            // Each retry by the caller consumes one of the budget of its root request.
            allowedRetries += row.m_budget > attempt - 1 ? row.m_budget - (attempt - 1) : 0;
        }

        const auto extraRuns = chain.runs() > chain.calls() ? chain.runs() - chain.calls() : 0;
        MESSAGE (fmt::format ("{}: {} calls, {} runs at targets, {} retries, {} allowed", row.m_name,
                              chain.calls(), chain.runs(), chain.retries(), allowedRetries));
        CHECK (chain.retries() <= allowedRetries);
        CHECK (extraRuns <= allowedRetries);

        if (row.m_budget > 0 && row.m_brokenPercent >= 50)
            CHECK (chain.retries() > 0);
    }
}

} // namespace plankledge::test
