#include "support/CrashSite.h"

#include <algorithm>
#include <doctest/doctest.h>

/*  One request crashed each target that began to run it. Its sender asked again and again, each time under
   another id and at another node. No node knew it again: five targets ended within 1.3 s, and each that came
   back was given the same request at once, with all that waited, and ended some 110 ms later. 33 targets
   ended under one request; of some 175 searches a second 2, 21 and 14 were served in the worst seconds.

    The nodes said "request-given-up" with "reason":"target-broken","arrivals":"1" 720 of 741 times: each took
   it for a request of its own, and few of the sendings were second ones of ours. */
namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

/** After the third crash the nodes have this long to learn of it, by the operators' rules. */
constexpr Duration contactTime = seconds (3);

/** A request under which three targets have ended reaches targets at most so often after that. */
constexpr std::size_t mostSendingsAfter = 3;

const std::string deadlyPath (CrashSite::deadly);

/** The site of the report: five targets of fifteen nodes, 200 searches a second. */
struct ReportedSite : CrashSite
{
    ReportedSite()
        : CrashSite (5, 10)
    {
    }
};

} // namespace

//==============================================================================
TEST_CASE ("a request that crashes its targets is kept from them, wherever it comes in and under whatever id")
{
    ReportedSite site;
    site.runUnderLoad (seconds (2), 200);
    const auto during = site.runUnderLoad (seconds (20), 200, [&] { site.sendAnywhere (deadlyPath); });
    REQUIRE (site.crashes().size() >= 3);
    const auto known = site.crashes()[2] + contactTime;
    const auto runs = site.runsOfPath (deadlyPath);
    CHECK (std::count_if (runs.begin(), runs.end(), [known] (Time at) { return at > known; }) <=
           static_cast<std::ptrdiff_t> (mostSendingsAfter));

    // All five may have ended before the third was known; from then on the others lose nothing.
    const auto after = site.runUnderLoad (seconds (5), 200, [&] { site.sendAnywhere (deadlyPath); });
    CHECK (site.servedShare (after) >= 0.99);
    CHECK (site.servedShare (during) >= 0.75);
}

} // namespace plankledge::test
