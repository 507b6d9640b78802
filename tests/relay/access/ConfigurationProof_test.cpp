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

TEST_CASE ("nothing is proven at first")
{
    CHECK_FALSE (ConfigurationProof().provenAt().has_value());
}

TEST_CASE ("the newest evidence about the version in force, or one before it, counts")
{
    ConfigurationProof proof;
    proof.onInForce (4);
    proof.add (4, after (100));
    proof.add (3, after (200)); // nothing above 3, so nothing above 4
    CHECK (proof.provenAt() == after (200));

    proof.add (4, after (150)); // an answer that was overtaken
    CHECK (proof.provenAt() == after (200));
}

TEST_CASE ("evidence about a version that is not here says nothing until it is")
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
