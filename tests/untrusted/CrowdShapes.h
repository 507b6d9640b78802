#pragma once

#include "untrusted/CrowdScenario.h"

/** What the connections of crowds send. */
namespace plankledge::test
{

/** What a connection that sends without end sends at most, in bytes; a quarter of a small machine's memory.
 */
inline constexpr std::size_t endlessBytes = 16U << 20U;

inline constexpr std::size_t largeChunk = 64U << 10U;
inline constexpr std::size_t tinyChunk = 16;

/** @returns an encoded chunk */
std::string chunk (std::size_t size);

/** @returns a header section of a request with a chunked body */
std::string chunkedHead (const std::string& method = "POST", const std::string& path = "/read/x");

/** @returns a header section of a request with a body of this length, in bytes */
std::string headWithLength (std::size_t length);

/** @returns a request whose trailer section does not end */
CrowdShape endlessTrailers (const std::string& head);

/** @returns a request whose first chunk has an extension that does not end */
CrowdShape endlessExtension (const std::string& head);

/** @returns a request with a body in chunks that stops before its last one */
CrowdShape unfinishedChunks (const std::string& head, std::size_t chunkSize);

/** @returns a request with a body of the largest size, of which the last bytes may be missing

    @param length   announced length of the body, in bytes; a multiple of largeChunk
*/
CrowdShape bodyWithLength (std::size_t missingBytes, std::size_t length = CrowdScenario::maxBody);

/** @returns a frame of the largest size that stops before its end */
CrowdShape unfinishedFrame();

} // namespace plankledge::test
