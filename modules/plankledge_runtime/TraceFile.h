#pragma once

#include "plankledge_policy/Effects.h"
#include "plankledge_policy/NodeSettings.h"
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <fstream>
#include <optional>
#include <string>

namespace plankledge
{

/** One step of a recorded run of a node: an event and the hash of its effects. */
struct TraceStep
{
    Event m_event;
    std::uint64_t m_effectsHash = 0;

    template <class Archive> void serialize (Archive& archive) { archive (m_event, m_effectsHash); }
};

/** The first block of a trace. */
struct TraceHeader
{
    std::uint32_t m_version = 1;
    NodeSettings m_settings;
    Time m_start;
    std::uint64_t m_effectsHash = 0; /**< of the effects of Reducer::start() */

    template <class Archive> void serialize (Archive& archive)
    {
        archive (m_version, m_settings, m_start, m_effectsHash);
    }
};

/** @returns a hash of the encoded effects */
std::uint64_t hashEffects (const Effects& effects);

//==============================================================================
/** Writes a trace: a sequence of blocks, each prefixed with its length in 4 bytes. */
class TraceWriter
{
public:
    //==============================================================================
    explicit TraceWriter (const std::string& path)
        : m_file (path, std::ios::binary | std::ios::trunc)
    {
    }

    bool isOpen() const { return m_file.is_open(); }
    void write (const TraceHeader& header);
    void write (const TraceStep& step);

private:
    //==============================================================================
    void writeBlock (const std::string& bytes);

    std::ofstream m_file;
};

//==============================================================================
/** The result of replaying a trace. */
struct ReplayReport
{
    std::uint64_t m_events = 0;
    std::uint64_t m_requests = 0; /**< events that are requests of callers */
    std::uint64_t m_effects = 0;
    std::optional<std::uint64_t> m_firstDifference; /**< first event whose effects differ; 0: the start */
};

/** Applies a trace's events to a new reducer and compares the effects.

    @returns the report, or an error if the file is truncated or invalid
*/
absl::StatusOr<ReplayReport> replayTrace (const std::string& path, const DeclarationsParser& parser);

} // namespace plankledge
