#include "plankledge_formats/DeclarationsJson.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <set>

namespace plankledge
{

namespace json = boost::json;

namespace
{

constexpr std::size_t longestName = 64;
constexpr std::size_t mostServices = 1000;
constexpr std::int64_t mostSlots = 100000;
constexpr std::int64_t longestWaitMs = 60000;
constexpr std::int64_t longestRecordWindowMs = 3600000;
constexpr std::int64_t mostRetries = 100;

//==============================================================================
/** Walks a JSON tree and collects faults with their places. */
class Reader
{
public:
    std::vector<DeclarationFault> m_faults;

    void fault (const std::string& place, DeclarationError error) { m_faults.push_back ({ place, error }); }

    const json::object* object (const json::value& value, const std::string& place)
    {
        if (const auto* result = value.if_object())
            return result;

        fault (place, DeclarationError::wrongType);
        return nullptr;
    }

    void onlyFields (const json::object& object, const std::string& place,
                     const std::set<std::string_view>& known)
    {
        for (const auto& entry : object)
            if (! known.contains (std::string_view (entry.key().data(), entry.key().size())))
                fault (join (place, entry.key()), DeclarationError::unknownField);
    }

    std::int64_t integer (const json::object& object, const std::string& place, std::string_view field,
                          std::int64_t lowest, std::int64_t highest, std::int64_t otherwise)
    {
        const auto* value = object.if_contains (json::string_view (field.data(), field.size()));

        if (value == nullptr)
            return otherwise;

        if (! value->is_int64())
        {
            fault (join (place, field), DeclarationError::wrongType);
            return otherwise;
        }

        if (value->as_int64() < lowest || value->as_int64() > highest)
            fault (join (place, field), DeclarationError::outOfRange);

        return value->as_int64();
    }

    bool isName (std::string_view name, const std::string& place, bool mayHaveSlash)
    {
        const auto isAllowed = [mayHaveSlash] (char character) {
            const auto byte = static_cast<unsigned char> (character);
            return std::isalnum (byte) != 0 || character == '-' || character == '_' || character == '.' ||
                   (mayHaveSlash && (character == '/' || character == '*'));
        };

        const bool isValid =
            ! name.empty() && name.size() <= longestName && std::all_of (name.begin(), name.end(), isAllowed);

        if (! isValid)
            fault (place, DeclarationError::badName);

        return isValid;
    }

    static std::string join (const std::string& place, std::string_view field)
    {
        return place.empty() ? std::string (field) : fmt::format ("{}.{}", place, field);
    }
};

//==============================================================================
PriorityClass readClass (Reader& reader, const json::object& object, const std::string& place)
{
    constexpr std::array classes { PriorityClass::critical, PriorityClass::high, PriorityClass::normal,
                                   PriorityClass::low };

    const auto* value = object.if_contains ("class");
    const auto fieldPlace = Reader::join (place, "class");

    if (value == nullptr)
    {
        reader.fault (fieldPlace, DeclarationError::missingField);
        return PriorityClass::normal;
    }

    if (! value->is_string())
    {
        reader.fault (fieldPlace, DeclarationError::wrongType);
        return PriorityClass::normal;
    }

    const auto& text = value->as_string();

    for (const auto candidate : classes)
        if (nameOf (candidate) == std::string_view (text.data(), text.size()))
            return candidate;

    reader.fault (fieldPlace, DeclarationError::unknownClass);
    return PriorityClass::normal;
}

bool readRepeatable (Reader& reader, const json::object& object, const std::string& place)
{
    const auto* value = object.if_contains ("repeatable");

    if (value == nullptr)
    {
        // Whether work may be repeated is never guessed.
        reader.fault (Reader::join (place, "repeatable"), DeclarationError::missingField);
        return false;
    }

    if (! value->is_bool())
    {
        reader.fault (Reader::join (place, "repeatable"), DeclarationError::wrongType);
        return false;
    }

    return value->as_bool();
}

OperationDeclaration readOperation (Reader& reader, const json::value& value, const std::string& place)
{
    OperationDeclaration operation;
    const auto* object = reader.object (value, place);

    if (object == nullptr)
        return operation;

    reader.onlyFields (*object, place,
                       { "class", "repeatable", "longest_wait_ms", "retry_budget", "record_window_ms" });
    operation.m_class = readClass (reader, *object, place);
    operation.m_isRepeatable = readRepeatable (reader, *object, place);
    operation.m_longestWait = Milliseconds (reader.integer (*object, place, "longest_wait_ms", 1,
                                                            longestWaitMs, operation.m_longestWait.count()));
    operation.m_retryBudget = static_cast<std::uint32_t> (
        reader.integer (*object, place, "retry_budget", 0, mostRetries, operation.m_retryBudget));
    operation.m_recordWindow = Milliseconds (reader.integer (
        *object, place, "record_window_ms", 1000, longestRecordWindowMs, operation.m_recordWindow.count()));
    return operation;
}

ServiceDeclaration readService (Reader& reader, const json::value& value, const std::string& place)
{
    ServiceDeclaration service;
    const auto* object = reader.object (value, place);

    if (object == nullptr)
        return service;

    reader.onlyFields (*object, place, { "slots", "queue_length", "operations" });
    service.m_slots =
        static_cast<std::uint32_t> (reader.integer (*object, place, "slots", 1, mostSlots, service.m_slots));
    service.m_queueLength = static_cast<std::uint32_t> (
        reader.integer (*object, place, "queue_length", 0, mostSlots, std::int64_t { service.m_slots } * 2));

    const auto operationsPlace = Reader::join (place, "operations");
    const auto* operationsValue = object->if_contains ("operations");

    if (operationsValue == nullptr)
    {
        reader.fault (operationsPlace, DeclarationError::missingField);
        return service;
    }

    const auto* operations = reader.object (*operationsValue, operationsPlace);

    if (operations == nullptr)
        return service;

    if (operations->empty())
        reader.fault (operationsPlace, DeclarationError::empty);

    for (const auto& entry : *operations)
    {
        const auto entryPlace = Reader::join (operationsPlace, entry.key());

        if (reader.isName (entry.key(), entryPlace, true))
            service.m_operations[std::string (entry.key())] =
                readOperation (reader, entry.value(), entryPlace);
    }

    return service;
}

void readServices (Reader& reader, const json::object& root, Declarations& declarations)
{
    const auto* value = root.if_contains ("services");

    if (value == nullptr)
        return reader.fault ("services", DeclarationError::missingField);

    const auto* services = reader.object (*value, "services");

    if (services == nullptr)
        return;

    if (services->empty())
        reader.fault ("services", DeclarationError::empty);

    if (services->size() > mostServices)
        return reader.fault ("services", DeclarationError::tooLarge);

    for (const auto& entry : *services)
    {
        const auto place = Reader::join ("services", entry.key());

        if (reader.isName (entry.key(), place, false))
            declarations.m_services[std::string (entry.key())] = readService (reader, entry.value(), place);
    }
}

} // namespace

//==============================================================================
std::string_view nameOf (DeclarationError error) noexcept
{
    constexpr std::array<std::string_view, 9> names { "not valid JSON", "wrong type",        "unknown field",
                                                      "missing field",  "out of range",      "bad name",
                                                      "unknown class",  "must not be empty", "too large" };
    return names.at (static_cast<std::size_t> (error));
}

ParsedDeclarations parseDeclarations (const std::string& text)
{
    ParsedDeclarations parsed;

    if (text.size() > maximumDeclarationBytes)
    {
        parsed.m_faults.push_back ({ "", DeclarationError::tooLarge });
        return parsed;
    }

    boost::system::error_code error;
    const auto value = json::parse (text, error);
    Reader reader;

    if (error)
    {
        parsed.m_faults.push_back ({ "", DeclarationError::notJson });
        return parsed;
    }

    if (const auto* root = reader.object (value, ""))
    {
        reader.onlyFields (*root, "", { "services" });
        readServices (reader, *root, parsed.m_declarations);
    }

    parsed.m_faults = std::move (reader.m_faults);
    return parsed;
}

std::optional<Declarations> parseValidDeclarations (const std::string& text)
{
    auto parsed = parseDeclarations (text);
    return parsed.m_faults.empty() ? std::optional (std::move (parsed.m_declarations)) : std::nullopt;
}

} // namespace plankledge
