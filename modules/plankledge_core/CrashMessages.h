#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/RelayMessages.h"
#include "plankledge_core/Time.h"

#include <compare>
#include <cstdint>
#include <vector>

/**
    What nodes tell each other about targets that ended with requests running, so that a
    request which crashes whoever runs it is known everywhere.

    Ages are passed on instead of times, since the clocks of two instances never meet.

    @see PeerMessage
*/
namespace plankledge
{

/** Names one crash of a target. */
struct CrashId
{
    NodeId m_reporter; /**< the node beside the target */
    std::uint64_t m_number = 0;

    auto operator<=> (const CrashId&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_reporter, m_number); }
};

/** A target ended while it ran requests; told again where more is known of it. */
struct CrashReport
{
    CrashId m_id;
    Duration m_age {};                     /**< since it ended, when this was sent */
    bool m_isWithdrawn = false;            /**< the target was seen to live after all */
    std::vector<ContentDigest> m_suspects; /**< of what it ran, and had not run to an end before */

    auto operator<=> (const CrashReport&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_id, m_age, m_isWithdrawn, m_suspects);
    }
};

/** A target ran a suspect to its end and lived: the crashes before that had another cause. */
struct CrashAcquittal
{
    ContentDigest m_content = 0;
    Duration m_age {}; /**< since it ended, when this was sent */

    auto operator<=> (const CrashAcquittal&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_content, m_age); }
};

/** Told to peers when it is new, and in answer to CrashPull. */
struct CrashUpdate
{
    std::vector<CrashReport> m_crashes;
    std::vector<CrashAcquittal> m_acquittals;

    auto operator<=> (const CrashUpdate&) const = default;

    bool isEmpty() const noexcept { return m_crashes.empty() && m_acquittals.empty(); }

    template <class Archive> void serialize (Archive& archive) { archive (m_crashes, m_acquittals); }
};

/** Asks for all that the receiver knows of crashes. */
struct CrashPull
{
    std::uint64_t m_have = 0; /**< the asker's PeerStatus::m_crashes */

    auto operator<=> (const CrashPull&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_have); }
};

} // namespace plankledge
