#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <string>
#include <string_view>

namespace plankledge
{

//==============================================================================
/** A cereal output archive that appends to a string; numbers are in native, little-endian byte order. */
class StringOutputArchive : public cereal::OutputArchive<StringOutputArchive, cereal::AllowEmptyClassElision>
{
public:
    //==============================================================================
    explicit StringOutputArchive (std::string& bytes)
        : cereal::OutputArchive<StringOutputArchive, cereal::AllowEmptyClassElision> (this)
        , m_bytes (bytes)
    {
    }

    void saveBinary (const void* data, std::size_t size)
    {
        m_bytes.append (static_cast<const char*> (data), size);
    }

private:
    //==============================================================================
    std::string& m_bytes;
};

//==============================================================================
/**
    A cereal input archive for untrusted bytes.

    The encoded size of a container is checked against the remaining bytes before memory is
    allocated: each element takes at least one byte.

    Throws cereal::Exception on truncated input and on impossible container sizes.
*/
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    //==============================================================================
    explicit BoundedInputArchive (std::string_view bytes)
        : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> (this)
        , m_bytes (bytes)
    {
    }

    void loadBinary (void* data, std::size_t size)
    {
        if (size > m_bytes.size())
            throw cereal::Exception ("truncated");

        std::memcpy (data, m_bytes.data(), size);
        m_bytes.remove_prefix (size);
    }

    /** Throws if a container of this many elements can't fit the remaining bytes. */
    void checkSize (cereal::size_type count) const
    {
        if (count > m_bytes.size())
            throw cereal::Exception ("container size exceeds the remaining bytes");
    }

    std::size_t remaining() const noexcept { return m_bytes.size(); }

private:
    //==============================================================================
    std::string_view m_bytes;
};

//==============================================================================
// Overloads found by cereal through argument-dependent lookup.
template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME (StringOutputArchive& archive,
                                                                     const T& value)
{
    archive.saveBinary (&value, sizeof (value));
}

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME (BoundedInputArchive& archive, T& value)
{
    archive.loadBinary (&value, sizeof (value));
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME (StringOutputArchive& archive, cereal::NameValuePair<T>& value)
{
    archive (value.value);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME (BoundedInputArchive& archive, cereal::NameValuePair<T>& value)
{
    archive (value.value);
}

template <class T> void CEREAL_SERIALIZE_FUNCTION_NAME (StringOutputArchive& archive, cereal::SizeTag<T>& tag)
{
    archive (static_cast<std::uint32_t> (tag.size));
}

template <class T> void CEREAL_SERIALIZE_FUNCTION_NAME (BoundedInputArchive& archive, cereal::SizeTag<T>& tag)
{
    std::uint32_t size = 0;
    archive (size);
    archive.checkSize (size);
    tag.size = size;
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME (StringOutputArchive& archive, const cereal::BinaryData<T>& data)
{
    archive.saveBinary (data.data, static_cast<std::size_t> (data.size));
}

template <class T> void CEREAL_LOAD_FUNCTION_NAME (BoundedInputArchive& archive, cereal::BinaryData<T>& data)
{
    archive.loadBinary (data.data, static_cast<std::size_t> (data.size));
}

} // namespace plankledge

CEREAL_REGISTER_ARCHIVE (plankledge::StringOutputArchive)
CEREAL_REGISTER_ARCHIVE (plankledge::BoundedInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS (plankledge::BoundedInputArchive, plankledge::StringOutputArchive)

namespace plankledge
{

/** Encodes any type that cereal can serialise. */
template <class Value> std::string encode (const Value& value)
{
    std::string bytes;
    StringOutputArchive archive (bytes);
    archive (value);
    return bytes;
}

} // namespace plankledge
