#pragma once

#include <compare>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace plankledge
{

//==============================================================================
/** An immutable sequence of bytes. Copies share its memory, so that a large body is held once while it passes
    through a process. Encoded like a string. */
class SharedBytes
{
public:
    //==============================================================================
    SharedBytes() noexcept = default;

    /** Takes over the memory of the string. */
    SharedBytes (std::string bytes)
        : m_bytes (bytes.empty() ? nullptr : std::make_shared<const std::string> (std::move (bytes)))
    {
    }

    SharedBytes (const char* text)
        : SharedBytes (std::string (text))
    {
    }

    /** @returns the bytes, which are valid as long as any copy of this object exists */
    std::string_view view() const noexcept
    {
        return m_bytes != nullptr ? std::string_view (*m_bytes) : std::string_view();
    }

    operator std::string_view() const noexcept { return view(); }

    std::size_t size() const noexcept { return view().size(); }
    bool empty() const noexcept { return m_bytes == nullptr; }

    friend bool operator== (const SharedBytes& left, const SharedBytes& right) noexcept
    {
        return left.view() == right.view();
    }

    friend std::strong_ordering operator<=> (const SharedBytes& left, const SharedBytes& right) noexcept
    {
        return left.view() <=> right.view();
    }

    template <class Archive> void save (Archive& archive) const
    {
        archive (m_bytes != nullptr ? *m_bytes : std::string());
    }

    template <class Archive> void load (Archive& archive)
    {
        std::string bytes;
        archive (bytes);
        *this = SharedBytes (std::move (bytes));
    }

private:
    //==============================================================================
    std::shared_ptr<const std::string> m_bytes; /**< nullptr if empty */
};

} // namespace plankledge
