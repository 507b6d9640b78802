#include "plankledge_policy/relay/crashes/CrashWatch.h"

#include <doctest/doctest.h>
#include <functional>

namespace plankledge::test
{

namespace
{

constexpr ContentDigest popular = 1;
constexpr ContentDigest first = 11;
constexpr ContentDigest second = 12;
constexpr Duration window = Milliseconds (100);
const Time start { std::chrono::hours (1) };

/** What a watch finds when things happen to its target, looked at every 100 ms as at a node. */
struct Watched
{
    CrashWatch m_watch;
    Time m_now = start;
    std::vector<CrashWatch::Finding> m_findings;

    void pass (Duration duration)
    {
        for (const auto end = m_now + duration; m_now < end;)
        {
            m_now += std::min<Duration> (window, end - m_now);
            const auto found = m_watch.takeFindings (m_now);
            m_findings.insert (m_findings.end(), found.begin(), found.end());
        }
    }

    void breakOff (ContentDigest content) { m_watch.onBroken (content, m_now); }
    void answer (ContentDigest content) { m_watch.onAnswered (content, m_now); }
    void announce() { m_watch.onAnnounced (m_now); }
    void begin (const std::vector<ContentDigest>& running = {}) { m_watch.onNewLife (running, m_now); }
};

/** What is known in the end: whom the last finding blames. */
using Blamed = std::vector<ContentDigest>;

struct Row
{
    const char* m_name;
    std::function<void (Watched&)> m_happens;
    Blamed m_blamed;
    bool m_isWithdrawn = false;
};

const std::vector<Row> rows {
    { "an answer is lost while others come",
      [] (Watched& it) {
          it.breakOff (first);
          it.pass (Milliseconds (60));
          it.answer (second);
          it.pass (std::chrono::seconds (3));
      },
      {} },
    { "answers that were under way come just after the target ended",
      [] (Watched& it) {
          it.breakOff (first);
          it.pass (Milliseconds (10));
          it.answer (second);
          it.pass (std::chrono::seconds (1));
      },
      { first } },
    { "the target ends with two requests and refuses connections",
      [] (Watched& it) {
          it.breakOff (first);
          it.breakOff (second);
          it.m_watch.onRefusedConnection();
          it.pass (window);
      },
      { first, second } },
    { "a request breaks off at a quiet target",
      [] (Watched& it) {
          it.breakOff (first);
          it.pass (CrashWatch::settling);
      },
      { first } },
    { "a quiet target that lost an answer announces itself later",
      [] (Watched& it) {
          it.breakOff (first);
          it.pass (CrashWatch::announcedLate);
          it.announce();
          it.pass (window);
      },
      {},
      true },
    { "an announcement of the target that ended comes late",
      [] (Watched& it) {
          it.breakOff (first);
          it.pass (std::chrono::seconds (1));
          it.announce();
          it.pass (std::chrono::seconds (1));
          it.begin();
          it.pass (window);
      },
      { first } },
    { "another life answers before it announces itself",
      [] (Watched& it) {
          it.breakOff (first);
          it.m_watch.onRefusedConnection();
          it.pass (window);
          it.answer (second);
          it.pass (window);
      },
      { first } },
    { "another life begins at once",
      [] (Watched& it) {
          it.breakOff (first);
          it.begin();
          it.answer (second);
          it.pass (window);
      },
      { first } },
    { "it went silent with a request, and another life begins",
      [] (Watched& it) {
          it.begin ({ first });
          it.pass (window);
      },
      { first } },
    { "a target that leaves ends with what it runs",
      [] (Watched& it) {
          it.m_watch.onLeaving();
          it.breakOff (first);
          it.begin ({ second });
          it.pass (std::chrono::seconds (1));
      },
      {} },
    { "a popular request ran beside the one that crashed it",
      [] (Watched& it) {
          it.answer (popular);
          it.pass (std::chrono::seconds (1));
          it.breakOff (popular);
          it.breakOff (first);
          it.m_watch.onRefusedConnection();
          it.pass (window);
      },
      { first } },
    { "a request that ended well in the life before crashes the next one",
      [] (Watched& it) {
          it.answer (popular);
          it.begin();
          it.breakOff (popular);
          it.pass (CrashWatch::settling);
      },
      { popular } },
    { "more breaks off after the crash was told",
      [] (Watched& it) {
          it.breakOff (first);
          it.pass (CrashWatch::settling);
          it.breakOff (second);
          it.pass (window);
      },
      { first, second } },
};

} // namespace

//==============================================================================
TEST_CASE ("whom a target's end is blamed on, by what is seen of it")
{
    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        Watched watched;
        row.m_happens (watched);
        const auto& findings = watched.m_findings;
        CHECK ((findings.empty() ? Blamed() : findings.back().m_suspects) == row.m_blamed);
        CHECK ((! findings.empty() && findings.back().m_isWithdrawn) == row.m_isWithdrawn);
    }
}

TEST_CASE ("each crash has a number of its own, and findings about one have the same")
{
    Watched watched;
    watched.breakOff (first);
    watched.pass (CrashWatch::settling);
    watched.breakOff (second);
    watched.pass (window);
    watched.begin();
    watched.breakOff (first);
    watched.pass (CrashWatch::settling);
    REQUIRE (watched.m_findings.size() == 3);
    CHECK (watched.m_findings[0].m_number == watched.m_findings[1].m_number);
    CHECK (watched.m_findings[1].m_number != watched.m_findings[2].m_number);
}

} // namespace plankledge::test
