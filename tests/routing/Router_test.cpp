/*  Ejection of failing instances and their return. In virtual time. */

#include "plankledge_policy/routing/Router.h"

#include "support/Rig.h"
#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

constexpr const char* declarations = R"({"services":{"lodgement":{"slots":10,"operations":{"lodge":
    {"class":"critical","repeatable":false,"longest_wait_ms":2000,"retry_budget":1,"record_window_ms":8000}}}}})";

const Time start { std::chrono::hours (1) };

Member memberOf (const InstanceName& instance, Incarnation incarnation)
{
    Member member;
    member.m_id = { instance, incarnation };
    member.m_service = "lodgement";
    member.m_zone = "a";
    return member;
}

} // namespace

//==============================================================================
TEST_CASE ("an ejected instance gets calls as soon as a new incarnation is known")
{
    Router router (memberOf ("self", 1));

    for (int failure = 0; failure < 5; ++failure)
        router.onUnreachable (memberOf ("other", 1).m_id, start);

    CHECK_FALSE (router.isUsable (memberOf ("other", 1).m_id, start + std::chrono::seconds (7)));
    CHECK (router.isUsable (memberOf ("other", 2).m_id, start));

    // The ejection time of the new incarnation starts from the base, not from the doubled value.
    router.onUnreachable (memberOf ("other", 2).m_id, start);
    CHECK_FALSE (router.isUsable (memberOf ("other", 2).m_id, start + Milliseconds (499)));
    CHECK (router.isUsable (memberOf ("other", 2).m_id, start + Milliseconds (500)));
}

TEST_CASE ("a late failure of an earlier incarnation does not eject the new one for longer")
{
    Router router (memberOf ("self", 1));
    router.onUnreachable (memberOf ("other", 2).m_id, start);
    router.onUnreachable (memberOf ("other", 1).m_id, start + Milliseconds (400));
    CHECK_FALSE (router.isUsable (memberOf ("other", 2).m_id, start + Milliseconds (499)));
    CHECK (router.isUsable (memberOf ("other", 2).m_id, start + Milliseconds (500)));
}

TEST_CASE ("keyed requests reach their candidates soon after both have restarted, despite earlier ejections")
{
    Rig rig (1);
    rig.declare (declarations);

    for (const auto* instance : { "l1", "l2", "l3" })
        rig.add (instance, "lodgement");

    rig.run (std::chrono::seconds (5));
    rig.kill ("l1");
    rig.kill ("l2");

    // Each failed call doubles the ejection time of its instance.
    for (int number = 0; number < 20; ++number)
    {
        rig.request ("l3", makeNonRepeatable (fmt::format ("away-{}", number), 1, Duration::zero()));
        rig.run (Milliseconds (100));
    }

    rig.restart ("l1");
    rig.restart ("l2");
    rig.run (Milliseconds (400));

    for (int number = 0; number < 10; ++number)
    {
        const auto key = fmt::format ("key-{}", number);
        CAPTURE (key);
        const auto ticket = rig.request ("l3", makeNonRepeatable (key, 1, Duration::zero()));
        rig.run (Milliseconds (50));
        REQUIRE (rig.answer (ticket) != nullptr);
        CHECK (rig.answer (ticket)->m_result.m_outcome == Outcome::completed);
    }
}

} // namespace plankledge::test
