#include "plankledge_runtime/ConnectionBudget.h"

#include <utility>

namespace plankledge
{

//==============================================================================
bool ConnectionBudget::makeRoom()
{
    if (m_size < m_limit)
        return true;

    if (m_idle.empty())
    {
        ++m_refused;
        return false;
    }

    ++m_closed;
    m_idle.front()->evict();
    return true;
}

//==============================================================================
AcceptedConnection::AcceptedConnection (ConnectionBudget& budget, std::function<void()> onEvicted)
    : m_budget (budget)
    , m_onEvicted (std::move (onEvicted))
{
    ++m_budget.m_size;
}

AcceptedConnection::~AcceptedConnection()
{
    setBusy();

    if (! m_isEvicted)
        --m_budget.m_size;
}

void AcceptedConnection::setIdle()
{
    if (m_isEvicted)
        return;

    auto& idle = m_budget.m_idle;

    if (m_isIdle)
        return idle.splice (idle.end(), idle, m_place);

    m_isIdle = true;
    m_place = idle.insert (idle.end(), this);
}

void AcceptedConnection::setBusy() noexcept
{
    if (std::exchange (m_isIdle, false))
        m_budget.m_idle.erase (m_place);
}

void AcceptedConnection::evict()
{
    setBusy();
    m_isEvicted = true;
    --m_budget.m_size;
    m_onEvicted();
}

} // namespace plankledge
