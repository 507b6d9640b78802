#pragma once

#include "plankledge_runtime/Http.h"
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Returns the responses of one connection in the order of its requests, and decides which of them run at the
    same time and whether a further request may be read.

    Does no input or output.

    @see HttpServer
*/
class ResponseOrder
{
public:
    //==============================================================================
    /** Identifies a request of the connection. */
    using Id = std::uint64_t;

    /** Bounds of what is read ahead. The first request is always read. */
    struct Limits
    {
        /** Requests that were read and whose response is not written. */
        std::size_t m_requests = 1;

        /** Bytes of the bodies of unanswered requests and of responses that wait to be written. Nothing is
           read from this size on; the last request read and the responses to running ones may still exceed
           it. */
        std::size_t m_bodyBytes = maxBodyBytes;

        auto operator<=> (const Limits&) const = default;
    };

    /** A response to be written now. */
    struct Release
    {
        Id m_id = 0;
        HttpResponse m_response;
        bool m_isLast = false; /**< whether the connection closes after it */
    };

    explicit ResponseOrder (Limits limits) noexcept
        : m_limits (limits)
    {
    }

    /** @param isDraining   whether the connection is to close after the responses to the requests already
       read
        @returns whether a request may be read. While the connection drains, this holds only if there is none.
    */
    bool mayRead (bool isDraining) const noexcept;

    /** Adds a request that has been read. Requires isOpen().

        @param mayRunAhead   whether it may run at the same time as others for which this holds too
        @param isLast        whether the connection closes after its response
        @param bodyBytes     size of its body
    */
    Id accept (bool mayRunAhead, bool isLast, std::size_t bodyBytes);

    /** Marks the next request as running, if it may run now: if none is before it, or if it and all before it
        may run ahead.

        @returns the request to pass to the handler
    */
    std::optional<Id> startNext();

    /** Adds a response. Responses to requests that are no longer expected are ignored.

        @returns the running requests that are to be cancelled, since the response closes the connection
       before theirs
    */
    std::vector<Id> complete (Id id, HttpResponse response);

    /** @param isDraining   as for mayRead()
        @returns the response to the first request if it is ready and none is being written. onWritten() must
                 be called after it.
    */
    std::optional<Release> release (bool isDraining);

    /** Removes the request whose response was released, when its writing has ended or failed. */
    void onWritten();

    /** Ends the connection since the client sends nothing further. Responses that are ready and wait for no
        running request may still be written: the client may have closed only its sending direction.

        @returns the running requests that are to be cancelled
    */
    std::vector<Id> disconnect();

    /** @returns whether the request is running */
    bool isRunning (Id id) const noexcept;

    /** @returns whether any request is running */
    bool hasRunning() const noexcept;

    /** @returns whether requests may be added */
    bool isOpen() const noexcept { return m_isOpen; }

    /** @returns whether nothing remains to be read or written */
    bool isFinished() const noexcept { return ! m_isOpen && m_entries.empty(); }

    /** @returns the bytes of the bodies of unanswered requests and of responses that are not written */
    std::size_t bodyBytes() const noexcept { return m_bodyBytes; }

    /** @returns the number of requests whose response is not written */
    std::size_t size() const noexcept { return m_entries.size(); }

private:
    //==============================================================================
    enum class State : std::uint8_t
    {
        held,
        running,
        ready
    };

    struct Entry
    {
        Id m_id = 0;
        State m_state = State::held;
        bool m_mayRunAhead = false;
        bool m_isLast = false;
        std::size_t m_bytes = 0; /**< size of the request's body, then of the response's */
        HttpResponse m_response;
    };

    std::vector<Id> dropFrom (std::size_t index);

    const Limits m_limits;
    std::deque<Entry> m_entries;
    Id m_nextId = 1;
    std::size_t m_bodyBytes = 0;
    bool m_isOpen = true;
    bool m_isWriting = false;
};

} // namespace plankledge
