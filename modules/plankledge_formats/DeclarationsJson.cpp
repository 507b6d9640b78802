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

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxServices = 1000;
constexpr std::int64_t maxSlots = 100000;
constexpr std::int64_t maxWaitMs = 60000;
constexpr std::int64_t maxRecordWindowMs = 3600000;
constexpr std::int64_t maxRetries = 100;

//==============================================================================
/** Reads values of a JSON tree and collects errors with their paths. */
class Reader
{
public:
    std::vector<DeclarationFault> m_faults;

    void fault (const std::string& path, DeclarationError error) { m_faults.push_back ({ path, error }); }

    const json::object* object (const json::value& value, const std::string& path)
    {
        if (const auto* result = value.if_object())
            return result;

        fault (path, DeclarationError::wrongType);
        return nullptr;
    }

    void rejectUnknownFields (const json::object& object, const std::string& path,
                              const std::set<std::string_view>& known)
    {
        for (const auto& entry : object)
            if (! known.contains (std::string_view (entry.key().data(), entry.key().size())))
                fault (join (path, entry.key()), DeclarationError::unknownField);
    }

    std::int64_t integer (const json::object& object, const std::string& path, std::string_view field,
                          std::int64_t min, std::int64_t max, std::int64_t defaultValue)
    {
        const auto* value = object.if_contains (json::string_view (field.data(), field.size()));

        if (value == nullptr)
            return defaultValue;

        if (! value->is_int64())
        {
            fault (join (path, field), DeclarationError::wrongType);
            return defaultValue;
        }

        if (value->as_int64() < min || value->as_int64() > max)
            fault (join (path, field), DeclarationError::outOfRange);

        return value->as_int64();
    }

    bool checkName (std::string_view name, const std::string& path, bool allowWildcardPath)
    {
        const auto isAllowed = [allowWildcardPath] (char character) {
            const auto byte = static_cast<unsigned char> (character);
            return std::isalnum (byte) != 0 || character == '-' || character == '_' || character == '.' ||
                   (allowWildcardPath && (character == '/' || character == '*'));
        };

        const bool isValid = ! name.empty() && name.size() <= maxNameLength &&
                             std::all_of (name.begin(), name.end(), isAllowed);

        if (! isValid)
            fault (path, DeclarationError::badName);

        return isValid;
    }

    static std::string join (const std::string& path, std::string_view field)
    {
        return path.empty() ? std::string (field) : fmt::format ("{}.{}", path, field);
    }
};

//==============================================================================
PriorityClass readClass (Reader& reader, const json::object& object, const std::string& path)
{
    constexpr std::array classes { PriorityClass::critical, PriorityClass::high, PriorityClass::normal,
                                   PriorityClass::low };

    const auto* value = object.if_contains ("class");
    const auto fieldPath = Reader::join (path, "class");

    if (value == nullptr)
    {
        reader.fault (fieldPath, DeclarationError::missingField);
        return PriorityClass::normal;
    }

    if (! value->is_string())
    {
        reader.fault (fieldPath, DeclarationError::wrongType);
        return PriorityClass::normal;
    }

    const auto& text = value->as_string();

    for (const auto candidate : classes)
        if (nameOf (candidate) == std::string_view (text.data(), text.size()))
            return candidate;

    reader.fault (fieldPath, DeclarationError::unknownClass);
    return PriorityClass::normal;
}

bool readRepeatable (Reader& reader, const json::object& object, const std::string& path)
{
    const auto* value = object.if_contains ("repeatable");

    if (value == nullptr)
    {
        // Required, since a default could run a request twice.
        reader.fault (Reader::join (path, "repeatable"), DeclarationError::missingField);
        return false;
    }

    if (! value->is_bool())
    {
        reader.fault (Reader::join (path, "repeatable"), DeclarationError::wrongType);
        return false;
    }

    return value->as_bool();
}

OperationDeclaration readOperation (Reader& reader, const json::value& value, const std::string& path)
{
    OperationDeclaration operation;
    const auto* object = reader.object (value, path);

    if (object == nullptr)
        return operation;

    reader.rejectUnknownFields (
        *object, path, { "class", "repeatable", "longest_wait_ms", "retry_budget", "record_window_ms" });
    operation.m_class = readClass (reader, *object, path);
    operation.m_isRepeatable = readRepeatable (reader, *object, path);
    operation.m_maxWait = Milliseconds (
        reader.integer (*object, path, "longest_wait_ms", 1, maxWaitMs, operation.m_maxWait.count()));
    operation.m_retryBudget = static_cast<std::uint32_t> (
        reader.integer (*object, path, "retry_budget", 0, maxRetries, operation.m_retryBudget));
    operation.m_recordWindow = Milliseconds (reader.integer (
        *object, path, "record_window_ms", 1000, maxRecordWindowMs, operation.m_recordWindow.count()));
    return operation;
}

ServiceDeclaration readService (Reader& reader, const json::value& value, const std::string& path)
{
    ServiceDeclaration service;
    const auto* object = reader.object (value, path);

    if (object == nullptr)
        return service;

    reader.rejectUnknownFields (*object, path, { "slots", "queue_length", "operations" });
    service.m_slots =
        static_cast<std::uint32_t> (reader.integer (*object, path, "slots", 1, maxSlots, service.m_slots));
    service.m_queueLength = static_cast<std::uint32_t> (
        reader.integer (*object, path, "queue_length", 0, maxSlots, std::int64_t { service.m_slots } * 2));

    const auto operationsPath = Reader::join (path, "operations");
    const auto* operationsValue = object->if_contains ("operations");

    if (operationsValue == nullptr)
    {
        reader.fault (operationsPath, DeclarationError::missingField);
        return service;
    }

    const auto* operations = reader.object (*operationsValue, operationsPath);

    if (operations == nullptr)
        return service;

    if (operations->empty())
        reader.fault (operationsPath, DeclarationError::empty);

    for (const auto& entry : *operations)
    {
        const auto entryPath = Reader::join (operationsPath, entry.key());

        if (reader.checkName (entry.key(), entryPath, true))
            service.m_operations[std::string (entry.key())] =
                readOperation (reader, entry.value(), entryPath);
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

    if (services->size() > maxServices)
        return reader.fault ("services", DeclarationError::tooLarge);

    for (const auto& entry : *services)
    {
        const auto path = Reader::join ("services", entry.key());

        if (reader.checkName (entry.key(), path, false))
            declarations.m_services[std::string (entry.key())] = readService (reader, entry.value(), path);
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

    if (text.size() > maxDeclarationBytes)
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
        reader.rejectUnknownFields (*root, "", { "services" });
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
