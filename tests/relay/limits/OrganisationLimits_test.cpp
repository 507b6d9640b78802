/*  What all nodes together let through of an organisation's requests, in virtual time: every window at the
   targets is looked at, and whatever was refused although it lay below the limit is counted. */

#include "support/RelayRig.h"

#include "plankledge_core/Random.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

constexpr Duration window = seconds (5);
constexpr double overage = 0.1;
constexpr double slack = 20.0;

struct Sender
{
    Organisation m_organisation;
    double m_perSecond = 0.0;
};

Organisation makeOrganisation (const std::string& name, double perSecond, double burst)
{
    return { name, 0, RequestLimit { perSecond, burst }, { "key-of-" + name } };
}

/** Nodes in three zones, a few of which have targets of "plans", and organisations that send at random nodes.
 */
struct LimitFleet : RelayRig
{
    explicit LimitFleet (unsigned nodes, LimitSharing sharing = LimitSharing::homes)
        : m_random (7)
    {
        settings().m_limitSharing = sharing;

        for (unsigned number = 0; number < nodes; ++number)
        {
            m_names.push_back ("node-" + std::to_string (number));
            add (m_names.back(), number % 4 == 0 ? "plans" : "web", "zone-" + std::to_string (number % 3),
                 2000);
            setTarget (m_names.back(),
                       [] (RelayRig& rig, const InstanceName& name, const RelayToTarget& dispatch) {
                           rig.reply (name, dispatch.m_call, TargetReplyKind::answered, Milliseconds (5));
                       });
        }
    }

    /** The organisation sends so many a second; its limit is in force from now on. */
    void addSender (const Organisation& organisation, double perSecond)
    {
        m_senders.push_back ({ organisation, perSecond });
    }

    void declare()
    {
        std::vector<Organisation> organisations;

        for (const auto& sender : m_senders)
            organisations.push_back (sender.m_organisation);

        auto read = makeRoute ("read", "plans");
        read.m_isPublic = false;
        publish (makeTable (++m_version, { read }, Organisations (organisations)));
    }

    /** Sends the organisations' requests, at all nodes alike or a third of them at one. */
    void load (Duration duration, bool isUneven = false)
    {
        constexpr Duration step = Milliseconds (5);

        for (const auto end = now() + duration; now() < end; run (step))
        {
            for (const auto& sender : m_senders)
            {
                const auto wanted = sender.m_perSecond * 0.005;
                const auto whole = static_cast<unsigned> (wanted);

                // Whether one more comes in a step is left to chance.
                for (auto left = whole + (isChance (wanted - whole) ? 1U : 0U); left > 0; --left)
                    sendOne (sender, isUneven);
            }
        }
    }

    bool isChance (double probability)
    {
        return static_cast<double> (m_random.below (1000000)) < probability * 1e6;
    }

    void sendOne (const Sender& sender, bool isUneven)
    {
        const auto& name =
            isUneven && m_random.below (3) == 0 ? m_names.front() : m_names[m_random.below (m_names.size())];
        const Credential credential { CredentialKind::key, sender.m_organisation.m_keys.front() };
        const auto id = "q" + std::to_string (m_nextId++);
        m_sent[sender.m_organisation.m_name].push_back (
            { send (name, id, "/read/x", seconds (3), credential), now(), name });
    }

    /** @returns the greatest number of an organisation's runs in any window, over what is allowed in one */
    double worstWindow (const Organisation& organisation, Time since = {}) const
    {
        const auto allowed =
            (organisation.m_limit->m_perSecond * 5.0 + organisation.m_limit->m_burst) * (1.0 + overage) +
            slack;
        std::deque<Time> inWindow;
        std::size_t most = 0;

        for (const auto& ran : runs())
        {
            if (ran.m_dispatch.m_organisation != organisation.m_name || ran.m_at < since)
                continue;

            inWindow.push_back (ran.m_at);

            while (ran.m_at - inWindow.front() > window)
                inWindow.pop_front();

            most = std::max (most, inWindow.size());
        }

        return static_cast<double> (most) / allowed;
    }

    /** @returns the share of an organisation's requests since then that were refused for its limit */
    double refusedShare (const OrganisationName& name, Time since = {}) const
    {
        double refused = 0.0;
        double all = 0.0;

        for (const auto& sent : m_sent.at (name))
        {
            const auto found = answers().find (sent.m_ticket);

            if (sent.m_at < since || found == answers().end())
                continue;

            const auto reason = found->second.m_result.m_reason;
            all += 1.0;
            refused += reason == Reason::beyondLimit || reason == Reason::limitUnknown ? 1.0 : 0.0;
        }

        return refused / all;
    }

    /** Cuts the first so many nodes off from the others. */
    void split (std::size_t first)
    {
        for (std::size_t one = 0; one < first; ++one)
            for (std::size_t other = first; other < m_names.size(); ++other)
                cut (m_names[one], m_names[other]);
    }

    const InstanceName& homeOf (const OrganisationName& organisation) const
    {
        const auto* home = reducer (m_names.front()).relay().limits().homes().of (organisation);
        REQUIRE (home != nullptr);
        return home->m_member.m_id.m_instance;
    }

    struct SentRequest
    {
        Ticket m_ticket = 0;
        Time m_at;
        InstanceName m_node;
    };

    std::vector<InstanceName> m_names;
    std::vector<Sender> m_senders;
    std::map<OrganisationName, std::vector<SentRequest>> m_sent;
    ConfigurationVersion m_version = 0;
    unsigned m_nextId = 0;
    Random m_random;
};

/** A large organisation, a middling and a small one, which send their usual: a limit is 1.6 times that. */
void addUsualSenders (LimitFleet& fleet)
{
    fleet.addSender (makeOrganisation ("large", 160, 160), 100);
    fleet.addSender (makeOrganisation ("middling", 32, 32), 20);
    fleet.addSender (makeOrganisation ("small", 6.4, 6.4), 4);
    fleet.declare();
    fleet.run (seconds (4));
}

void checkWindows (const LimitFleet& fleet, Time since = {})
{
    for (const auto& sender : fleet.m_senders)
    {
        CAPTURE (sender.m_organisation.m_name);
        CHECK (fleet.worstWindow (sender.m_organisation, since) <= 1.0);
    }
}

} // namespace

TEST_CASE ("below their limits all are served, wherever requests arrive")
{
    for (const bool isUneven : { false, true })
    {
        CAPTURE (isUneven);
        LimitFleet fleet (68);
        addUsualSenders (fleet);
        fleet.load (seconds (15), isUneven);

        for (const auto& sender : fleet.m_senders)
        {
            CAPTURE (sender.m_organisation.m_name);
            CHECK (fleet.refusedShare (sender.m_organisation.m_name) <= 0.01);
        }
    }
}

TEST_CASE ("fixed shares refuse much of what lies below the limit")
{
    LimitFleet fleet (68, LimitSharing::fixedShares);
    addUsualSenders (fleet);
    fleet.load (seconds (15), true);
    CHECK (fleet.refusedShare ("large") > 0.2);
    checkWindows (fleet);
}

TEST_CASE ("one that sends many times its usual stays within its limit and is told when to return")
{
    for (const unsigned nodes : { 15U, 68U, 200U })
    {
        CAPTURE (nodes);
        LimitFleet fleet (nodes);
        addUsualSenders (fleet);
        fleet.load (seconds (2));
        const auto since = fleet.now();

        for (auto& sender : fleet.m_senders)
            sender.m_perSecond *= 7.5;

        fleet.load (seconds (12));
        checkWindows (fleet);

        // A limit of 1.6 times of what is 7.5 times: no less than that is let through.
        CHECK (fleet.refusedShare ("large", since) < 1.0 - 1.6 / 7.5 + 0.01);
        CHECK (fleet.refusedShare ("small", since) < 1.0 - 1.6 / 7.5 + 0.05);
        fleet.run (seconds (1));
        const auto& last = fleet.answers().at (fleet.m_sent.at ("large").back().m_ticket);
        CHECK (last.m_result.m_outcome == Outcome::notRun);
        CHECK (last.m_result.m_comeBack > Duration::zero());
    }
}

TEST_CASE ("the windows hold while a home is killed, frozen or cut off under a burst")
{
    enum class Trouble
    {
        killed,
        restarted,
        frozen,
        cutOff
    };

    for (const auto trouble : { Trouble::killed, Trouble::restarted, Trouble::frozen, Trouble::cutOff })
    {
        CAPTURE (static_cast<int> (trouble));
        LimitFleet fleet (40);
        addUsualSenders (fleet);

        for (auto& sender : fleet.m_senders)
            sender.m_perSecond *= 4.0;

        fleet.load (seconds (2));
        const auto home = fleet.homeOf ("large");

        if (trouble == Trouble::frozen)
            fleet.freeze (home, seconds (3));
        else if (trouble == Trouble::cutOff)
            for (const auto& name : fleet.m_names)
                fleet.cut (home, name);
        else
            fleet.kill (home);

        if (trouble == Trouble::restarted)
        {
            fleet.load (Milliseconds (300));
            fleet.start (home);
            fleet.announce (home);
        }

        const auto since = fleet.now();
        fleet.load (seconds (10));
        checkWindows (fleet);
        CHECK (fleet.refusedShare ("large", since) < 1.0 - 0.75 * 1.6 / 4.0);
    }
}

TEST_CASE ("two halves of a fleet that is split allow one limit together")
{
    struct Row
    {
        std::size_t m_part;
        Duration m_hotBefore; /**< the split: at 0 both halves have a whole burst left */
    };

    for (const auto& row :
         { Row { 12, seconds (6) }, Row { 20, seconds (6) }, Row { 20, {} }, Row { 12, {} } })
    {
        const auto part = row.m_part;
        CAPTURE (part);
        CAPTURE (row.m_hotBefore.count());
        LimitFleet fleet (40);
        addUsualSenders (fleet);
        fleet.load (seconds (2));

        for (auto& sender : fleet.m_senders)
            sender.m_perSecond *= 6.0;

        fleet.load (row.m_hotBefore);
        const auto splitAt = fleet.now();
        fleet.split (part);
        fleet.load (seconds (12));
        checkWindows (fleet);

        // Both go on: each half lets through what is its part, once it has noticed.
        CHECK (fleet.refusedShare ("large", splitAt + seconds (4)) < 1.0 - 0.8 * 1.6 / 6.0);

        fleet.healAll();
        fleet.load (seconds (8));
        checkWindows (fleet);
    }
}

TEST_CASE ("a lowered limit holds one window after it is known")
{
    LimitFleet fleet (40);
    addUsualSenders (fleet);
    fleet.load (seconds (4));

    for (auto& sender : fleet.m_senders)
    {
        auto& limit = *sender.m_organisation.m_limit;
        limit = { limit.m_perSecond / 8.0, limit.m_burst / 8.0 };
    }

    fleet.declare();
    const auto loweredAt = fleet.now();
    fleet.load (seconds (4));
    CHECK (fleet.refusedShare ("large", loweredAt) < 0.02); // the windows before still count
    fleet.load (seconds (12));
    checkWindows (fleet, loweredAt + window);
}

TEST_CASE ("a node without a home goes by half of its own part, and says that it does not know")
{
    LimitFleet fleet (10);
    addUsualSenders (fleet);
    const auto& alone = fleet.m_names.back();

    for (const auto& name : fleet.m_names)
        if (name != alone && name != "node-0") // its targets
            fleet.cut (alone, name);

    fleet.cut (alone, "node-0");
    fleet.run (Milliseconds (100));
    const Credential key { CredentialKind::key, "key-of-small" };
    const auto first = fleet.send (alone, "first", "/read/x", seconds (1), key);
    const auto second = fleet.send (alone, "second", "/read/x", seconds (1), key);
    fleet.run (seconds (2));
    CHECK (fleet.answers().at (first).m_result.m_reason != Reason::limitUnknown);
    CHECK (fleet.answers().at (second).m_result.m_reason == Reason::limitUnknown);
    CHECK (fleet.answers().at (second).m_result.m_outcome == Outcome::notRun);
}

TEST_CASE ("what is counted of organisations is no more than are declared")
{
    LimitFleet fleet (10);
    addUsualSenders (fleet);
    const auto& name = fleet.m_names.front();
    fleet.tell (name, PeerMessageReceived { 1, { fleet.m_names.back(), 1 }, LimitQuestion { 1, "nobody" } });
    fleet.load (seconds (2));
    std::uint64_t admitted = 0;
    std::uint64_t counted = 0;

    for (const auto& node : fleet.m_names)
    {
        CHECK (fleet.reducer (node).relay().limits().counts().size() <= 3);

        for (const auto& [organisation, count] : fleet.reducer (node).relay().limits().counts())
        {
            admitted += count.m_admitted;
            counted += count.m_counted;
        }
    }

    CHECK (admitted > 200);
    CHECK (admitted == counted);
    fleet.m_senders.pop_back();
    fleet.declare();
    fleet.run (seconds (1));
    CHECK (fleet.reducer (name).relay().limits().counts().count ("small") == 0);
}

TEST_CASE ("an organisation without a limit is asked nothing")
{
    LimitFleet fleet (10);
    fleet.addSender ({ "free", 0, std::nullopt, { "key-of-free" } }, 50);
    fleet.declare();
    fleet.run (seconds (1));
    fleet.load (seconds (2));
    CHECK (fleet.refusedShare ("free") == 0.0);
}

} // namespace plankledge::test
