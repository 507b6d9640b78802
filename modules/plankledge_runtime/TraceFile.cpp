#include "plankledge_runtime/TraceFile.h"

#include "plankledge_core/Hash.h"
#include "plankledge_policy/Reducer.h"
#include "plankledge_wire/BoundedArchive.h"

namespace plankledge
{

namespace
{

constexpr std::uint32_t maximumPartBytes = 64U << 20U;

/** @returns false at the end of the file */
absl::StatusOr<bool> readPart (std::ifstream& file, std::string& bytes)
{
    std::uint32_t length = 0;
    file.read (reinterpret_cast<char*> (&length), sizeof (length));

    if (file.gcount() == 0)
        return false;

    if (file.gcount() != sizeof (length) || length > maximumPartBytes)
        return absl::DataLossError ("trace is cut short or not a trace");

    bytes.resize (length);
    file.read (bytes.data(), length);

    if (file.gcount() != static_cast<std::streamsize> (length))
        return absl::DataLossError ("trace is cut short");

    return true;
}

template <class Part> absl::StatusOr<Part> decodePart (const std::string& bytes)
{
    try
    {
        Part part;
        BoundedInputArchive archive (bytes);
        archive (part);
        return part;
    }
    catch (const std::exception&)
    {
        return absl::DataLossError ("trace has a part that can't be read");
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
    writePart (encode (header));
}

void TraceWriter::write (const TraceStep& step)
{
    writePart (encode (step));
}

void TraceWriter::writePart (const std::string& bytes)
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
    const auto hasHeader = readPart (file, bytes);

    if (! hasHeader.ok() || ! *hasHeader)
        return absl::DataLossError ("no trace in this file");

    const auto header = decodePart<TraceHeader> (bytes);

    if (! header.ok())
        return header.status();

    ReplayReport report;
    Reducer reducer (header->m_settings, parser);

    if (hashEffects (reducer.start (header->m_start)) != header->m_effectsHash)
        report.m_firstDifference = 0;

    for (;;)
    {
        const auto hasStep = readPart (file, bytes);

        if (! hasStep.ok())
            return hasStep.status();

        if (! *hasStep)
            return report;

        const auto step = decodePart<TraceStep> (bytes);

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
