#include "plankledge_policy/relay/limits/TokenBucket.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

const Time start { std::chrono::hours (1) };

} // namespace

TEST_CASE ("a bucket allows its level at once, and then the rate")
{
    const RequestLimit limit { 10, 5 };
    TokenBucket bucket (3, start);

    for (int request = 0; request < 3; ++request)
        CHECK (bucket.take (limit, 1.0, start) == Duration::zero());

    CHECK (bucket.take (limit, 1.0, start) == Milliseconds (100));
    CHECK (bucket.take (limit, 1.0, start + Milliseconds (60)) == Milliseconds (40));
    CHECK (bucket.take (limit, 1.0, start + Milliseconds (100)) == Duration::zero());
}

TEST_CASE ("after an idle period no more than the burst is allowed")
{
    const RequestLimit limit { 10, 5 };
    TokenBucket bucket (0, start);
    int within = 0;

    for (int request = 0; request < 20; ++request)
        within += bucket.take (limit, 1.0, start + std::chrono::minutes (1)) == Duration::zero() ? 1 : 0;

    CHECK (within == 5);
}

TEST_CASE ("a small share still allows single requests")
{
    const RequestLimit limit { 10, 5 };
    TokenBucket bucket (1, start);
    CHECK (bucket.take (limit, 0.01, start) == Duration::zero());
    CHECK (bucket.take (limit, 0.01, start) == std::chrono::seconds (10));
    CHECK (bucket.take (limit, 0.01, start + std::chrono::seconds (10)) == Duration::zero());
}

TEST_CASE ("a lowered limit is enforced at once")
{
    TokenBucket bucket (100, start);
    const RequestLimit lowered { 1, 2 };
    CHECK (bucket.take (lowered, 1.0, start) == Duration::zero());
    CHECK (bucket.level() == doctest::Approx (1.0));
}

TEST_CASE ("the retry delay is bounded even with a share of zero")
{
    TokenBucket bucket (0, start);
    CHECK (bucket.take ({ 10, 5 }, 0.0, start) == std::chrono::minutes (1));
}

} // namespace plankledge::test
