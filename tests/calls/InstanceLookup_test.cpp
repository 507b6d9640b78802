/*  A request for a service of which its node knows no instance: the platform's list is read again before the
   request is refused. In virtual time. */

#include "support/Rig.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

constexpr const char* declarations = R"({"services":{
    "search":{"slots":50,"operations":{"parcels":
        {"class":"normal","repeatable":true,"longest_wait_ms":3000,"retry_budget":0}}},
    "plans":{"slots":50,"operations":{"deliver":
        {"class":"normal","repeatable":true,"longest_wait_ms":3000,"retry_budget":0}}}}})";

/** A node that has been running for a while and knows no instance of the service plans. */
struct LookupSite : Rig
{
    explicit LookupSite (std::uint64_t seed)
        : Rig (seed)
    {
        declare (declarations);
        add ("s1", "search");
        run (seconds (5) + Milliseconds (static_cast<std::int64_t> (random().below (2000))));
        m_onEffect = [this] (const InstanceName& instance, const Effect& effect) {
            m_listReads += instance == "s1" && std::holds_alternative<FetchList> (effect) ? 1 : 0;
        };
    }

    Ticket send() { return request ("s1", makeRepeatable ("plans", "deliver")); }

    int m_listReads = 0;
};

} // namespace

//==============================================================================
// Guards against refusals by a node that is ready and read the list before the instances of a service were in
// it: every request for that service was refused until the next periodic read.
TEST_CASE ("a request for a service whose instances appeared after the last read of the list is served")
{
    int served = 0;

    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        CAPTURE (seed);
        Rig rig (seed);
        rig.declare (declarations);

        // Nodes that start together: the first list that each of them reads is empty.
        for (const auto& [instance, service] : { std::pair ("s1", "search"), std::pair ("p1", "plans") })
        {
            rig.add (instance, service);
            rig.run (Milliseconds (static_cast<std::int64_t> (rig.random().below (100))));
        }

        rig.run (rig.m_listAppearLag + Milliseconds (100));
        const auto ticket = rig.request ("s1", makeRepeatable ("plans", "deliver"));
        rig.run (Milliseconds (200));
        const auto* answer = rig.answer (ticket);
        served += answer != nullptr && answer->m_result.m_outcome == Outcome::completed ? 1 : 0;
    }

    CHECK (served == 50);
}

// Guards against a read of the list for each refused request, and against requests that are held although the
// list has been read.
TEST_CASE (
    "requests for a service without instances are refused once the list has been read, at a bounded rate")
{
    LookupSite site (3);
    std::vector<Ticket> tickets;

    for (int index = 0; index < 200; ++index)
    {
        tickets.push_back (site.send());
        site.run (Milliseconds (10));
    }

    site.run (Milliseconds (300));

    for (const auto ticket : tickets)
    {
        const auto* answer = site.answer (ticket);
        REQUIRE (answer != nullptr);
        CHECK (answer->m_result.m_outcome == Outcome::notRun);
        CHECK (answer->m_result.m_reason == Reason::noReachableInstance);
        CHECK (answer->m_result.m_retryAfter > Duration::zero());
    }

    // In 2.3 s: one read each 250 ms, and the periodic ones.
    CHECK (site.m_listReads <= 13);
}

// Guards against requests that are held for as long as the platform does not respond.
TEST_CASE ("requests are refused within a second if the list can't be read")
{
    LookupSite site (5);
    site.m_isListDown = true;
    const auto ticket = site.send();
    site.run (Milliseconds (900));
    CHECK (site.answer (ticket) == nullptr);
    site.run (Milliseconds (200));
    REQUIRE (site.answer (ticket) != nullptr);
    CHECK (site.answer (ticket)->m_result.m_outcome == Outcome::notRun);
    CHECK (site.answer (ticket)->m_result.m_reason == Reason::noReachableInstance);
}

// Guards against an answer to a request that has ended while it was held.
TEST_CASE ("a request that ends while it is held is answered once")
{
    LookupSite site (7);
    site.m_isListDown = true;
    auto request = makeRepeatable ("plans", "deliver");
    request.m_timeout = Milliseconds (100);
    const auto ticket = site.request ("s1", request);
    int answers = 0;
    site.m_onAnswer = [&] (const InstanceName&, Ticket answered, const CallResult&) {
        answers += answered == ticket ? 1 : 0;
    };
    site.run (Milliseconds (150));
    REQUIRE (site.answer (ticket) != nullptr);
    CHECK (site.answer (ticket)->m_result.m_reason == Reason::deadlineExceeded);
    site.m_isListDown = false;
    site.run (seconds (3));
    CHECK (answers == 1);
}

} // namespace plankledge::test
