/*  Guards against a revoked key being used for longer than the revocation bound, and against nodes with a
    current configuration rejecting keys. Runs in virtual time. */

#include "support/StoreFleet.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

constexpr Duration bound = seconds (5);
const Credential surveyors { CredentialKind::key, "key-1" };
const Credential council { CredentialKind::key, "key-2" };

RelaySettings boundedSettings()
{
    RelaySettings settings;
    settings.m_revocationBound = bound;
    return settings;
}

RouteTable tableWith (ConfigurationVersion version, const std::vector<std::string>& surveyorsKeys)
{
    auto read = makeRoute ("read", "plans");
    read.m_isPublic = false;
    return makeTable (version, { read, makeRoute ("page", "web") },
                      Organisations ({ { "surveyors", 0, std::nullopt, surveyorsKeys },
                                       { "council", 0, std::nullopt, { "key-2" } } }));
}

/** A fleet whose nodes all receive requests with two keys, one of which can be revoked. */
struct KeyFleet : StoreFleet
{
    struct Sent
    {
        std::string m_id;
        Time m_at;
    };

    explicit KeyFleet (unsigned nodes, unsigned zones)
        : StoreFleet (nodes, zones, boundedSettings())
    {
        write (tableWith (1, { "key-1" }));
        run (seconds (5));
    }

    /** Sends a request with each key to each node every 100 ms, and one to a public route every 500 ms. */
    void load (Duration duration)
    {
        const auto end = now() + duration;

        for (unsigned round = 0; now() < end; ++round)
        {
            for (const auto& name : names())
            {
                sendOne (name, "/read/x", surveyors, m_surveyors);
                sendOne (name, "/read/x", council, m_council);

                if (round % 5 == 0)
                    sendOne (name, "/page/x", {}, m_public);
            }

            run (Milliseconds (100));
        }
    }

    void sendOne (const InstanceName& name, const char* path, const Credential& credential,
                  std::map<InstanceName, std::vector<std::pair<Ticket, Sent>>>& sent)
    {
        const auto id = "r" + std::to_string (m_nextId++);
        sent[name].emplace_back (send (name, id, path, seconds (2), credential), Sent { id, now() });
    }

    /** @returns the longest time after the revocation at which a request that ran with the key was sent */
    Duration latestUse (Time revokedAt) const
    {
        Duration latest {};

        for (const auto& [name, requests] : m_surveyors)
            for (const auto& [ticket, request] : requests)
                if (! runsOf (request.m_id).empty())
                    latest = std::max (latest, request.m_at - revokedAt);

        return latest;
    }

    /** @returns the completed share of a node's requests with the other key sent since the given time */
    double servedShare (const InstanceName& name, Time since) const
    {
        double served = 0.0;
        double all = 0.0;

        for (const auto& [ticket, request] : m_council.at (name))
        {
            if (request.m_at < since)
                continue;

            const auto found = answers().find (ticket);
            all += 1.0;
            served += found != answers().end() && found->second.m_result.m_outcome == Outcome::completed
                          ? 1.0
                          : 0.0;
        }

        return served / all;
    }

    std::map<InstanceName, std::vector<std::pair<Ticket, Sent>>> m_surveyors;
    std::map<InstanceName, std::vector<std::pair<Ticket, Sent>>> m_council;
    std::map<InstanceName, std::vector<std::pair<Ticket, Sent>>> m_public;
    unsigned m_nextId = 0;
};

} // namespace

TEST_CASE ("a revoked key is rejected within 500 ms if no node is partitioned")
{
    KeyFleet fleet (15, 3);
    fleet.load (seconds (1));
    fleet.write (tableWith (2, {}));
    const auto revokedAt = fleet.now();
    fleet.load (seconds (4));
    CHECK (fleet.latestUse (revokedAt) <= Milliseconds (500));

    for (const auto& name : fleet.names())
    {
        CAPTURE (name);
        CHECK (fleet.servedShare (name, revokedAt) == 1.0);
    }
}

TEST_CASE ("nodes rejected by the store renew their proof through peers")
{
    KeyFleet fleet (30, 3);
    fleet.load (seconds (1));

    for (std::size_t number = 0; number < fleet.names().size(); number += 3)
        fleet.rejectCallsOf (fleet.names()[number]); // all nodes of one zone

    const auto since = fleet.now();
    fleet.load (seconds (8));
    fleet.write (tableWith (2, {}));
    const auto revokedAt = fleet.now();
    fleet.load (seconds (5));
    CHECK (fleet.latestUse (revokedAt) < bound);

    for (const auto& name : fleet.names())
    {
        CAPTURE (name);
        CHECK (fleet.servedShare (name, since) > 0.99);
    }
}

TEST_CASE ("only nodes partitioned from both the store and their peers stop accepting keys")
{
    KeyFleet fleet (30, 3);
    fleet.load (seconds (1));
    std::vector<InstanceName> partitioned;

    for (std::size_t number = 0; number < fleet.names().size(); ++number)
        if (number % 3 == 1)
            partitioned.push_back (fleet.names()[number]);

    for (const auto& one : partitioned)
    {
        fleet.rejectCallsOf (one);

        for (const auto& other : fleet.names())
            if (std::find (partitioned.begin(), partitioned.end(), other) == partitioned.end())
                fleet.addPartition (one, other);
    }

    fleet.write (tableWith (2, {}));
    const auto revokedAt = fleet.now();
    fleet.load (seconds (10));
    CHECK (fleet.latestUse (revokedAt) < bound);
    CHECK (fleet.latestUse (revokedAt) > seconds (2)); // accepted until the proof expires

    CHECK (fleet.servedShare (partitioned.front(), revokedAt + bound) == 0.0);
    CHECK (fleet.reducer (partitioned.front()).relay().isReady());
    CHECK (fleet.servedShare (fleet.names().front(), revokedAt) > 0.95);

    SUBCASE ("rejected requests have not run and are retryable, and public routes are still served")
    {
        const auto& [ticket, request] = fleet.m_council.at (partitioned.front()).back();
        const auto& answer = fleet.answers().at (ticket).m_result;
        CHECK (answer.m_outcome == Outcome::notRun);
        CHECK (answer.m_reason == Reason::keyUnproven);
        CHECK (answer.m_retryAfter > Duration::zero());
        CHECK (fleet.runsOf (request.m_id).empty());

        const auto& open = fleet.m_public.at (partitioned.front()).back();
        CHECK (fleet.answers().at (open.first).m_result.m_outcome == Outcome::completed);
    }

    SUBCASE ("partitioned nodes accept keys again within two seconds of the end of the partition")
    {
        fleet.healAll();
        fleet.acceptAllCalls();
        fleet.load (seconds (2));
        const auto since = fleet.now();
        fleet.load (seconds (1));
        CHECK (fleet.servedShare (partitioned.front(), since) == 1.0);
    }
}

TEST_CASE ("no key is accepted for longer than the bound during a store outage, and all are afterwards")
{
    KeyFleet fleet (15, 3);
    fleet.load (seconds (1));
    fleet.setDown (true);
    const auto since = fleet.now();
    fleet.load (seconds (9));
    CHECK (fleet.servedShare (fleet.names().front(), since + bound) == 0.0);

    SUBCASE ("nodes restarted during the outage accept no keys")
    {
        for (const auto& name : fleet.names())
            fleet.restart (name);

        const auto restartedAt = fleet.now();
        fleet.load (seconds (3));
        CHECK (fleet.servedShare (fleet.names().front(), restartedAt) == 0.0);
    }

    fleet.setDown (false);
    fleet.load (seconds (3));
    const auto after = fleet.now();
    fleet.load (seconds (1));

    for (const auto& name : fleet.names())
    {
        CAPTURE (name);
        CHECK (fleet.servedShare (name, after) > 0.99);
    }
}

/*  Guards against a store restored from an older backup being taken as proof: a revocation that the backup
    lacks would be undone. */
TEST_CASE ("a store restored without the newest version proves nothing until that version is written again")
{
    KeyFleet fleet (15, 3);
    fleet.load (seconds (1));
    fleet.write (tableWith (2, { "key-1" }));
    fleet.load (seconds (1));
    fleet.restoreBackup (0, 1);
    fleet.load (bound + seconds (1));

    for (const auto& name : fleet.names())
        CHECK_FALSE (fleet.reducer (name).relay().keys().isProven (fleet.now()));

    fleet.write (tableWith (2, { "key-1" }));
    fleet.load (seconds (3));

    for (const auto& name : fleet.names())
        CHECK (fleet.reducer (name).relay().keys().isProven (fleet.now()));
}

TEST_CASE ("a node resuming from a pause neither accepts nor runs requests on an expired proof")
{
    KeyFleet fleet (6, 1);
    fleet.load (seconds (1));
    const auto& frozen = fleet.names().front();
    const auto beforePause = fleet.now();
    fleet.load (Milliseconds (100));
    fleet.freeze (frozen, seconds (8));
    fleet.write (tableWith (2, {}));
    const auto revokedAt = fleet.now();
    fleet.load (seconds (9));
    CHECK (fleet.latestUse (revokedAt) < bound);
    CHECK (fleet.latestUse (beforePause) > Duration::zero());
}

TEST_CASE ("proofs cost few store calls, and none without a revocation bound")
{
    const auto callsOf = [] (const RelaySettings& settings) {
        StoreFleet fleet (68, 3, settings);
        fleet.write (tableWith (1, { "key-1" }));
        fleet.run (seconds (10));
        const auto before = fleet.calls();
        fleet.run (seconds (30));
        Duration oldest {};
        for (const auto& name : fleet.names())
            oldest = std::max (oldest,
                               fleet.reducer (name).relay().keys().age (fleet.now()).value_or (seconds (99)));
        MESSAGE (fleet.following().size(), " followers, oldest proof ", oldest.count());
        return fleet.calls() - before;
    };

    const auto bounded = callsOf (boundedSettings());
    const auto unbounded = callsOf ({});
    CHECK (unbounded <= 75); // three primary followers
    CHECK (bounded <= 110);
}

TEST_CASE ("the age of an answer includes the round trip")
{
    RelayRig rig;
    rig.settings().m_revocationBound = bound;
    rig.add ("one", "web");
    rig.publish (tableWith (1, { "key-1" }));
    const auto askedAt = rig.now();
    rig.run (seconds (2));
    rig.applyEvent ("one", PeerMessageReceived {
                               0, { "two", 1 }, ProofAnswer { askedAt.time_since_epoch(), 1, seconds (1) } });
    CHECK (rig.reducer ("one").relay().keys().age (rig.now()) == seconds (3));

    SUBCASE ("implausible times are ignored")
    {
        for (const auto& answer : { ProofAnswer { (rig.now() + seconds (9)).time_since_epoch(), 1, {} },
                                    ProofAnswer { rig.now().time_since_epoch(), 1, -seconds (9) },
                                    ProofAnswer { Duration::min(), 1, Duration::max() } })
            rig.applyEvent ("one", PeerMessageReceived { 0, { "two", 1 }, answer });

        CHECK (rig.reducer ("one").relay().keys().age (rig.now()) == seconds (3));
    }
}

TEST_CASE ("an unreadable configuration proves nothing")
{
    RelayRig rig;
    rig.settings().m_revocationBound = bound;
    rig.add ("one", "web");
    rig.publish (tableWith (1, { "key-1" }));
    rig.applyEvent ("one", RoutesConfirmed { rig.now().time_since_epoch() });
    CHECK (rig.reducer ("one").relay().keys().isProven (rig.now()));

    rig.run (seconds (1));
    rig.applyEvent ("one", RoutesRead { "spoiled" });
    rig.applyEvent ("one", RoutesConfirmed { rig.now().time_since_epoch() });
    CHECK (rig.reducer ("one").relay().keys().age (rig.now()) == seconds (1));
}

} // namespace plankledge::test
