/*  CPU time per event of the reducer, by number of members and of calls in flight. */

#include "plankledge_formats/DeclarationsJson.h"
#include "plankledge_formats/PlatformJson.h"
#include "plankledge_policy/Reducer.h"
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <fmt/format.h>
#include <malloc.h>

namespace
{

using namespace plankledge;

constexpr const char* declarations = R"({"services":{"plans":{"slots":1000,"queue_length":20000,"operations":{
    "deliver":{"class":"normal","repeatable":true,"longest_wait_ms":60000,"retry_budget":2}}}}})";

/** A node that knows the given number of members, nine of them of its own service. */
class BenchmarkNode
{
public:
    explicit BenchmarkNode (std::int64_t members)
        : m_reducer (settings(), [] (const std::string& text) { return parseValidDeclarations (text); })
    {
        m_reducer.start (m_now);
        ConfigurationRecord record;
        record.m_offset = 0;
        record.m_text = declarations;
        apply (ConfigurationRead { 0, 0, 1, { record } });
        ListReceived list;

        for (std::int64_t number = 0; number < members; ++number)
            list.m_instances.push_back ({ fmt::format ("instance-{}", number),
                                          number < 9 ? "plans" : fmt::format ("service-{}", number / 9),
                                          "a",
                                          { "127.0.0.1", 7001 },
                                          false });

        apply (list);
    }

    Effects apply (EventBody body)
    {
        m_now += Duration (20);
        return m_reducer.apply ({ m_now, std::move (body) });
    }

    /** Runs one call from a peer, from its arrival to the target's answer. */
    void runInboundCall()
    {
        const auto effects = apply (PeerMessageReceived { 1, { "instance-1", 5 }, request() });

        for (const auto& effect : effects)
            if (const auto* dispatch = std::get_if<DispatchToTarget> (&effect))
                apply (TargetAnswered { dispatch->m_call, 200, "text/plain", "body" });
    }

    CallRequest request()
    {
        CallRequest call;
        call.m_callId = ++m_lastCall;
        call.m_content = { "plans", "deliver", "POST", "/plans/deliver", "text/plain", "body" };
        call.m_timeLeft = std::chrono::seconds (50);
        return call;
    }

private:
    static NodeSettings settings()
    {
        NodeSettings settings;
        settings.m_self = {
            { "instance-0", 5 }, "plans", "a", { "127.0.0.1", 7001 }, MemberState::joining, 0
        };
        return settings;
    }

    Time m_now { std::chrono::hours (1) };
    Reducer m_reducer;
    CallId m_lastCall = 0;
};

void inboundCall (benchmark::State& state)
{
    BenchmarkNode node (state.range (0));
    const auto before = mallinfo2().uordblks;

    for (auto _ : state)
        node.runInboundCall();

    state.counters["events"] =
        benchmark::Counter (static_cast<double> (state.iterations() * 2), benchmark::Counter::kIsRate);
    state.counters["kept_bytes_per_call"] =
        static_cast<double> (mallinfo2().uordblks - before) / static_cast<double> (state.iterations());
}

void inboundCallWithOthersInFlight (benchmark::State& state)
{
    BenchmarkNode node (830);

    for (std::int64_t number = 0; number < state.range (0); ++number)
        (void)node.apply (PeerMessageReceived { 1, { "instance-1", 5 }, node.request() });

    for (auto _ : state)
        node.runInboundCall();
}

void outgoingCall (benchmark::State& state)
{
    BenchmarkNode node (state.range (0));
    Ticket ticket = 0;

    for (auto _ : state)
    {
        RequestReceived request;
        request.m_ticket = ++ticket;
        request.m_content = node.request().m_content;
        const auto effects = node.apply (request);

        for (const auto& effect : effects)
        {
            if (const auto* sent = std::get_if<SendToPeer> (&effect))
            {
                if (const auto* call = std::get_if<CallRequest> (&sent->m_message))
                {
                    CallAnswer answer;
                    answer.m_callId = call->m_callId;
                    answer.m_result = {
                        Outcome::completed, Reason::none, 200, "text/plain", "body", {}, false
                    };
                    (void)node.apply (PeerMessageReceived { 0, { sent->m_instance, 5 }, answer });
                }
            }
            else if (const auto* dispatch = std::get_if<DispatchToTarget> (&effect))
            {
                (void)node.apply (TargetAnswered { dispatch->m_call, 200, "text/plain", "body" });
            }
        }
    }
}

void gossipMessage (benchmark::State& state)
{
    BenchmarkNode node (state.range (0));
    GossipMessage message;
    message.m_sender = { { "instance-7", 5 }, "plans", "a", { "127.0.0.1", 7001 }, MemberState::serving, 1 };

    for (auto _ : state)
        benchmark::DoNotOptimize (node.apply (GossipReceived { message }));
}

void fullInstanceList (benchmark::State& state)
{
    BenchmarkNode node (state.range (0));
    ListReceived list;

    for (std::int64_t number = 0; number < state.range (0); ++number)
        list.m_instances.push_back (
            { fmt::format ("instance-{}", number), "plans", "a", { "127.0.0.1", 7001 }, false });

    for (auto _ : state)
        benchmark::DoNotOptimize (node.apply (list));
}

BENCHMARK (inboundCall)->Arg (10)->Arg (100)->Arg (830);
BENCHMARK (inboundCallWithOthersInFlight)->Arg (10)->Arg (100)->Arg (900);
BENCHMARK (outgoingCall)->Arg (10)->Arg (100)->Arg (830);
BENCHMARK (gossipMessage)->Arg (10)->Arg (100)->Arg (830);
BENCHMARK (fullInstanceList)->Arg (10)->Arg (100)->Arg (830);

} // namespace

BENCHMARK_MAIN();
