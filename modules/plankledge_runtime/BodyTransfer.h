#pragma once

#include "plankledge_core/PeerMessages.h"
#include <absl/status/statusor.h>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/** Large bodies of relayed requests on a connection between nodes, in parts. */
namespace plankledge::detail
{

//==============================================================================
/** The bodies that are being sent over one connection. They take turns, so that a long one does not delay the
    others until its end. */
class OutgoingBodies
{
public:
    //==============================================================================
    /** Starts to send the body of a request, if it is large.

        @param to   receiver of the request
        @returns the request to be sent first: without its body if that follows in parts
    */
    RelayRequest begin (const InstanceName& to, RelayRequest request);

    /** A part and its receiver. */
    struct Part
    {
        InstanceName m_to;
        RelayBodyPart m_part;

        auto operator<=> (const Part&) const = default;
    };

    /** @returns the next part to be sent; nullopt if there is none */
    std::optional<Part> next();

    /** Ends the sending of the body of a call, if it is being sent. */
    void erase (CallId call);

    /** Ends all sending.

        @returns the calls whose body has not been sent whole, and which therefore can't have run
    */
    std::vector<CallId> takeUnfinished();

    bool empty() const noexcept { return m_bodies.empty(); }

private:
    //==============================================================================
    struct Body
    {
        InstanceName m_to;
        CallId m_call = 0;
        SharedBytes m_bytes;
        std::size_t m_sent = 0; /**< bytes that were returned in parts */
    };

    std::deque<Body> m_bodies;
};

//==============================================================================
/** The requests whose bodies are being received over one connection. */
class IncomingBodies
{
public:
    //==============================================================================
    /** Keeps a request whose body follows, in place of an earlier one of the same id. */
    void begin (RelayRequest request);

    /** Adds a part. Parts of unknown requests are ignored, since a request may have been refused or cancelled
        while parts of it were on their way.

        @returns the request if its body is complete; WireError::malformed if the body is longer than
       announced
    */
    absl::StatusOr<std::optional<RelayRequest>> add (const RelayBodyPart& part);

    /** Drops a request, if its body is not complete. */
    void erase (CallId call) { m_requests.erase (call); }

private:
    //==============================================================================
    struct Incoming
    {
        RelayRequest m_request;
        std::string m_body;
    };

    std::map<CallId, Incoming> m_requests;
};

} // namespace plankledge::detail
