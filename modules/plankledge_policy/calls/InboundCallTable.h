#pragma once

#include "plankledge_policy/calls/InboundCall.h"

#include <map>
#include <optional>
#include <set>

namespace plankledge::detail
{

//==============================================================================
/**
    The calls to the local target that have no result yet, indexed by call id, by origin and by the request id
    that was sent to the target.

    @see InboundCalls
*/
class InboundCallTable
{
public:
    //==============================================================================
    /** Adds a call and assigns its request id.

        @param incarnation   of this node; makes request ids unique across restarts
        @returns the id of the call
    */
    CallId add (InboundCall call, std::uint64_t incarnation);

    InboundCall* find (CallId id) noexcept;
    InboundCall& at (CallId id) { return m_calls.at (id); }

    /** @returns the call that the origin waits for, or nullopt */
    std::optional<CallId> findByOrigin (const Origin& origin) const noexcept;

    /** @returns the call that was sent to the target with this request id, or nullopt */
    std::optional<CallId> findByRequestId (const std::string& requestId) const noexcept;

    /** @returns the origins that wait over a connection */
    std::vector<Origin> originsOnLink (LinkId link) const;

    /** @returns the calls with a pending inquiry whose keys have one of these hashes */
    std::vector<CallId> inquiringCalls (const std::set<std::uint64_t>& keyHashes) const;

    //==============================================================================
    /** Adds an origin that waits for the call's result. */
    void attach (CallId id, const Origin& origin);

    /** Removes one origin; the call stays. */
    void detach (CallId id, const Origin& origin);

    /** Removes all origins; the call stays.

        @returns the removed origins
    */
    std::vector<Origin> detachAll (CallId id);

    /** Removes a call and its index entries.

        @returns the call
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
