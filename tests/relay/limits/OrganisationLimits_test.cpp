/*  Runs a fleet in virtual time. Guards against organisations that exceed their limit over all nodes in any
    window, and against refusals below the limit. */

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

/** Nodes in three zones, a quarter of them with targets of "plans", and organisations that send to random
    nodes. */
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

    /** Adds an organisation that sends at the given rate. Its limit is in force after declare(). */
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

    /** Sends all requests to random nodes, or a third of them to the first node if uneven. */
    void load (Duration duration, bool isUneven = false)
    {
        constexpr Duration step = Milliseconds (5);

        for (const auto end = now() + duration; now() < end; run (step))
        {
            for (const auto& sender : m_senders)
            {
                const auto wanted = sender.m_perSecond * 0.005;
                const auto whole = static_cast<unsigned> (wanted);

                // The fractional request of a step is sent at random.
                for (auto left = whole + (withProbability (wanted - whole) ? 1U : 0U); left > 0; --left)
                    sendOne (sender, isUneven);
            }
        }
    }

    bool withProbability (double probability)
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

    /** @returns the greatest number of an organisation's runs in any window, divided by the number allowed */
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

    /** @returns the fraction of an organisation's requests since the given time that its limit refused */
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

    /** Partitions the first nodes from the others. */
    void partition (std::size_t first)
    {
        for (std::size_t one = 0; one < first; ++one)
            for (std::size_t other = first; other < m_names.size(); ++other)
                addPartition (m_names[one], m_names[other]);
    }

    const InstanceName& homeOf (const OrganisationName& organisation) const
    {
        const auto* home = reducer (m_names.front()).relay().limits().homes().homeOf (organisation);
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

/** A large, a medium and a small organisation with limits of 1.6 times what they send. */
void addDefaultSenders (LimitFleet& fleet)
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

TEST_CASE ("requests below the limit are allowed, whichever nodes they arrive at")
{
    for (const bool isUneven : { false, true })
    {
        CAPTURE (isUneven);
        LimitFleet fleet (68);
        addDefaultSenders (fleet);
        fleet.load (seconds (15), isUneven);

        for (const auto& sender : fleet.m_senders)
        {
            CAPTURE (sender.m_organisation.m_name);
            CHECK (fleet.refusedShare (sender.m_organisation.m_name) <= 0.01);
        }
    }
}

TEST_CASE ("fixed shares refuse many requests below the limit if the load is uneven")
{
    LimitFleet fleet (68, LimitSharing::fixedShares);
    addDefaultSenders (fleet);
    fleet.load (seconds (15), true);
    CHECK (fleet.refusedShare ("large") > 0.2);
    checkWindows (fleet);
}

TEST_CASE ("an organisation that sends far more than its limit is kept within it and gets a retry delay")
{
    for (const unsigned nodes : { 15U, 68U, 200U })
    {
        CAPTURE (nodes);
        LimitFleet fleet (nodes);
        addDefaultSenders (fleet);
        fleet.load (seconds (2));
        const auto since = fleet.now();

        for (auto& sender : fleet.m_senders)
            sender.m_perSecond *= 7.5;

        fleet.load (seconds (12));
        checkWindows (fleet);

        // The limit is 1.6 times the default load, and 7.5 times that load is sent: the limit is used up
        // fully.
        CHECK (fleet.refusedShare ("large", since) < 1.0 - 1.6 / 7.5 + 0.01);
        CHECK (fleet.refusedShare ("small", since) < 1.0 - 1.6 / 7.5 + 0.05);
        fleet.run (seconds (1));
        const auto& last = fleet.answers().at (fleet.m_sent.at ("large").back().m_ticket);
        CHECK (last.m_result.m_outcome == Outcome::notRun);
        CHECK (last.m_result.m_retryAfter > Duration::zero());
    }
}

TEST_CASE ("limits are kept while a home is killed, restarted, frozen or isolated under overload")
{
    enum class Fault
    {
        killed,
        restarted,
        frozen,
        isolated
    };

    for (const auto fault : { Fault::killed, Fault::restarted, Fault::frozen, Fault::isolated })
    {
        CAPTURE (static_cast<int> (fault));
        LimitFleet fleet (40);
        addDefaultSenders (fleet);

        for (auto& sender : fleet.m_senders)
            sender.m_perSecond *= 4.0;

        fleet.load (seconds (2));
        const auto home = fleet.homeOf ("large");

        if (fault == Fault::frozen)
            fleet.freeze (home, seconds (3));
        else if (fault == Fault::isolated)
            for (const auto& name : fleet.m_names)
                fleet.addPartition (home, name);
        else
            fleet.kill (home);

        if (fault == Fault::restarted)
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

TEST_CASE ("the two sides of a network partition together stay within one limit")
{
    struct Row
    {
        std::size_t m_part;
        Duration m_overloadBefore; /**< the partition; at 0 both sides still have their full burst */
    };

    for (const auto& row :
         { Row { 12, seconds (6) }, Row { 20, seconds (6) }, Row { 20, {} }, Row { 12, {} } })
    {
        const auto part = row.m_part;
        CAPTURE (part);
        CAPTURE (row.m_overloadBefore.count());
        LimitFleet fleet (40);
        addDefaultSenders (fleet);
        fleet.load (seconds (2));

        for (auto& sender : fleet.m_senders)
            sender.m_perSecond *= 6.0;

        fleet.load (row.m_overloadBefore);
        const auto partitionedAt = fleet.now();
        fleet.partition (part);
        fleet.load (seconds (12));
        checkWindows (fleet);

        // Each side allows its share of the limit once it has detected the partition.
        CHECK (fleet.refusedShare ("large", partitionedAt + seconds (4)) < 1.0 - 0.8 * 1.6 / 6.0);

        fleet.healAll();
        fleet.load (seconds (8));
        checkWindows (fleet);
    }
}

TEST_CASE ("a lowered limit is enforced one window after it came into force")
{
    LimitFleet fleet (40);
    addDefaultSenders (fleet);
    fleet.load (seconds (4));

    for (auto& sender : fleet.m_senders)
    {
        auto& limit = *sender.m_organisation.m_limit;
        limit = { limit.m_perSecond / 8.0, limit.m_burst / 8.0 };
    }

    fleet.declare();
    const auto loweredAt = fleet.now();
    fleet.load (seconds (4));
    CHECK (fleet.refusedShare ("large", loweredAt) < 0.02); // the previous limit is still enforced
    fleet.load (seconds (12));
    checkWindows (fleet, loweredAt + window);
}

TEST_CASE (
    "a node without a reachable home enforces half of its own share, and reports that the limit is unknown")
{
    LimitFleet fleet (10);
    addDefaultSenders (fleet);
    const auto& alone = fleet.m_names.back();

    for (const auto& name : fleet.m_names)
        if (name != alone && name != "node-0") // its targets
            fleet.addPartition (alone, name);

    fleet.addPartition (alone, "node-0");
    fleet.run (Milliseconds (100));
    const Credential key { CredentialKind::key, "key-of-small" };
    const auto first = fleet.send (alone, "first", "/read/x", seconds (1), key);
    const auto second = fleet.send (alone, "second", "/read/x", seconds (1), key);
    fleet.run (seconds (2));
    CHECK (fleet.answers().at (first).m_result.m_reason != Reason::limitUnknown);
    CHECK (fleet.answers().at (second).m_result.m_reason == Reason::limitUnknown);
    CHECK (fleet.answers().at (second).m_result.m_outcome == Outcome::notRun);
}

TEST_CASE ("counts are kept for declared organisations only")
{
    LimitFleet fleet (10);
    addDefaultSenders (fleet);
    const auto& name = fleet.m_names.front();
    fleet.applyEvent (name,
                      PeerMessageReceived { 1, { fleet.m_names.back(), 1 }, LimitQuery { 1, "nobody" } });
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

TEST_CASE ("the requests of an organisation without a limit are never refused")
{
    LimitFleet fleet (10);
    fleet.addSender ({ "free", 0, std::nullopt, { "key-of-free" } }, 50);
    fleet.declare();
    fleet.run (seconds (1));
    fleet.load (seconds (2));
    CHECK (fleet.refusedShare ("free") == 0.0);
}

} // namespace plankledge::test
