/*  Contract of the declarations' format: all faults are reported at once, each with its path. */

#include "plankledge_formats/DeclarationsJson.h"
#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

struct Row
{
    std::string m_text;
    std::vector<DeclarationFault> m_faults;
};

const Row rows[] = {
    { "", { { "", DeclarationError::notJson } } },
    { "{", { { "", DeclarationError::notJson } } },
    { "[]", { { "", DeclarationError::wrongType } } },
    { "{}", { { "services", DeclarationError::missingField } } },
    { R"({"services":{}})", { { "services", DeclarationError::empty } } },
    { R"({"services":[],"extra":1})",
      { { "extra", DeclarationError::unknownField }, { "services", DeclarationError::wrongType } } },
    { R"({"services":{"a b":{}}})", { { "services.a b", DeclarationError::badName } } },
    { R"({"services":{"s":{}}})", { { "services.s.operations", DeclarationError::missingField } } },
    { R"({"services":{"s":{"operations":{}}}})", { { "services.s.operations", DeclarationError::empty } } },
    { R"({"services":{"s":{"slots":0,"operations":{"o":{"class":"normal","repeatable":true}}}}})",
      { { "services.s.slots", DeclarationError::outOfRange } } },
    { R"({"services":{"s":{"slots":"many","operations":{"o":{"class":"normal","repeatable":true}}}}})",
      { { "services.s.slots", DeclarationError::wrongType } } },
    { R"({"services":{"s":{"operations":{"o":{}}}}})",
      { { "services.s.operations.o.class", DeclarationError::missingField },
        { "services.s.operations.o.repeatable", DeclarationError::missingField } } },
    { R"({"services":{"s":{"operations":{"o":{"class":"urgent","repeatable":"no","retry":1}}}}})",
      { { "services.s.operations.o.retry", DeclarationError::unknownField },
        { "services.s.operations.o.class", DeclarationError::unknownClass },
        { "services.s.operations.o.repeatable", DeclarationError::wrongType } } },
    { R"({"services":{"s":{"operations":{"o":{"class":"low","repeatable":true,"longest_wait_ms":90000,
        "retry_budget":-1,"record_window_ms":1}}}}})",
      { { "services.s.operations.o.longest_wait_ms", DeclarationError::outOfRange },
        { "services.s.operations.o.retry_budget", DeclarationError::outOfRange },
        { "services.s.operations.o.record_window_ms", DeclarationError::outOfRange } } },
    { std::string (maxDeclarationBytes + 1, ' '), { { "", DeclarationError::tooLarge } } },
};

} // namespace

//==============================================================================
TEST_CASE ("all faults in declarations are reported, with their paths")
{
    for (const auto& row : rows)
    {
        CAPTURE (row.m_text.substr (0, 200));
        const auto parsed = parseDeclarations (row.m_text);
        REQUIRE (parsed.m_faults.size() == row.m_faults.size());

        for (std::size_t index = 0; index < row.m_faults.size(); ++index)
        {
            CHECK (parsed.m_faults[index].m_location == row.m_faults[index].m_location);
            CHECK (nameOf (parsed.m_faults[index].m_error) == nameOf (row.m_faults[index].m_error));
        }
    }
}

TEST_CASE ("valid declarations are parsed, with defaults for missing fields")
{
    const auto declarations = parseValidDeclarations (R"({"services":{"deposits":{"slots":50,"operations":{
        "pay":{"class":"critical","repeatable":false,"longest_wait_ms":3000,"retry_budget":1,"record_window_ms":30000},
        "*":{"class":"low","repeatable":true}}}}})");
    REQUIRE (declarations.has_value());
    const auto* deposits = declarations->find ("deposits");
    REQUIRE (deposits != nullptr);
    CHECK (deposits->m_slots == 50);
    CHECK (deposits->m_queueLength == 100);
    const OperationDeclaration pay { PriorityClass::critical, false, Milliseconds (3000), 1,
                                     Milliseconds (30000) };
    CHECK (*deposits->find ("pay") == pay);
    CHECK (deposits->find ("anything else")->m_class == PriorityClass::low);
    CHECK (declarations->find ("nothing") == nullptr);
}

} // namespace plankledge::test
