#include "plankledge_core/Random.h"
#include "plankledge_policy/relay/crashes/CrashHistory.h"

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

/** @returns a history of crashes of targets that ran the crashing request, one second apart */
CrashHistory historyAfter (std::uint64_t crashes)
{
    CrashHistory history;

    for (std::uint64_t number = 0; number < crashes; ++number)
        history.add (crash (number, { crashing }), start + seconds (number));

    return history;
}

} // namespace

//==============================================================================
TEST_CASE ("a request is held after the third crash, and one that ran beside it in only two of them is not")
{
    CrashHistory history;
    history.add (crash (1, { crashing, unrelated }), start);
    history.add (crash (2, { crashing, unrelated }), start);
    CHECK (history.holdStatus (crashing, start).m_holdState == HoldState::clear);
    history.add (crash (3, { crashing }), start);
    CHECK (history.holdStatus (crashing, start).m_holdState == HoldState::held);
    CHECK (history.holdStatus (unrelated, start).m_holdState == HoldState::clear);
    CHECK (history.held() == 1);
}

TEST_CASE ("a crash counts once, however often it is reported")
{
    CrashHistory history;
    CHECK (history.add (crash (1, { crashing }), start));
    CHECK (! history.add (crash (1, { crashing }), start));
    CHECK (history.add (crash (1, { crashing, unrelated }), start));
    CHECK (history.holdStatus (crashing, start).m_holdState == HoldState::clear);
    CHECK (history.isSuspect (unrelated));
}

TEST_CASE ("a withdrawn crash has no suspects, even if its report arrives after the withdrawal")
{
    auto history = historyAfter (3);
    CHECK (history.add (withdrawal (1), start + seconds (3)));
    CHECK (history.holdStatus (crashing, start + seconds (3)).m_holdState == HoldState::clear);
    CHECK (! history.add (crash (1, { crashing }), start + seconds (3)));
    CHECK (history.holdStatus (crashing, start + seconds (3)).m_holdState == HoldState::clear);
}

TEST_CASE ("completing a request clears it of earlier crashes, not of later ones")
{
    auto history = historyAfter (3);
    const auto now = start + seconds (10);
    CHECK (history.add (CrashAcquittal { crashing, {} }, now));
    CHECK (history.holdStatus (crashing, now).m_holdState == HoldState::clear);
    CHECK (! history.isSuspect (crashing));

    // A delayed report of a crash before the acquittal.
    history.add (crash (20, { crashing }, seconds (5)), now);
    CHECK (! history.isSuspect (crashing));

    for (std::uint64_t number = 30; number < 33; ++number)
        history.add (crash (number, { crashing }), now + seconds (1));

    CHECK (history.holdStatus (crashing, now + seconds (1)).m_holdState == HoldState::held);
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
        const auto history = historyAfter (row.m_crashes);
        const auto newest = start + seconds (row.m_crashes - 1);
        const auto last = newest + row.m_hold;
        CHECK (history.holdStatus (crashing, newest) == HoldStatus { HoldState::held, row.m_hold });
        CHECK (history.holdStatus (crashing, last - Duration (1)).m_holdState == HoldState::held);
        CHECK (history.holdStatus (crashing, last).m_holdState == HoldState::onTrial);
    }
}

TEST_CASE ("the number of suspects is limited, and the oldest crashes are removed first")
{
    CrashHistory history;
    constexpr std::uint64_t suspectsPerCrash = 100;
    constexpr std::uint64_t crashes = 400;

    for (std::uint64_t number = 0; number < crashes; ++number)
    {
        std::vector<ContentDigest> suspects;

        for (std::uint64_t index = 0; index < suspectsPerCrash; ++index)
            suspects.push_back (1000 + number * suspectsPerCrash + index);

        history.add (crash (number, suspects), start + seconds (number));
    }

    CHECK (history.crashes() == CrashHistory::maxSuspects / suspectsPerCrash);
    CHECK (! history.isSuspect (1000));
    CHECK (history.isSuspect (1000 + crashes * suspectsPerCrash - 1));
    history.removeExpired (start + CrashHistory::retentionPeriod + seconds (crashes));
    CHECK (history.crashes() == 0);
    CHECK (history.digest() == 0);
}

TEST_CASE ("nodes that receive the same reports in any order end up with equal histories")
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
            CrashHistory history;

            for (const auto& [item, at] : messages)
                std::visit (
                    [&, when = at] (auto received) {
                        received.m_age = end - when;
                        history.add (received, end);
                    },
                    item);

            return history;
        };
        const auto one = replay();

        for (std::size_t index = messages.size(); index > 1; --index)
            std::swap (messages[index - 1], messages[random.below (index)]);

        const auto other = replay();
        CHECK (one.digest() == other.digest());

        for (ContentDigest content = 1; content <= 3; ++content)
            CHECK (one.holdStatus (content, end) == other.holdStatus (content, end));

        // A node with an empty history that receives the complete one ends up with the same digest.
        CrashHistory third;
        const auto snapshot = one.snapshot (end);

        for (const auto& report : snapshot.m_crashes)
            third.add (report, end);

        for (const auto& acquittal : snapshot.m_acquittals)
            third.add (acquittal, end);

        CHECK (third.digest() == one.digest());
    }
}

} // namespace plankledge::test
