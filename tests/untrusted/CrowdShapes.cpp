#include "untrusted/CrowdShapes.h"

#include "plankledge_wire/FrameCodec.h"
#include <cstring>
#include <fmt/format.h>

namespace plankledge::test
{

std::string chunk (std::size_t size)
{
    return fmt::format ("{:x}\r\n{}\r\n", size, std::string (size, 'c'));
}

std::string chunkedHead (const std::string& method, const std::string& path)
{
    return CrowdScenario::makeHead (method, path) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string headWithLength (std::size_t length)
{
    return CrowdScenario::makeHead ("POST", "/read/x") + fmt::format ("Content-Length: {}\r\n\r\n", length);
}

CrowdShape endlessTrailers (const std::string& head)
{
    const std::string field = "X-Field: " + std::string (1000, 'x') + "\r\n";
    return { head + chunk (4) + "0\r\n", field, endlessBytes / field.size(), {} };
}

CrowdShape endlessExtension (const std::string& head)
{
    const std::string piece (1000, 'e');
    return { head + "4;x=", piece, endlessBytes / piece.size(), {} };
}

CrowdShape unfinishedChunks (const std::string& head, std::size_t chunkSize)
{
    return { head, chunk (chunkSize), CrowdScenario::maxBody / chunkSize - 1, {} };
}

CrowdShape bodyWithLength (std::size_t missingBytes, std::size_t length)
{
    const std::string piece (largeChunk, 'b');
    return { headWithLength (length), piece, length / largeChunk - 1,
             std::string (largeChunk - missingBytes, 'b') };
}

CrowdShape unfinishedFrame()
{
    std::string head (frameHeaderBytes, '\0');
    std::memcpy (head.data(), &maxFrameBytes, sizeof (maxFrameBytes));
    const std::string piece (largeChunk, 'f');
    return { head, piece, maxFrameBytes / piece.size() - 1, {} };
}

} // namespace plankledge::test
