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

constexpr ContentDigest crashing = 7;
constexpr ContentDigest unrelated = 8;
const Time start { std::chrono::hours (1000) };

CrashReport crash (std::uint64_t number, std::vector<ContentDigest> suspects, Duration age = {})
{
    return { { { "node", 1 }, number }, age, false, std::move (suspects) };
}

CrashReport withdrawal (std::uint64_t number)
{
    return { { { "node", 1 }, number }, {}, true, {} };
}

/** @returns a ledger with so many crashes of targets that ran the crashing request, one second apart */
CrashLedger ledgerAfter (std::uint64_t crashes)
{
    CrashLedger ledger;

    for (std::uint64_t number = 0; number < crashes; ++number)
        ledger.learn (crash (number, { crashing }), start + seconds (number));

    return ledger;
}

} // namespace

//==============================================================================
TEST_CASE ("a request is held after the third crash, and one that ran beside it in only two of them is not")
{
    CrashLedger ledger;
    ledger.learn (crash (1, { crashing, unrelated }), start);
    ledger.learn (crash (2, { crashing, unrelated }), start);
    CHECK (ledger.holdStatus (crashing, start).m_holdState == HoldState::clear);
    ledger.learn (crash (3, { crashing }), start);
    CHECK (ledger.holdStatus (crashing, start).m_holdState == HoldState::held);
    CHECK (ledger.holdStatus (unrelated, start).m_holdState == HoldState::clear);
    CHECK (ledger.held() == 1);
}

TEST_CASE ("a crash counts once, however often it is reported")
{
    CrashLedger ledger;
    CHECK (ledger.learn (crash (1, { crashing }), start));
    CHECK (! ledger.learn (crash (1, { crashing }), start));
    CHECK (ledger.learn (crash (1, { crashing, unrelated }), start));
    CHECK (ledger.holdStatus (crashing, start).m_holdState == HoldState::clear);
    CHECK (ledger.isSuspect (unrelated));
}

TEST_CASE ("a withdrawn crash has no suspects, even if its report arrives after the withdrawal")
{
    auto ledger = ledgerAfter (3);
    CHECK (ledger.learn (withdrawal (1), start + seconds (3)));
    CHECK (ledger.holdStatus (crashing, start + seconds (3)).m_holdState == HoldState::clear);
    CHECK (! ledger.learn (crash (1, { crashing }), start + seconds (3)));
    CHECK (ledger.holdStatus (crashing, start + seconds (3)).m_holdState == HoldState::clear);
}

TEST_CASE ("completing a request clears it of earlier crashes, not of later ones")
{
    auto ledger = ledgerAfter (3);
    const auto now = start + seconds (10);
    CHECK (ledger.learn (CrashAcquittal { crashing, {} }, now));
    CHECK (ledger.holdStatus (crashing, now).m_holdState == HoldState::clear);
    CHECK (! ledger.isSuspect (crashing));

    // A delayed report of a crash before the acquittal.
    ledger.learn (crash (20, { crashing }, seconds (5)), now);
    CHECK (! ledger.isSuspect (crashing));

    for (std::uint64_t number = 30; number < 33; ++number)
        ledger.learn (crash (number, { crashing }), now + seconds (1));

    CHECK (ledger.holdStatus (crashing, now + seconds (1)).m_holdState == HoldState::held);
}

TEST_CASE ("a hold ends in a trial, and each further crash doubles it up to the limit")
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
        const auto ledger = ledgerAfter (row.m_crashes);
        const auto newest = start + seconds (row.m_crashes - 1);
        const auto last = newest + row.m_hold;
        CHECK (ledger.holdStatus (crashing, newest) == HoldStatus { HoldState::held, row.m_hold });
        CHECK (ledger.holdStatus (crashing, last - Duration (1)).m_holdState == HoldState::held);
        CHECK (ledger.holdStatus (crashing, last).m_holdState == HoldState::onTrial);
    }
}

TEST_CASE ("the number of suspects is limited, and the oldest crashes are removed first")
{
    CrashLedger ledger;
    constexpr std::uint64_t suspectsPerCrash = 100;
    constexpr std::uint64_t crashes = 400;

    for (std::uint64_t number = 0; number < crashes; ++number)
    {
        std::vector<ContentDigest> suspects;

        for (std::uint64_t index = 0; index < suspectsPerCrash; ++index)
            suspects.push_back (1000 + number * suspectsPerCrash + index);

        ledger.learn (crash (number, suspects), start + seconds (number));
    }

    CHECK (ledger.crashes() == CrashLedger::maxSuspects / suspectsPerCrash);
    CHECK (! ledger.isSuspect (1000));
    CHECK (ledger.isSuspect (1000 + crashes * suspectsPerCrash - 1));
    ledger.removeExpired (start + CrashLedger::retentionPeriod + seconds (crashes));
    CHECK (ledger.crashes() == 0);
    CHECK (ledger.digest() == 0);
}

TEST_CASE ("nodes that receive the same reports in any order end up with equal ledgers")
{
    using Message = std::variant<CrashReport, CrashAcquittal>;

    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        CAPTURE (seed);
        Random random { seed };
        std::vector<std::pair<Message, Time>> messages;

        for (std::uint64_t number = 0; number < 12; ++number)
        {
            const auto at = start + seconds (random.below (20));
            const auto content = random.below (3) + 1;

            if (random.below (4) == 0)
                messages.emplace_back (CrashAcquittal { content, {} }, at);
            else
                messages.emplace_back (crash (number, { content, random.below (3) + 1 }), at);

            if (random.below (5) == 0)
                messages.emplace_back (withdrawal (number), at);
        }

        const auto end = start + minutes (1);
        const auto replay = [&] {
            CrashLedger ledger;

            for (const auto& [item, at] : messages)
                std::visit (
                    [&, when = at] (auto received) {
                        received.m_age = end - when;
                        ledger.learn (received, end);
                    },
                    item);

            return ledger;
        };
        const auto one = replay();

        for (std::size_t index = messages.size(); index > 1; --index)
            std::swap (messages[index - 1], messages[random.below (index)]);

        const auto other = replay();
        CHECK (one.digest() == other.digest());

        for (ContentDigest content = 1; content <= 3; ++content)
            CHECK (one.holdStatus (content, end) == other.holdStatus (content, end));

        // A node with an empty ledger that receives the complete one ends up with the same digest.
        CrashLedger third;
        const auto snapshot = one.snapshot (end);

        for (const auto& report : snapshot.m_crashes)
            third.learn (report, end);

        for (const auto& acquittal : snapshot.m_acquittals)
            third.learn (acquittal, end);

        CHECK (third.digest() == one.digest());
    }
}

} // namespace plankledge::test
