#include "plankledge_runtime/BodyTransfer.h"

#include "plankledge_runtime/StringCapacity.h"
#include "plankledge_wire/FrameCodec.h"

#include <cassert>

namespace plankledge::detail
{

//==============================================================================
RelayRequest OutgoingBodies::begin (const InstanceName& to, RelayRequest request)
{
    auto& body = request.m_content.m_body;

    if (body.size() <= maxBodyPartBytes)
        return request;

    assert (body.size() <= maxBodyBytesToFollow && "larger than any body that a server accepts");
    request.m_bodyBytesToFollow = static_cast<std::uint32_t> (body.size());
    m_bodies.push_back ({ to, request.m_callId, std::exchange (body, SharedBytes()), 0 });
    return request;
}

std::optional<OutgoingBodies::Part> OutgoingBodies::next()
{
    if (m_bodies.empty())
        return std::nullopt;

    auto body = std::move (m_bodies.front());
    m_bodies.pop_front();
    Part part { body.m_to,
                { body.m_call, std::string (body.m_bytes.view().substr (body.m_sent, maxBodyPartBytes)) } };
    body.m_sent += part.m_part.m_bytes.size();

    if (body.m_sent < body.m_bytes.size())
        m_bodies.push_back (std::move (body));

    return part;
}

void OutgoingBodies::erase (CallId call)
{
    std::erase_if (m_bodies, [call] (const Body& body) { return body.m_call == call; });
}

std::vector<CallId> OutgoingBodies::takeUnfinished()
{
    std::vector<CallId> calls;

    for (const auto& body : std::exchange (m_bodies, {}))
        calls.push_back (body.m_call);

    return calls;
}

//==============================================================================
void IncomingBodies::begin (RelayRequest request)
{
    const auto call = request.m_callId;
    m_requests[call] = { std::move (request), {} };
}

absl::StatusOr<std::optional<RelayRequest>> IncomingBodies::add (const RelayBodyPart& part)
{
    const auto found = m_requests.find (part.m_callId);

    if (found == m_requests.end())
        return std::optional<RelayRequest>();

    auto& [request, body] = found->second;
    const std::size_t total = request.m_bodyBytesToFollow;
    const auto size = body.size() + part.m_bytes.size();

    if (size > total)
        return toStatus (WireError::malformed);

    growCapacity (body, size, total); // not at once to the announced size, of which little may come
    body += part.m_bytes;

    if (size < total)
        return std::optional<RelayRequest>();

    auto complete = std::move (request);
    complete.m_bodyBytesToFollow = 0;
    complete.m_content.m_body = SharedBytes (std::move (body));
    m_requests.erase (found);
    return std::optional (std::move (complete));
}

} // namespace plankledge::detail
