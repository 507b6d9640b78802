#include "plankledge_core/Random.h"
#include "plankledge_policy/relay/crashes/CrashLedger.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <variant>

namespace plankledge::test
{

namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

constexpr ContentDigest deadly = 7;
constexpr ContentDigest innocent = 8;
const Time start { std::chrono::hours (1000) };

CrashReport crash (std::uint64_t number, std::vector<ContentDigest> suspects, Duration age = {})
{
    return { { { "node", 1 }, number }, age, false, std::move (suspects) };
}

CrashReport withdrawal (std::uint64_t number)
{
    return { { { "node", 1 }, number }, {}, true, {} };
}

/** @returns a ledger that knows of so many crashes under the deadly request, one second after the other */
CrashLedger after (std::uint64_t crashes)
{
    CrashLedger ledger;

    for (std::uint64_t number = 0; number < crashes; ++number)
        ledger.learn (crash (number, { deadly }), start + seconds (number));

    return ledger;
}

} // namespace

//==============================================================================
TEST_CASE ("a request is held from the third crash on, and what ran beside one of them is not")
{
    CrashLedger ledger;
    ledger.learn (crash (1, { deadly, innocent }), start);
    ledger.learn (crash (2, { deadly, innocent }), start);
    CHECK (ledger.judge (deadly, start).m_standing == Standing::clear);
    ledger.learn (crash (3, { deadly }), start);
    CHECK (ledger.judge (deadly, start).m_standing == Standing::held);
    CHECK (ledger.judge (innocent, start).m_standing == Standing::clear);
    CHECK (ledger.held() == 1);
}

TEST_CASE ("one crash counts once, however often it is told")
{
    CrashLedger ledger;
    CHECK (ledger.learn (crash (1, { deadly }), start));
    CHECK (! ledger.learn (crash (1, { deadly }), start));
    CHECK (ledger.learn (crash (1, { deadly, innocent }), start));
    CHECK (ledger.judge (deadly, start).m_standing == Standing::clear);
    CHECK (ledger.isSuspect (innocent));
}

TEST_CASE ("a crash that is withdrawn speaks against nobody, also where its report comes later")
{
    auto ledger = after (3);
    CHECK (ledger.learn (withdrawal (1), start + seconds (3)));
    CHECK (ledger.judge (deadly, start + seconds (3)).m_standing == Standing::clear);
    CHECK (! ledger.learn (crash (1, { deadly }), start + seconds (3)));
    CHECK (ledger.judge (deadly, start + seconds (3)).m_standing == Standing::clear);
}

TEST_CASE ("a good end clears of what was before it, and not of what comes after")
{
    auto ledger = after (3);
    const auto now = start + seconds (10);
    CHECK (ledger.learn (CrashAcquittal { deadly, {} }, now));
    CHECK (ledger.judge (deadly, now).m_standing == Standing::clear);
    CHECK (! ledger.isSuspect (deadly));

    // A report that was long under way is of before the good end.
    ledger.learn (crash (20, { deadly }, seconds (5)), now);
    CHECK (! ledger.isSuspect (deadly));

    for (std::uint64_t number = 30; number < 33; ++number)
        ledger.learn (crash (number, { deadly }), now + seconds (1));

    CHECK (ledger.judge (deadly, now + seconds (1)).m_standing == Standing::held);
}

TEST_CASE ("a hold ends in a trial, and lasts twice as long with each crash more")
{
    struct Row
    {
        std::uint64_t m_crashes;
        Duration m_hold;
    };

    for (const auto& row : { Row { 3, minutes (5) }, Row { 4, minutes (10) }, Row { 6, minutes (40) },
                             Row { 7, minutes (60) }, Row { 40, minutes (60) } })
    {
        CAPTURE (row.m_crashes);
        const auto ledger = after (row.m_crashes);
        const auto newest = start + seconds (row.m_crashes - 1);
        const auto last = newest + row.m_hold;
        CHECK (ledger.judge (deadly, newest) == CrashJudgement { Standing::held, row.m_hold });
        CHECK (ledger.judge (deadly, last - Duration (1)).m_standing == Standing::held);
        CHECK (ledger.judge (deadly, last).m_standing == Standing::onTrial);
    }
}

TEST_CASE ("what is remembered has a bound, and the oldest crashes are forgotten first")
{
    CrashLedger ledger;
    constexpr std::uint64_t suspectsEach = 100;
    constexpr std::uint64_t crashes = 400;

    for (std::uint64_t number = 0; number < crashes; ++number)
    {
        std::vector<ContentDigest> suspects;

        for (std::uint64_t index = 0; index < suspectsEach; ++index)
            suspects.push_back (1000 + number * suspectsEach + index);

        ledger.learn (crash (number, suspects), start + seconds (number));
    }

    CHECK (ledger.crashes() == CrashLedger::mostSuspects / suspectsEach);
    CHECK (! ledger.isSuspect (1000));
    CHECK (ledger.isSuspect (1000 + crashes * suspectsEach - 1));
    ledger.forgetOld (start + CrashLedger::rememberedFor + seconds (crashes));
    CHECK (ledger.crashes() == 0);
    CHECK (ledger.digest() == 0);
}

TEST_CASE ("nodes that hear the same news in any order remember the same")
{
    using News = std::variant<CrashReport, CrashAcquittal>;

    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        CAPTURE (seed);
        Random random { seed };
        std::vector<std::pair<News, Time>> news;

        for (std::uint64_t number = 0; number < 12; ++number)
        {
            const auto at = start + seconds (random.below (20));
            const auto content = random.below (3) + 1;

            if (random.below (4) == 0)
                news.emplace_back (CrashAcquittal { content, {} }, at);
            else
                news.emplace_back (crash (number, { content, random.below (3) + 1 }), at);

            if (random.below (5) == 0)
                news.emplace_back (withdrawal (number), at);
        }

        const auto end = start + minutes (1);
        const auto hear = [&] {
            CrashLedger ledger;

            for (const auto& [item, at] : news)
                std::visit (
                    [&, when = at] (auto told) {
                        told.m_age = end - when;
                        ledger.learn (told, end);
                    },
                    item);

            return ledger;
        };
        const auto one = hear();

        for (std::size_t index = news.size(); index > 1; --index)
            std::swap (news[index - 1], news[random.below (index)]);

        const auto other = hear();
        CHECK (one.digest() == other.digest());

        for (ContentDigest content = 1; content <= 3; ++content)
            CHECK (one.judge (content, end) == other.judge (content, end));

        // What one tells whole leads a node that knew nothing to the same.
        CrashLedger third;
        const auto all = one.all (end);

        for (const auto& report : all.m_crashes)
            third.learn (report, end);

        for (const auto& acquittal : all.m_acquittals)
            third.learn (acquittal, end);

        CHECK (third.digest() == one.digest());
    }
}

} // namespace plankledge::test
