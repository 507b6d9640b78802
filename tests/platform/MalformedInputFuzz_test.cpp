/*  Fuzzes the decoders of announcements, store records and pages, configurations and frames with random
    mutations of valid inputs. Nothing may crash, and whatever is accepted must be valid. */

#include "plankledge_formats/PlatformJson.h"
#include "plankledge_policy/relay/gate/LocalTarget.h"
#include "plankledge_wire/FrameCodec.h"
#include "platform/HttpCodec.h"
#include "platform/RoutesJson.h"
#include "platform/StoreClient.h"

#include <chrono>
#include <cstdlib>
#include <doctest/doctest.h>
#include <random>

namespace plankledge::test
{

using namespace plankledge::platform;

namespace
{

/** Inputs per test; PLANKLEDGE_FUZZ_TRIALS overrides it. */
constexpr unsigned defaultTrials = 40000;

unsigned trials()
{
    const auto* text = std::getenv ("PLANKLEDGE_FUZZ_TRIALS");
    return text != nullptr ? static_cast<unsigned> (std::strtoul (text, nullptr, 10)) : defaultTrials;
}

const ExpectedTarget expectedTarget { "huvo", "a", "10.128.0.9" };

const std::string announcement =
    R"({"service":"huvo","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":168,)"
    R"("state":"ready","coldLeftS":1.5,"callSeq":4,"born":1764722400123})";

const std::string routes =
    R"({"version":"r7","limits":{"maxHeaderBytes":16384},"listeners":[{"host":"a.example","ruleSet":[{"name":"r1",)"
    R"("kind":"idempotent","targetLatencyS":1.5,"priority":2,"match":{"pathPrefix":"/p/"},"action":{)"
    R"("weightedClusters":[{"service":"huvo","weight":90},{"service":"lovo","weight":10}],"timeoutS":1.5,)"
    R"("maxAttempts":2}}]}],"clusters":[{"name":"huvo"},{"name":"lovo"}]})";

const std::string organisations =
    R"({"version":"r7","tenants":[{"name":"pulo780","apiKeys":["28m82thhkmgj","gjy5rcpihhac"],"priority":1,)"
    R"("ratePerS":311,"burst":311},{"name":"pulo781","apiKeys":["k3"],"ratePerS":1.5,"burst":2}],)"
    R"("listeners":[{"host":"a.example","ruleSet":[{"name":"r1","public":false,"match":{"pathPrefix":"/p/"},)"
    R"("action":{"service":"huvo"}}]}]})";

/** Mutates a text at up to four places: replaces a byte, deletes or duplicates a part, truncates the text,
    or replaces a part by a JSON fragment. */
class Mutator
{
public:
    explicit Mutator (std::uint32_t seed)
        : m_random (seed)
    {
    }

    std::string mutate (std::string text)
    {
        for (auto count = 1 + below (4); count > 0 && ! text.empty(); --count)
            mutateOnce (text);

        return text;
    }

private:
    std::size_t below (std::size_t bound) { return m_random() % bound; }

    void mutateOnce (std::string& text)
    {
        static const char* const fragments[] = { "-1",      "1e300", "null", "true", "\"\"",
                                                 "{}",      "[]",    "\xff", "0.5",  "9223372036854775808",
                                                 "\\u0000", "," };
        const auto at = below (text.size());
        const auto length = 1 + below (12);

        switch (below (5))
        {
        case 0:
            text[at] = static_cast<char> (below (256));
            return;
        case 1:
            text.erase (at, length);
            return;
        case 2:
            text.insert (at, text.substr (at, length));
            return;
        case 3:
            text.resize (at);
            return;
        default:
            text.replace (at, length, fragments[below (std::size (fragments))]);
        }
    }

    std::minstd_rand m_random;
};

} // namespace

//==============================================================================
TEST_CASE ("a mutated announcement is rejected, or it is valid and from this node's target")
{
    Mutator mutator (1);
    unsigned accepted = 0;

    for (unsigned trial = 0; trial < trials(); ++trial)
    {
        HttpRequest request;
        request.m_method = "PUT";
        request.m_target = "/-/instances/i-1";
        request.m_body = mutator.mutate (announcement);
        CAPTURE (request.m_body.view());
        const auto decoded = decodeAnnouncement (request, expectedTarget);
        const auto* announced = std::get_if<TargetAnnounced> (&decoded);

        if (announced == nullptr)
            continue;

        ++accepted;
        REQUIRE (announced->m_service == expectedTarget.m_service);
        REQUIRE (announced->m_endpoint.m_ip == expectedTarget.m_ip);
        REQUIRE (announced->m_endpoint.m_port > 0);
        REQUIRE (announced->m_slots >= 1);
        REQUIRE (announced->m_slots <= 1000000);
        REQUIRE (announced->m_startedAt.value_or (Duration::zero()) >= Duration::zero());
        REQUIRE (announced->m_state != AnnouncedState::gone);
    }

    MESSAGE ("accepted: " << accepted << " of " << trials());
    CHECK (accepted > 0);
}

TEST_CASE ("mutated member records are rejected, or have an instance name and a port")
{
    Mutator mutator (2);
    const auto record =
        encodeJoinRecord ({ { "node-1", 7 }, "plans", "a", { "10.0.0.1", 7000 }, MemberState::serving, 0 });

    for (unsigned trial = 0; trial < trials(); ++trial)
    {
        const auto text = mutator.mutate (record);
        CAPTURE (text);
        const auto decoded = decodeJoinRecord ({ 1, text });

        if (! decoded.ok())
            continue;

        REQUIRE_FALSE (decoded->m_member.m_id.m_instance.empty());
        REQUIRE (decoded->m_member.m_endpoint.m_port > 0);
    }
}

TEST_CASE ("mutated store pages are rejected, or skip the records that can't be decoded")
{
    Mutator mutator (3);
    const auto read = std::string (7, '\0') + "\2" + std::string (8, '\0') + encodeRecord ("key", "value") +
                      encodeRecord ("other", "");
    const std::string listing =
        R"({"items":[{"tlsKey":"a","value":"eA==","offset":1},{"tlsKey":"b","value":"","offset":3}],"endKey":4})";

    for (unsigned trial = 0; trial < trials(); ++trial)
    {
        if (const auto page = decodeRead (mutator.mutate (read), 5); page.ok())
            REQUIRE (page->m_records.size() <= 8);

        if (const auto page = decodeListing (mutator.mutate (listing)); page.ok())
            REQUIRE (page->m_records.size() <= 8);
    }
}

TEST_CASE ("mutated configurations are rejected, or have a version")
{
    Mutator mutator (4);
    REQUIRE (parseRoutes (routes).ok());

    for (unsigned trial = 0; trial < trials() / 4; ++trial)
    {
        const auto text = mutator.mutate (routes);
        CAPTURE (text);
        const auto table = parseRoutes (text);

        if (table.ok())
            REQUIRE (table->version() > 0);
    }
}

TEST_CASE ("mutated organisations are rejected, or have names and no key in common")
{
    Mutator mutator (6);
    REQUIRE (parseRoutes (organisations).ok());

    for (unsigned trial = 0; trial < trials() / 4; ++trial)
    {
        const auto text = mutator.mutate (organisations);
        CAPTURE (text);
        const auto table = parseRoutes (text);

        if (! table.ok())
            continue;

        for (const auto& organisation : table->organisations().all())
        {
            REQUIRE_FALSE (organisation.m_name.empty());
            REQUIRE (organisation.m_limit.value_or (RequestLimit {}).m_perSecond >= 0.0);
            REQUIRE (organisation.m_limit.value_or (RequestLimit {}).m_burst >= 0.0);

            for (const auto& key : organisation.m_keys)
                REQUIRE (*table->organisations().findByKey (key) == organisation);
        }
    }
}

TEST_CASE ("mutated credentials are never forwarded to a target")
{
    Mutator mutator (7);

    for (unsigned trial = 0; trial < trials(); ++trial)
    {
        HttpRequest request;
        request.m_headers = { { "Request-Id", "id" },
                              { "Authorization", mutator.mutate ("Bearer 28m82thhkmgjqnirth5m") },
                              { "Tenant-Id", mutator.mutate ("liar") } };
        const auto decoded = decodeRequest (request);
        const auto& received = std::get<RelayRequestReceived> (decoded);
        REQUIRE (received.m_content.m_headers.empty());
        REQUIRE (received.m_credential.m_key.size() <= 512);
    }
}

TEST_CASE ("mutated frames about members and the store are rejected, or are valid")
{
    Mutator mutator (5);
    const Member member { { "node-1", 7 }, "plans", "a", { "10.0.0.1", 7000 }, MemberState::serving, 0 };
    GateStatus gate;
    gate.m_rate = GateRate { 17.1, 8.5, -2.0 };
    gate.m_restriction = TargetRestriction { { "target-1", Milliseconds (9) }, 17.1, true };
    const PeerMessage messages[] = {
        PeerHello { member, 3, gate, {}, true, { { 1, 17 }, true, true } },
        PeerStatus { 3, gate, { { "route", Milliseconds (5) } }, std::nullopt, {} },
        MembersPull { { 1, 12 } },
        MembersUpdate { { member }, { "node-2" }, { 1, 18 } },
        ProofQuery { Milliseconds (5) },
        ProofAnswer { Milliseconds (5), 3, Milliseconds (9) },
        LimitQuery { 7, "pulo780" },
        LimitAnswer { 7, LimitVerdict::beyond, Milliseconds (4) },
        CrashUpdate { { { { { "node-1", 7 }, 3 }, Milliseconds (5), false, { 1, 2 } } },
                      { { 7, Milliseconds (5) } } },
        CrashPull { 7 },
        RelayBodyPart { 7, "bytes" }
    };

    for (unsigned trial = 0; trial < trials(); ++trial)
    {
        const auto& message = messages[trial % std::size (messages)];
        const auto bytes = encodeFrame ({ protocolVersion, { "node-1", 7 }, "node-3", message });
        const auto frame = decodeFrame (mutator.mutate (bytes.substr (frameHeaderBytes)), "node-3");

        if (! frame.ok())
            continue;

        if (const auto* update = std::get_if<MembersUpdate> (&frame->m_message))
            REQUIRE (update->m_members.size() <= 1);
    }
}

TEST_CASE ("encoding and decoding frames about members and the store yields the same frames")
{
    const Member member { { "node-1", 7 }, "plans", "a", { "10.0.0.1", 7000 }, MemberState::serving, 0 };
    const Frame frames[] = {
        { protocolVersion, { "node-1", 7 }, "node-3", MembersUpdate { { member }, { "node-2" }, { 1, 18 } } },
        { protocolVersion, { "node-1", 7 }, "node-3", MembersPull { { 1, 12 } } },
        { protocolVersion,
          { "node-1", 7 },
          "node-3",
          PeerHello { member, 3, {}, {}, true, { { 1, 17 }, true, false } } }
    };

    for (const auto& frame : frames)
    {
        const auto decoded = decodeFrame (encodeFrame (frame).substr (frameHeaderBytes), "node-3");
        REQUIRE (decoded.ok());
        CHECK (*decoded == frame);
    }
}

} // namespace plankledge::test
