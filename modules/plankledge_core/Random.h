#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>

namespace plankledge
{

//==============================================================================
/** A seeded pseudorandom number generator (Boost.Random): the same seed gives the same sequence on every
    instance. */
class Random
{
public:
    //==============================================================================
    explicit Random (std::uint64_t seed)
        : m_engine (seed)
    {
    }

    /** @returns a uniformly distributed integer in [0, bound); 0 if the bound is 0 */
    std::uint64_t below (std::uint64_t bound)
    {
        if (bound == 0)
            return 0;

        return boost::random::uniform_int_distribution<std::uint64_t> (0, bound - 1) (m_engine);
    }

private:
    //==============================================================================
    boost::random::mt19937_64 m_engine;
};

} // namespace plankledge
