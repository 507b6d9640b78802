#include "plankledge_policy/calls/InboundCallTable.h"

#include "plankledge_core/Hash.h"

#include <fmt/format.h>
#include <utility>

namespace plankledge::detail
{

CallId InboundCallTable::add (InboundCall call, std::uint64_t incarnation)
{
    const auto id = m_next++;
    call.m_requestId = fmt::format ("{:016x}-{:x}-{:x}", call.m_request.m_rootId, incarnation, id);
    m_byRequestId[call.m_requestId] = id;

    for (const auto& origin : call.m_origins)
        m_byOrigin[origin] = id;

    m_calls.emplace (id, std::move (call));
    return id;
}

InboundCall* InboundCallTable::find (CallId id) noexcept
{
    const auto found = m_calls.find (id);
    return found == m_calls.end() ? nullptr : &found->second;
}

std::optional<CallId> InboundCallTable::findByOrigin (const Origin& origin) const noexcept
{
    const auto found = m_byOrigin.find (origin);
    return found == m_byOrigin.end() ? std::nullopt : std::optional (found->second);
}

std::optional<CallId> InboundCallTable::findByRequestId (const std::string& requestId) const noexcept
{
    const auto found = m_byRequestId.find (requestId);
    return found == m_byRequestId.end() ? std::nullopt : std::optional (found->second);
}

std::vector<Origin> InboundCallTable::originsOnLink (LinkId link) const
{
    std::vector<Origin> origins;

    for (auto entry = m_byOrigin.lower_bound ({ link, {}, 0 });
         entry != m_byOrigin.end() && entry->first.m_link == link; ++entry)
        origins.push_back (entry->first);

    return origins;
}

std::vector<CallId> InboundCallTable::inquiringCalls (const std::set<std::uint64_t>& keyHashes) const
{
    std::vector<CallId> result;

    for (const auto& [id, call] : m_calls)
        if (call.m_stage == InboundCall::Stage::inquiring && keyHashes.contains (hashText (call.m_key)))
            result.push_back (id);

    return result;
}

//==============================================================================
void InboundCallTable::attach (CallId id, const Origin& origin)
{
    m_calls.at (id).m_origins.push_back (origin);
    m_byOrigin[origin] = id;
}

void InboundCallTable::detach (CallId id, const Origin& origin)
{
    m_byOrigin.erase (origin);
    std::erase (m_calls.at (id).m_origins, origin);
}

std::vector<Origin> InboundCallTable::detachAll (CallId id)
{
    auto origins = std::exchange (m_calls.at (id).m_origins, {});

    for (const auto& origin : origins)
        m_byOrigin.erase (origin);

    return origins;
}

InboundCall InboundCallTable::take (CallId id)
{
    auto node = m_calls.extract (id);
    auto& call = node.mapped();
    m_byRequestId.erase (call.m_requestId);

    for (const auto& origin : call.m_origins)
        m_byOrigin.erase (origin);

    return std::move (call);
}

} // namespace plankledge::detail
