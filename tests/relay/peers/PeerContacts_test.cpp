#include "plankledge_policy/relay/peers/PeerContacts.h"

#include <doctest/doctest.h>
#include <set>
#include <string>

namespace plankledge::test
{

namespace
{

const Time start { std::chrono::hours (1) };

Member makeMember (const std::string& name, const ZoneName& zone)
{
    return { { name, 1 }, "plans", zone, { name, 7000 }, MemberState::serving, 0 };
}

/** The view of a node of service "web" that knows nodes of service "plans" in two zones. */
struct View
{
    View (const std::string& name, unsigned inZone, unsigned elsewhere)
        : m_self (makeSelf (name))
        , m_peers (m_self)
        , m_contacts (m_self)
    {
        for (unsigned number = 0; number < inZone; ++number)
            addPeer ("own-" + std::to_string (number), "zone-a");

        for (unsigned number = 0; number < elsewhere; ++number)
            addPeer ("far-" + std::to_string (number), "zone-b");

        m_contacts.trackService ("plans", start);
    }

    static Member makeSelf (const std::string& name)
    {
        auto self = makeMember (name, "zone-a");
        self.m_service = "web";
        return self;
    }

    void addPeer (const std::string& name, const ZoneName& zone)
    {
        m_peers.addOrUpdate (makeMember (name, zone), PeerTable::Source::store);
    }

    std::set<InstanceName> subsetAt (Time now) const
    {
        std::set<InstanceName> names;

        for (const auto* peer : m_contacts.ofService ("plans", m_peers, now))
            names.insert (peer->m_member.m_id.m_instance);

        return names;
    }

    Member m_self;
    PeerTable m_peers;
    PeerContacts m_contacts;
};

std::size_t countZone (const std::set<InstanceName>& names, const std::string& prefix)
{
    std::size_t count = 0;

    for (const auto& name : names)
        count += name.starts_with (prefix) ? 1 : 0;

    return count;
}

struct SizeRow
{
    const char* m_name;
    unsigned m_inZone;
    unsigned m_elsewhere;
    std::size_t m_selectedInZone;
    std::size_t m_selectedElsewhere;
};

const SizeRow sizeRows[] = {
    { "few nodes: all are selected", 2, 3, 2, 3 },
    { "many nodes: most are selected in the own zone", 40, 80, 8, 4 },
    { "none in the own zone", 0, 80, 0, 12 },
    { "few in the own zone: the rest in other zones", 3, 80, 3, 9 },
    { "all in the own zone", 40, 0, 8, 0 },
};

} // namespace

TEST_CASE ("the subset of a service is bounded and prefers the own zone")
{
    for (const auto& row : sizeRows)
    {
        CAPTURE (row.m_name);
        const View view ("web-1", row.m_inZone, row.m_elsewhere);
        const auto subset = view.subsetAt (start);
        CHECK (countZone (subset, "own-") == row.m_selectedInZone);
        CHECK (countZone (subset, "far-") == row.m_selectedElsewhere);
    }
}

TEST_CASE ("every node of a service, including a new one, is in several subsets")
{
    std::map<InstanceName, unsigned> subsets;

    for (unsigned number = 0; number < 60; ++number)
    {
        View view ("web-" + std::to_string (number), 20, 20);
        view.addPeer ("own-new", "zone-a");

        for (const auto& name : view.subsetAt (start))
            ++subsets[name];
    }

    for (unsigned number = 0; number < 20; ++number)
        CHECK (subsets["own-" + std::to_string (number)] >= 10);

    CHECK (subsets["own-new"] >= 10);
}

TEST_CASE ("an unreachable peer is replaced in the subset until it is reachable again")
{
    View view ("web-1", 40, 0);
    const auto before = view.subsetAt (start);
    const auto gone = *before.begin();
    const auto later = start + std::chrono::seconds (3);

    for (const auto& name : before)
    {
        view.m_peers.onHelloSent (name, start);

        if (name != gone)
            view.m_peers.onFrameReceived ({ name, 1 }, later);
    }

    const auto after = view.subsetAt (later);
    CHECK (after.size() == before.size() + 1); // the unreachable peer is still contacted
    CHECK (after.contains (gone));

    view.m_peers.onFrameReceived ({ gone, 1 }, later);
    CHECK (view.subsetAt (later) == before);
}

namespace
{

/** Times of events at a peer, in milliseconds ago, and whether a hello is due. */
struct DueRow
{
    const char* m_name;
    int m_gate;
    int m_lastFrame;
    int m_unansweredHello; /**< 0: none */
    unsigned m_requestsInFlight;
    bool m_isDue;
    const char* m_zone = "zone-a"; /**< of the peer; this node is in zone-a */
    int m_sent = 60000;            /**< the last request sent to the peer */
};

const DueRow dueRows[] = {
    { "recent gate status", 300, 300, 0, 0, false },
    { "outdated gate status", 600, 100, 0, 0, true },
    { "requests in flight, no recent frame", 300, 300, 0, 1, true },
    { "requests in flight, recent frame", 300, 100, 0, 1, false },
    { "unanswered hello, sent recently", 900, 900, 100, 1, false },
    { "unanswered hello, due again", 2000, 2000, 800, 1, true },
    { "another zone, idle, recent gate status", 600, 600, 0, 0, false, "zone-b" },
    { "another zone, idle, outdated gate status", 2100, 2100, 0, 0, true, "zone-b" },
    { "another zone, in use, outdated gate status", 600, 100, 0, 0, true, "zone-b", 900 },
    { "another zone, request in flight, no recent frame", 300, 300, 0, 1, true, "zone-b", 300 },
};

} // namespace

TEST_CASE ("a hello is due to a peer without recent status, limited by the retry interval")
{
    const auto now = start + std::chrono::seconds (60);

    for (const auto& row : dueRows)
    {
        CAPTURE (row.m_name);
        Peer peer;
        peer.m_gateUpdatedAt = now - Milliseconds (row.m_gate);
        peer.m_lastFrameAt = now - Milliseconds (row.m_lastFrame);
        peer.m_callsAt = now;
        peer.m_member.m_zone = row.m_zone;
        peer.m_sentAt = now - Milliseconds (row.m_sent);
        peer.m_requestsInFlight = row.m_requestsInFlight;

        if (row.m_unansweredHello > 0)
        {
            peer.m_unansweredHelloAt = now - Milliseconds (row.m_unansweredHello);
            peer.m_lastHelloAt = *peer.m_unansweredHelloAt;
        }

        CHECK (PeerContacts::isHelloDue (peer, "zone-a", now) == row.m_isDue);
    }
}

// Guards against calls staying unknown for long after a start, when a peer has seen none at the first request
// for them.
TEST_CASE ("calls are requested from a peer at exponentially increasing intervals")
{
    View view ("asker", 1, 0);
    auto& peer = *view.m_peers.find ("own-0");
    std::vector<Duration> intervals;
    auto now = start;
    view.m_peers.onCalls ("own-0", now);

    while (intervals.size() < 6)
    {
        const auto receivedAt = now;

        while (! PeerContacts::areCallsDue (peer, now))
            now += Milliseconds (50);

        intervals.push_back (now - receivedAt);
        view.m_peers.onCalls ("own-0", now);
    }

    CHECK (intervals == std::vector<Duration> { Milliseconds (200), Milliseconds (400), Milliseconds (800),
                                                Milliseconds (1600), Milliseconds (2000),
                                                Milliseconds (2000) });
}

TEST_CASE ("a service that is no longer needed is dropped")
{
    View view ("web-1", 5, 0);
    CHECK (view.m_contacts.peersDueForHello (view.m_peers, start).size() == 5);
    CHECK (view.m_contacts.peersDueForHello (view.m_peers, start + std::chrono::seconds (61)).empty());
    CHECK (view.m_contacts.trackService ("plans", start + std::chrono::seconds (62)));
}

} // namespace plankledge::test
