#include "plankledge_formats/JsonElements.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Consumes a JSON text value by value. Bounded in stack and time, whatever the nesting. */
class JsonScanner
{
public:
    explicit JsonScanner (std::string_view text)
        : m_text (text)
    {
    }

    /** Consumes a punctuation character and the blanks around it.

        @returns whether it was there
    */
    bool consume (char character)
    {
        skipBlanks();

        if (m_text.empty() || m_text.front() != character)
            return false;

        m_text.remove_prefix (1);
        skipBlanks();
        return true;
    }

    /** @returns the text of the next value; empty if there is none */
    std::string_view takeValue()
    {
        skipBlanks();
        const auto text = m_text;
        std::size_t depth = 0;

        while (! m_text.empty())
        {
            const char next = m_text.front();
            const bool isClosing = next == ']' || next == '}';

            if (depth == 0 && (isClosing || next == ',' || next == ':'))
                break;

            if (next == '"')
            {
                skipString();
                continue;
            }

            depth += next == '[' || next == '{' ? 1 : 0;
            depth -= isClosing ? 1 : 0;
            m_text.remove_prefix (1);
        }

        return text.substr (0, text.size() - m_text.size());
    }

    bool isAtEnd() const noexcept { return m_text.empty(); }

private:
    void skipBlanks()
    {
        const auto start = m_text.find_first_not_of (" \t\r\n");
        m_text.remove_prefix (start == std::string_view::npos ? m_text.size() : start);
    }

    void skipString()
    {
        std::size_t end = 1;

        while (end < m_text.size() && m_text[end] != '"')
            end += m_text[end] == '\\' ? 2 : 1;

        m_text.remove_prefix (std::min (end + 1, m_text.size()));
    }

    std::string_view m_text;
};

std::string_view withoutQuotes (std::string_view name)
{
    return name.size() >= 2 && name.front() == '"' ? name.substr (1, name.rfind ('"') - 1)
                                                   : std::string_view();
}

/** @returns the elements of the text of an array; nullopt if it is none */
std::optional<std::vector<std::string_view>> splitArray (std::string_view text)
{
    JsonScanner scanner (text);
    std::vector<std::string_view> elements;

    if (! scanner.consume ('['))
        return std::nullopt;

    if (scanner.consume (']'))
        return scanner.isAtEnd() ? std::optional (elements) : std::nullopt;

    do
        elements.push_back (scanner.takeValue());
    while (scanner.consume (','));

    return scanner.consume (']') && scanner.isAtEnd() ? std::optional (elements) : std::nullopt;
}

} // namespace

std::optional<std::vector<std::string_view>> findJsonElements (std::string_view text, std::string_view field)
{
    JsonScanner scanner (text);
    std::optional<std::vector<std::string_view>> elements;

    if (! scanner.consume ('{'))
        return std::nullopt;

    do
    {
        const auto name = withoutQuotes (scanner.takeValue());

        if (! scanner.consume (':'))
            break;

        const auto value = scanner.takeValue();

        if (name == field)
            elements = splitArray (value);
    } while (scanner.consume (','));

    return scanner.consume ('}') && scanner.isAtEnd() ? elements : std::nullopt;
}

} // namespace plankledge
