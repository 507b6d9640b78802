#include "plankledge_policy/relay/crashes/CrashDetector.h"

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

/** A CrashDetector whose findings are collected every 100 ms, as a node does. */
struct WatchHarness
{
    CrashDetector m_detector;
    Time m_now = start;
    std::vector<CrashDetector::Finding> m_findings;

    void advance (Duration duration)
    {
        for (const auto end = m_now + duration; m_now < end;)
        {
            m_now += std::min<Duration> (window, end - m_now);
            const auto found = m_detector.takeFindings (m_now);
            m_findings.insert (m_findings.end(), found.begin(), found.end());
        }
    }

    void breakConnection (ContentDigest content) { m_detector.onConnectionBroken (content, m_now); }
    void answer (ContentDigest content) { m_detector.onAnswered (content, m_now); }
    void announce() { m_detector.onAnnounced (m_now); }
    void restart (const std::vector<ContentDigest>& running = {})
    {
        m_detector.onNewIncarnation (running, m_now);
    }
};

using Suspects = std::vector<ContentDigest>;

struct Row
{
    const char* m_name;
    std::function<void (WatchHarness&)> m_scenario;
    Suspects m_suspects; /**< of the last finding */
    bool m_isWithdrawn = false;
};

const std::vector<Row> rows {
    { "one answer is lost while others arrive",
      [] (WatchHarness& harness) {
          harness.breakConnection (first);
          harness.advance (Milliseconds (60));
          harness.answer (second);
          harness.advance (std::chrono::seconds (3));
      },
      {} },
    { "an answer sent before the crash arrives just after it",
      [] (WatchHarness& harness) {
          harness.breakConnection (first);
          harness.advance (Milliseconds (10));
          harness.answer (second);
          harness.advance (std::chrono::seconds (1));
      },
      { first } },
    { "the target crashes with two requests running and refuses connections",
      [] (WatchHarness& harness) {
          harness.breakConnection (first);
          harness.breakConnection (second);
          harness.m_detector.onConnectionRefused();
          harness.advance (window);
      },
      { first, second } },
    { "a connection breaks at an idle target",
      [] (WatchHarness& harness) {
          harness.breakConnection (first);
          harness.advance (CrashDetector::confirmationDelay);
      },
      { first } },
    { "an idle target that lost an answer announces itself later",
      [] (WatchHarness& harness) {
          harness.breakConnection (first);
          harness.advance (CrashDetector::announcementGrace);
          harness.announce();
          harness.advance (window);
      },
      {},
      true },
    { "an announcement sent before the crash arrives after it",
      [] (WatchHarness& harness) {
          harness.breakConnection (first);
          harness.advance (std::chrono::seconds (1));
          harness.announce();
          harness.advance (std::chrono::seconds (1));
          harness.restart();
          harness.advance (window);
      },
      { first } },
    { "the new incarnation answers before it announces itself",
      [] (WatchHarness& harness) {
          harness.breakConnection (first);
          harness.m_detector.onConnectionRefused();
          harness.advance (window);
          harness.answer (second);
          harness.advance (window);
      },
      { first } },
    { "the new incarnation starts at once",
      [] (WatchHarness& harness) {
          harness.breakConnection (first);
          harness.restart();
          harness.answer (second);
          harness.advance (window);
      },
      { first } },
    { "the target stops answering with a request running, and a new incarnation starts",
      [] (WatchHarness& harness) {
          harness.restart ({ first });
          harness.advance (window);
      },
      { first } },
    { "a leaving target exits with requests running",
      [] (WatchHarness& harness) {
          harness.m_detector.onLeaving();
          harness.breakConnection (first);
          harness.restart ({ second });
          harness.advance (std::chrono::seconds (1));
      },
      {} },
    { "a popular request ran beside the one that crashed the target",
      [] (WatchHarness& harness) {
          harness.answer (popular);
          harness.advance (std::chrono::seconds (1));
          harness.breakConnection (popular);
          harness.breakConnection (first);
          harness.m_detector.onConnectionRefused();
          harness.advance (window);
      },
      { first } },
    { "a request that the previous incarnation completed crashes the next one",
      [] (WatchHarness& harness) {
          harness.answer (popular);
          harness.restart();
          harness.breakConnection (popular);
          harness.advance (CrashDetector::confirmationDelay);
      },
      { popular } },
    { "another connection breaks after the crash was reported",
      [] (WatchHarness& harness) {
          harness.breakConnection (first);
          harness.advance (CrashDetector::confirmationDelay);
          harness.breakConnection (second);
          harness.advance (window);
      },
      { first, second } },
};

} // namespace

//==============================================================================
TEST_CASE ("the suspects of a crash follow from the events at the target")
{
    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        WatchHarness harness;
        row.m_scenario (harness);
        const auto& findings = harness.m_findings;
        CHECK ((findings.empty() ? Suspects() : findings.back().m_suspects) == row.m_suspects);
        CHECK ((! findings.empty() && findings.back().m_isWithdrawn) == row.m_isWithdrawn);
    }
}

TEST_CASE ("each crash has its own number, which all findings about it share")
{
    WatchHarness harness;
    harness.breakConnection (first);
    harness.advance (CrashDetector::confirmationDelay);
    harness.breakConnection (second);
    harness.advance (window);
    harness.restart();
    harness.breakConnection (first);
    harness.advance (CrashDetector::confirmationDelay);
    REQUIRE (harness.m_findings.size() == 3);
    CHECK (harness.m_findings[0].m_number == harness.m_findings[1].m_number);
    CHECK (harness.m_findings[1].m_number != harness.m_findings[2].m_number);
}

} // namespace plankledge::test
