/*  Guards against connection buffers that keep memory while idle, and against lost or reordered bytes. */

#include "plankledge_runtime/ReadBuffer.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using detail::ReadBuffer;

/** Reads as much of the text as fits into the prepared region.

    @returns the number of bytes read
*/
std::size_t readSome (ReadBuffer& buffer, std::string_view text)
{
    const auto region = buffer.prepare();
    const auto size = std::min (region.size(), text.size());
    std::copy_n (text.begin(), size, region.begin());
    buffer.commit (size);
    return size;
}

std::string textOf (std::size_t length)
{
    std::string text;

    for (std::size_t index = 0; index < length; ++index)
        text += static_cast<char> ('a' + index % 23);

    return text;
}

} // namespace

//==============================================================================
TEST_CASE ("small frames never allocate more than twice the minimum read size")
{
    ReadBuffer buffer;

    for (int frame = 0; frame < 1000; ++frame)
    {
        REQUIRE (readSome (buffer, textOf (300)) == 300);
        CHECK (buffer.bytes() == textOf (300));
        buffer.consume (300);
        CHECK (buffer.bytes().empty());
    }

    CHECK (buffer.capacity() <= 2 * ReadBuffer::minReadSize);
}

TEST_CASE ("a large frame is read completely in few reads, and its memory is freed")
{
    ReadBuffer buffer;
    const auto frame = textOf (1U << 20U);
    int reads = 0;

    for (std::size_t read = 0; read < frame.size(); ++reads)
        read += readSome (buffer, std::string_view (frame).substr (read));

    CHECK (buffer.bytes() == frame);
    CHECK (reads <= 22); // 2 KB to 32 KB once each, then 64 KB
    buffer.consume (frame.size());
    CHECK (buffer.capacity() <= 2 * ReadBuffer::minReadSize);
}

TEST_CASE ("consuming a frame keeps the start of the next one, wherever reads end")
{
    const auto text = textOf (20000);

    for (const std::size_t consumedPerRead : { 1U, 7U, 300U, 1999U })
    {
        ReadBuffer buffer;
        std::string received;

        for (std::size_t read = 0; received.size() < text.size();)
        {
            read += readSome (buffer, std::string_view (text).substr (read));
            const auto part = std::min (consumedPerRead, buffer.bytes().size());
            received += buffer.bytes().substr (0, part);
            buffer.consume (part);
        }

        CHECK (received == text);
        CHECK (buffer.bytes().empty());
    }
}

} // namespace plankledge::test
