#include "plankledge_policy/relay/access/ConfigurationProof.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

const Time start { std::chrono::hours (1) };

Time after (int milliseconds)
{
    return start + Milliseconds (milliseconds);
}

} // namespace

TEST_CASE ("there is no proof without evidence")
{
    CHECK_FALSE (ConfigurationProof().provenAt().has_value());
}

TEST_CASE ("the newest evidence about the version in force or an earlier one is used")
{
    ConfigurationProof proof;
    proof.onInForce (4);
    proof.add (4, after (100));
    proof.add (3, after (200)); // nothing above 3 implies nothing above 4
    CHECK (proof.provenAt() == after (200));

    proof.add (4, after (150)); // out of order
    CHECK (proof.provenAt() == after (200));
}

TEST_CASE ("evidence about a later version is used only once that version is in force")
{
    ConfigurationProof proof;
    proof.onInForce (4);
    proof.add (4, after (100));
    proof.add (6, after (300));
    CHECK (proof.provenAt() == after (100));

    proof.onInForce (5);
    CHECK (proof.provenAt() == after (100));

    proof.onInForce (6);
    CHECK (proof.provenAt() == after (300));
}

} // namespace plankledge::test
