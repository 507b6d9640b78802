#pragma once

#include "plankledge_core/Time.h"

#include <compare>
#include <cstddef>

namespace plankledge
{

/** What a client may send and how long it may take, as configured by operators. The defaults hold until a
    configuration is known. */
struct ClientLimits
{
    std::size_t m_headerBytes = 16U << 10U; /**< size of a header section */
    std::size_t m_bodyBytes = 1U << 20U;
    Duration m_headerTimeout = std::chrono::seconds (30); /**< from the first byte of a header section to its
                                                             end */
    Duration m_idleTimeout = std::chrono::seconds (120);  /**< for a connection without a request, and between
                                                             two reads of a body */

    auto operator<=> (const ClientLimits&) const = default;
};

} // namespace plankledge
