#include "plankledge_operator/LogExplainer.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

std::string line (int milliseconds, const std::string& instance, const std::string& event,
                  const std::string& request, const std::string& fields)
{
    return fmt::format (
        R"({{"time":"2026-12-02T10:00:00.{:03}Z","severity":"info","event":"{}","instance":"{}","request":"{}"{}}})",
        milliseconds, event, instance, request, fields);
}

/** The log of a failed request, and the cause to be found in it. */
struct Row
{
    const char* m_name;
    std::vector<std::string> m_lines;
    const char* m_what;
    const char* m_where;
};

const Row rows[] = {
    { "refused at the entry because of a downstream service",
      { line (1, "a", "request-refused", "r",
              R"(,"reason":"no-room","service":"deep","place":"0.9","level":"0.8")") },
      "request-refused no-room",
      "deep" },
    { "the target of a nested call broke the connection: the gate names the target",
      { line (50, "a", "request-answered", "r", R"(,"status":"500")"),
        line (30, "b", "request-given-up", "r.1",
              R"(,"reason":"target-broken","service":"deep","tried":"c")"),
        line (20, "c", "gate-ended", "r.1", R"(,"reason":"target-broken","target":"t-7","ran_ms":"110")") },
      "gate-ended target-broken",
      "t-7" },
    { "deadline exceeded: the deepest call that exceeded it",
      { line (90, "a", "request-given-up", "r",
              R"(,"reason":"deadline-exceeded","service":"front","tried":"b")"),
        line (80, "b", "request-given-up", "r.1",
              R"(,"reason":"deadline-exceeded","service":"middle","tried":"c")"),
        line (70, "c", "request-given-up", "r.1.5",
              R"(,"reason":"deadline-exceeded","service":"deep","tried":"d")") },
      "request-given-up deadline-exceeded",
      "deep" },
    { "a failure with a successful retry is not the cause",
      { line (10, "c", "gate-ended", "r.1", R"(,"reason":"target-shed","target":"t-7")"),
        line (20, "b", "request-answered", "r.1", R"(,"status":"200")"),
        line (30, "c", "gate-ended", "r.2", R"(,"reason":"target-shed","target":"t-8")"),
        line (40, "a", "request-answered", "r", R"(,"status":"500")") },
      "gate-ended target-shed",
      "t-8" },
    { "overloaded at one gate, then broken at another: the last failure is the cause",
      { line (10, "b", "gate-ended", "r", R"(,"reason":"overloaded","dispatched":"no")"),
        line (20, "c", "gate-ended", "r", R"(,"reason":"target-broken","target":"t-7")"),
        line (30, "a", "request-given-up", "r", R"(,"reason":"target-broken","tried":"b,c")") },
      "gate-ended target-broken",
      "t-7" },
    { "two targets reached the rate limits that they state: the last one that was asked",
      { line (
            10, "b", "gate-refused", "r",
            R"(,"reason":"target-rate-limit","target":"t-7","rate_limit":"17.1","rate_limit_age_ms":"900")"),
        line (20, "c", "gate-refused", "r",
              R"(,"reason":"target-rate-limit","target":"t-8","rate_limit":"1","rate_limit_age_ms":"800")"),
        line (30, "a", "request-given-up", "r", R"(,"reason":"target-rate-limit","tried":"b,c")") },
      "gate-refused target-rate-limit",
      "t-8" },
    { "the target answered with an error status",
      { line (10, "a", "request-answered", "r", R"(,"status":"500","tried":"b")") },
      "request-answered status 500",
      "b" },
};

} // namespace

TEST_CASE ("the cause of a failed request is the event where the failure originated")
{
    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        LogExplainer explainer;

        for (const auto& text : row.m_lines)
            CHECK (explainer.add ("  12.345 s sidecar-1: " + text));

        const auto cause = explainer.causeOf ("r");
        REQUIRE (cause.has_value());
        CHECK (cause->m_what == row.m_what);
        CHECK (cause->m_where == row.m_where);
        CHECK (explainer.failuresByCause().at (fmt::format ("{} at {}", row.m_what, row.m_where)) == 1);
    }
}

TEST_CASE ("the events of a request are listed by time, with those of its nested calls only")
{
    LogExplainer explainer;
    explainer.add (line (30, "b", "gate-dispatched", "r.1", ""));
    explainer.add (line (10, "a", "request-sent", "r", ""));
    explainer.add (line (20, "a", "request-sent", "r2", ""));
    explainer.add (line (40, "a", "request-answered", "r", R"(,"status":"200")"));
    const auto events = explainer.eventsOf ("r");
    REQUIRE (events.size() == 3);
    CHECK (events[0].m_event == "request-sent");
    CHECK (events[1].m_request == "r.1");
    CHECK (events[2].m_event == "request-answered");
    CHECK (explainer.eventsOf ("r.1").size() == 1);
    CHECK_FALSE (explainer.causeOf ("r").has_value());
    CHECK_FALSE (explainer.causeOf ("unknown").has_value());
    CHECK (LogExplainer::describe (events[2]) ==
           "2026-12-02T10:00:00.040Z  a  r  request-answered status=200");
}

TEST_CASE ("lines that are not events are ignored")
{
    LogExplainer explainer;
    for (const auto* text : { "", "plain text", "{", "{}", "[1]", R"({"event":3})", R"({"event":)" })
        CHECK_FALSE ((explainer.add (text) && explainer.causeOf ("").has_value()));
}

} // namespace plankledge::test
