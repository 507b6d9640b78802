#include "platform/StoreEdge.h"
#include "support/StoreStandin.h"

#include <chrono>
#include <doctest/doctest.h>
#include <map>

namespace plankledge::test
{

using namespace plankledge::platform;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* topicName = "keyed.test";

/** Runs the context until the condition holds, for 10 s at most.

    @returns whether it holds
*/
bool runUntil (boost::asio::io_context& context, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + seconds (10);

    while (! condition() && std::chrono::steady_clock::now() < end)
        context.run_one_for (milliseconds (5));

    return condition();
}

//==============================================================================
/** Follows a topic, and checks of each confirmation that no record is missing that was written before the
   time it confirms. The values of a key are rising numbers. */
struct CheckedFollower
{
    explicit CheckedFollower (int keys)
    {
        for (int key = 0; key < keys; ++key)
            write (key);

        m_topic.follow ({}, {});
    }

    void write (int key)
    {
        m_writes.push_back ({ Time (BootClock::now()), std::to_string (key), ++m_lastValue });
        m_store.put (topicName, std::to_string (key), std::to_string (m_lastValue));
    }

    void onConfirmed (Time provenAt)
    {
        ++m_confirmations;
        m_provenAt = provenAt;

        for (const auto& write : m_writes)
            m_isRecordMissing |= write.m_at < provenAt && m_delivered[write.m_key] < write.m_value;
    }

    bool isUpToDate()
    {
        return std::all_of (m_writes.begin(), m_writes.end(), [this] (const Write& write) {
            return m_delivered[write.m_key] >= write.m_value;
        });
    }

    struct Write
    {
        Time m_at;
        std::string m_key;
        int m_value = 0;
    };

    boost::asio::io_context m_context;
    StoreStandin m_store { m_context };
    StoreClient m_client { m_context, m_store.endpoint() };
    std::vector<Write> m_writes;
    std::map<std::string, int> m_delivered;
    int m_lastValue = 0;
    unsigned m_confirmations = 0;
    std::optional<Time> m_provenAt;
    bool m_isRecordMissing = false;
    KeyedTopic m_topic { m_context,
                         m_client,
                         topicName,
                         {},
                         { [this] (const KeyedPage& page, const StorePosition&) {
                              for (const auto& record : page.m_records)
                                  m_delivered[record.m_key] = std::stoi (record.m_value);
                          },
                           [] (const absl::Status&) {},
                           [this] (Time provenAt) { onConfirmed (provenAt); } } };
};

} // namespace

//==============================================================================
// Guards against a node that takes the first part of what it missed for all of it.
TEST_CASE ("a response that holds only some of the records before the end confirms nothing")
{
    CheckedFollower follower (1);
    REQUIRE (runUntil (follower.m_context, [&] { return follower.m_confirmations > 0; }));
    follower.m_store.setFault (StoreStandin::Fault::unavailable);

    for (int count = 0; count < 10; ++count)
        follower.write (0);

    follower.m_context.run_for (milliseconds (50));
    follower.m_store.setFault (StoreStandin::Fault::truncatedReads);
    const auto before = follower.m_confirmations;
    CHECK (runUntil (follower.m_context, [&] { return follower.m_confirmations > before; }));
    CHECK (follower.isUpToDate());
    CHECK_FALSE (follower.m_isRecordMissing);
}

// Guards against a node that never confirms anything, since the topic has always grown by the next response.
TEST_CASE ("reads confirm the end that they stated once it is reached, while the topic grows")
{
    constexpr int backlog = 10;
    constexpr unsigned callCount = 60;
    CheckedFollower follower (2);
    REQUIRE (runUntil (follower.m_context, [&] { return follower.m_confirmations > 0; }));
    follower.m_store.setFault (StoreStandin::Fault::unavailable);

    for (int count = 0; count < backlog; ++count)
        follower.write (0);

    follower.m_context.run_for (milliseconds (50));
    follower.m_store.setFault (StoreStandin::Fault::truncatedReads);
    unsigned calls = 0;
    unsigned confirmedAfter = 0;
    follower.m_store.setCallHook ([&] (const std::string&) {
        if (++calls <= callCount)
            follower.write (1);
    });
    const auto before = follower.m_confirmations;
    CHECK (runUntil (follower.m_context, [&] {
        if (confirmedAfter == 0 && follower.m_confirmations > before)
            confirmedAfter = calls;

        return calls >= callCount;
    }));
    CHECK (confirmedAfter >= static_cast<unsigned> (backlog));
    CHECK (confirmedAfter <= 2U * backlog);
    CHECK (follower.m_confirmations - before >= callCount / (2U * backlog));
    CHECK_FALSE (follower.m_isRecordMissing);
}

// Guards against records that are skipped since the next read starts from the stated end.
TEST_CASE ("a response without records skips none, although it states that there are some")
{
    CheckedFollower follower (1);
    REQUIRE (runUntil (follower.m_context, [&] { return follower.m_confirmations > 0; }));
    follower.m_store.setFault (StoreStandin::Fault::emptyReads);
    follower.write (0);
    follower.m_context.run_for (seconds (1));
    CHECK (follower.m_client.calls() < 20);
    follower.m_store.setFault (StoreStandin::Fault::none);
    follower.write (0);
    CHECK (runUntil (follower.m_context, [&] { return follower.isUpToDate(); }));
    CHECK_FALSE (follower.m_isRecordMissing);
}

// Guards against a listing that confirms what was written while its later pages were read.
TEST_CASE ("a listing confirms the time of its first page, and a key changed behind it is read later")
{
    CheckedFollower follower (8);
    unsigned pages = 0;
    follower.m_store.setResponseDelay (milliseconds (20));
    follower.m_store.setCallHook ([&] (const std::string& target) {
        if (target.starts_with ("/-/log-newest") && ++pages > 1)
            follower.write (0); // the key's page has been read
    });
    REQUIRE (runUntil (follower.m_context, [&] { return follower.m_confirmations > 0; }));
    CHECK (pages > 2);
    CHECK_FALSE (follower.isUpToDate());
    CHECK (*follower.m_provenAt < follower.m_writes.back().m_at);
    CHECK (runUntil (follower.m_context, [&] {
        return follower.isUpToDate() && *follower.m_provenAt > follower.m_writes.back().m_at;
    }));
    CHECK_FALSE (follower.m_isRecordMissing);
}

// Guards against the part of a listing before an unreadable record being taken for all of it.
TEST_CASE ("a page of a listing is the last one only if it says so")
{
    const auto page = decodeListing (
        R"({"items":[{"tlsKey":"a","value":"eA==","offset":1},{}],"endKey":4,"morePages":true})");
    REQUIRE (page.ok());
    CHECK_FALSE (page->m_isLast);
    CHECK (page->m_lastKey == "a");

    for (const auto* text :
         { R"({"items":[{}],"endKey":4,"morePages":true})", R"({"items":[],"endKey":4,"morePages":true})",
           R"({"items":[],"endKey":4,"morePages":"true"})" })
    {
        CAPTURE (text);
        CHECK_FALSE (decodeListing (text).ok());
    }
}

//==============================================================================
namespace
{

constexpr Duration revocationBound = seconds (1);
constexpr ConfigurationVersion firstVersion = 3;

/** A node without peers, which can learn of a configuration from the store alone. Each version of the
    configuration revokes the keys of the one before. */
struct LoneNode
{
    LoneNode()
    {
        publish (firstVersion);
        m_node.addEdge (handlerOf (m_edge));
        m_node.addEdge ([] (const Effect&) { return true; });
        m_node.start();
    }

    void publish (ConfigurationVersion version)
    {
        m_published.emplace_back (BootClock::now(), version);
        m_store.put ("keyed.op", "config", std::to_string (version));
    }

    const RelayDecisions& relay() const { return m_node.reducer().relay(); }
    bool acceptsKeys() const { return relay().keys().isProven (BootClock::now()); }

    bool acceptsKeysOf (ConfigurationVersion version) const
    {
        return relay().routes().version() == version && acceptsKeys();
    }

    /** @returns whether keys are accepted that were revoked longer ago than the bound */
    bool acceptsRevokedKeys() const
    {
        const auto now = BootClock::now();
        return acceptsKeys() &&
               std::any_of (m_published.begin(), m_published.end(), [&] (const auto& published) {
                   return published.second > relay().routes().version() &&
                          published.first < now - revocationBound;
               });
    }

    static NodeSettings nodeSettings()
    {
        NodeSettings settings;
        settings.m_self = { { "node-1", 7 }, "plans", "a", { "127.0.0.1", 1 }, MemberState::serving, 0 };
        return settings;
    }

    static RelaySettings relaySettings()
    {
        RelaySettings settings;
        settings.m_revocationBound = revocationBound;
        return settings;
    }

    boost::asio::io_context m_context;
    StoreStandin m_store { m_context };
    Logger m_logger { "node-1", Severity::error };
    std::vector<std::pair<Time, ConfigurationVersion>> m_published;
    Node m_node { m_context,
                  std::make_unique<Reducer> (nodeSettings(), relaySettings(),
                                             [] (const std::string& text) -> absl::StatusOr<RouteTable> {
                                                 return RouteTable (
                                                     std::stoul (text), {},
                                                     Organisations (std::vector<Organisation>()));
                                             }),
                  m_logger };
    StoreEdge m_edge { m_context, m_node, m_store.endpoint(), "node-1" };
};

struct CatchUpRow
{
    const char* m_name;
    milliseconds m_responseDelay;
    bool m_growsMeanwhile; /**< another writer appends a record with each read */
};

const CatchUpRow catchUpRows[] = { { "fast store", milliseconds (0), false },
                                   { "slow store", milliseconds (80), false },
                                   { "slow store that grows", milliseconds (15), true } };

} // namespace

// Guards against a node that was cut off and accepts a revoked key again before it has read the revocation.
TEST_CASE ("a node that reads the configurations it missed accepts no key until it has read the newest")
{
    constexpr ConfigurationVersion missed = 20;

    for (const auto& row : catchUpRows)
    {
        CAPTURE (std::string (row.m_name));
        LoneNode node;
        REQUIRE (runUntil (node.m_context, [&] { return node.acceptsKeysOf (firstVersion); }));
        node.m_store.setFault (StoreStandin::Fault::unavailable);

        for (ConfigurationVersion version = 1; version <= missed; ++version)
            node.publish (firstVersion + version);

        REQUIRE (runUntil (node.m_context, [&] { return ! node.acceptsKeys(); }));
        node.m_context.run_for (milliseconds (300));
        node.m_store.setResponseDelay (row.m_responseDelay);
        node.m_store.setFault (StoreStandin::Fault::truncatedReads);
        node.m_store.setCallHook ([&] (const std::string& target) {
            if (row.m_growsMeanwhile && target.starts_with ("/-/log-read?topic=keyed.op"))
                node.m_store.put ("keyed.op", "other", "x");
        });
        unsigned revokedAccepted = 0;
        const bool isReopened = runUntil (node.m_context, [&] {
            revokedAccepted += node.acceptsRevokedKeys() ? 1 : 0;
            return node.acceptsKeysOf (firstVersion + missed);
        });
        CHECK (isReopened);
        CHECK (revokedAccepted == 0);

        // The proof stays valid while the topic grows.
        unsigned rejected = 0;
        const auto end = std::chrono::steady_clock::now() + 2 * revocationBound;
        CHECK (runUntil (node.m_context, [&] {
            rejected += node.acceptsKeys() ? 0 : 1;
            return std::chrono::steady_clock::now() >= end;
        }));
        CHECK (rejected == 0);
    }
}

} // namespace plankledge::test
