#pragma once

#include "plankledge_policy/calls/InboundCall.h"

#include <map>
#include <optional>
#include <set>

namespace plankledge::detail
{

//==============================================================================
/**
    The calls that this node runs or may run, found by their number, by who waits for them and by the request
   id that their target was given.

    @see InboundCalls
*/
class InboundCallTable
{
public:
    //==============================================================================
    /** @param incarnation   of this node; makes request ids differ between its lives */
    CallId add (InboundCall call, std::uint64_t incarnation);

    InboundCall* find (CallId id) noexcept;
    InboundCall& at (CallId id) { return m_calls.at (id); }

    /** @returns the call that somebody waits for, or nullopt */
    std::optional<CallId> waitedForBy (const Origin& origin) const noexcept;

    /** @returns the call whose target was given this request id, or nullopt */
    std::optional<CallId> withRequestId (const std::string& requestId) const noexcept;

    /** @returns all who wait over a connection */
    std::vector<Origin> originsOf (LinkId link) const;

    /** @returns the calls that others are asked about, for keys with these hashes */
    std::vector<CallId> inquiringFor (const std::set<std::uint64_t>& keyHashes) const;

    //==============================================================================
    /** One more waits for the call. */
    void attach (CallId id, const Origin& origin);

    /** One waits no longer. */
    void detach (CallId id, const Origin& origin);

    /** Nobody waits any longer.

        @returns those who did
    */
    std::vector<Origin> detachAll (CallId id);

    /** Removes a call, and those who wait for it.

        @returns the call as it was
    */
    InboundCall take (CallId id);

    bool isEmpty() const noexcept { return m_calls.empty(); }
    std::size_t size() const noexcept { return m_calls.size(); }

private:
    //==============================================================================
    std::map<CallId, InboundCall> m_calls;
    std::map<Origin, CallId> m_byOrigin;
    std::map<std::string, CallId> m_byRequestId;
    CallId m_next = 1;
};

} // namespace plankledge::detail
