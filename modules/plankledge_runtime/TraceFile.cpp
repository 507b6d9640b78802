#include "plankledge_runtime/TraceFile.h"

#include "plankledge_core/Hash.h"
#include "plankledge_policy/Reducer.h"
#include "plankledge_wire/BoundedArchive.h"

namespace plankledge
{

namespace
{

constexpr std::uint32_t maxBlockBytes = 64U << 20U;

/** @returns false at the end of the file */
absl::StatusOr<bool> readBlock (std::ifstream& file, std::string& bytes)
{
    std::uint32_t length = 0;
    file.read (reinterpret_cast<char*> (&length), sizeof (length));

    if (file.gcount() == 0)
        return false;

    if (file.gcount() != sizeof (length) || length > maxBlockBytes)
        return absl::DataLossError ("truncated trace, or not a trace file");

    bytes.resize (length);
    file.read (bytes.data(), length);

    if (file.gcount() != static_cast<std::streamsize> (length))
        return absl::DataLossError ("truncated trace");

    return true;
}

template <class Block> absl::StatusOr<Block> decodeBlock (const std::string& bytes)
{
    try
    {
        Block block;
        BoundedInputArchive archive (bytes);
        archive (block);
        return block;
    }
    catch (const std::exception&)
    {
        return absl::DataLossError ("trace contains a block that cannot be decoded");
    }
}

} // namespace

//==============================================================================
std::uint64_t hashEffects (const Effects& effects)
{
    return hashText (encode (effects));
}

void TraceWriter::write (const TraceHeader& header)
{
    writeBlock (encode (header));
}

void TraceWriter::write (const TraceStep& step)
{
    writeBlock (encode (step));
}

void TraceWriter::writeBlock (const std::string& bytes)
{
    const auto length = static_cast<std::uint32_t> (bytes.size());
    m_file.write (reinterpret_cast<const char*> (&length), sizeof (length));
    m_file.write (bytes.data(), static_cast<std::streamsize> (bytes.size()));
    m_file.flush();
}

//==============================================================================
absl::StatusOr<ReplayReport> replayTrace (const std::string& path, const DeclarationsParser& parser)
{
    std::ifstream file (path, std::ios::binary);
    std::string bytes;
    const auto hasHeader = readBlock (file, bytes);

    if (! hasHeader.ok() || ! *hasHeader)
        return absl::DataLossError ("file contains no trace");

    const auto header = decodeBlock<TraceHeader> (bytes);

    if (! header.ok())
        return header.status();

    ReplayReport report;
    Reducer reducer (header->m_settings, parser);

    if (hashEffects (reducer.start (header->m_start)) != header->m_effectsHash)
        report.m_firstDifference = 0;

    for (;;)
    {
        const auto hasStep = readBlock (file, bytes);

        if (! hasStep.ok())
            return hasStep.status();

        if (! *hasStep)
            return report;

        const auto step = decodeBlock<TraceStep> (bytes);

        if (! step.ok())
            return step.status();

        const auto effects = reducer.apply (step->m_event);
        ++report.m_events;
        report.m_requests += std::holds_alternative<RequestReceived> (step->m_event.m_body) ? 1 : 0;
        report.m_effects += effects.size();

        if (! report.m_firstDifference.has_value() && hashEffects (effects) != step->m_effectsHash)
            report.m_firstDifference = report.m_events;
    }
}

} // namespace plankledge
