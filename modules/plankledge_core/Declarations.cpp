#include "plankledge_core/Declarations.h"

namespace plankledge
{

std::string_view nameOf (PriorityClass priority) noexcept
{
    switch (priority)
    {
    case PriorityClass::critical:
        return "critical";
    case PriorityClass::high:
        return "high";
    case PriorityClass::normal:
        return "normal";
    case PriorityClass::low:
        break;
    }

    return "low";
}

const OperationDeclaration* ServiceDeclaration::find (const OperationName& operation) const noexcept
{
    if (const auto found = m_operations.find (operation); found != m_operations.end())
        return &found->second;

    const auto any = m_operations.find ("*");
    return any != m_operations.end() ? &any->second : nullptr;
}

const ServiceDeclaration* Declarations::find (const ServiceName& service) const noexcept
{
    const auto found = m_services.find (service);
    return found != m_services.end() ? &found->second : nullptr;
}

} // namespace plankledge
