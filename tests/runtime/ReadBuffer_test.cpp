/*  What a connection's buffer holds on to, and that no byte is lost or moved on its way. */

#include "plankledge_runtime/ReadBuffer.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using detail::ReadBuffer;

/** Reads as much of the text as there is room for.

    @returns how much was read
*/
std::size_t readSome (ReadBuffer& buffer, std::string_view text)
{
    const auto room = buffer.room();
    const auto size = std::min (room.size(), text.size());
    std::copy_n (text.begin(), size, room.begin());
    buffer.onRead (size);
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
TEST_CASE ("a connection with small frames never holds more than the smallest room")
{
    ReadBuffer buffer;

    for (int frame = 0; frame < 1000; ++frame)
    {
        REQUIRE (readSome (buffer, textOf (300)) == 300);
        CHECK (buffer.bytes() == textOf (300));
        buffer.drop (300);
        CHECK (buffer.bytes().empty());
    }

    CHECK (buffer.size() <= 2 * ReadBuffer::smallestRoom);
}

TEST_CASE ("a large frame comes whole in few reads, and its room is given back")
{
    ReadBuffer buffer;
    const auto frame = textOf (1U << 20U);
    int reads = 0;

    for (std::size_t read = 0; read < frame.size(); ++reads)
        read += readSome (buffer, std::string_view (frame).substr (read));

    CHECK (buffer.bytes() == frame);
    CHECK (reads <= 22); // 2 KB to 32 KB once each, then 64 KB
    buffer.drop (frame.size());
    CHECK (buffer.size() <= 2 * ReadBuffer::smallestRoom);
}

TEST_CASE ("the start of a frame stays when those before it are used, wherever reads end")
{
    const auto text = textOf (20000);

    for (const std::size_t used : { 1U, 7U, 300U, 1999U })
    {
        ReadBuffer buffer;
        std::string taken;

        for (std::size_t read = 0; taken.size() < text.size();)
        {
            read += readSome (buffer, std::string_view (text).substr (read));
            const auto part = std::min (used, buffer.bytes().size());
            taken += buffer.bytes().substr (0, part);
            buffer.drop (part);
        }

        CHECK (taken == text);
        CHECK (buffer.bytes().empty());
    }
}

} // namespace plankledge::test
