#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/RelayMessages.h"
#include "plankledge_core/Time.h"

#include <compare>
#include <cstdint>
#include <vector>

/**
    Messages between nodes about targets that ended while requests were running, so that
    every node can identify requests that crash targets.

    They carry ages instead of timestamps, since the clocks of instances are not comparable.

    @see PeerMessage
*/
namespace plankledge
{

/** Identifies one crash of a target. */
struct CrashId
{
    NodeId m_reporter; /**< the target's node */
    std::uint64_t m_number = 0;

    auto operator<=> (const CrashId&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_reporter, m_number); }
};

/** Reports that a target ended while it ran requests; sent again when the report changes. */
struct CrashReport
{
    CrashId m_id;
    Duration m_age {};                     /**< since the target ended, at the time of sending */
    bool m_isWithdrawn = false;            /**< the target turned out to be running */
    std::vector<ContentDigest> m_suspects; /**< requests that it was running and had never completed before */

    auto operator<=> (const CrashReport&) const = default;

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_id, m_age, m_isWithdrawn, m_suspects);
    }
};

/** Reports that a target completed a suspect request: earlier crashes had another cause. */
struct CrashAcquittal
{
    ContentDigest m_content = 0;
    Duration m_age {}; /**< since the request completed, at the time of sending */

    auto operator<=> (const CrashAcquittal&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_content, m_age); }
};

/** Sent to peers when there are new reports, and in response to CrashPull. */
struct CrashUpdate
{
    std::vector<CrashReport> m_crashes;
    std::vector<CrashAcquittal> m_acquittals;

    auto operator<=> (const CrashUpdate&) const = default;

    bool isEmpty() const noexcept { return m_crashes.empty() && m_acquittals.empty(); }

    template <class Archive> void serialize (Archive& archive) { archive (m_crashes, m_acquittals); }
};

/** Requests all crash reports and acquittals that the receiver stores. */
struct CrashPull
{
    std::uint64_t m_knownState = 0; /**< the sender's PeerStatus::m_crashes */

    auto operator<=> (const CrashPull&) const = default;

    template <class Archive> void serialize (Archive& archive) { archive (m_knownState); }
};

} // namespace plankledge
