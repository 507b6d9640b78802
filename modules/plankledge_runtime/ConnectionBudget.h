#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>

namespace plankledge
{

//==============================================================================
/**
    The number of connections that a process has accepted, over all its servers.

    At the limit, the connection that has been idle for longest is closed in favour of a new one, so
    that a client can't keep others out by holding connections open. The limit leaves descriptors for
    the connections that the process opens itself.

    Not thread-safe. Must outlive all accepted connections.

    @see AcceptedConnection
*/
class ConnectionBudget
{
public:
    //==============================================================================
    /** @param limit   number of connections; the default is no limit */
    explicit ConnectionBudget (std::size_t limit = std::numeric_limits<std::size_t>::max()) noexcept
        : m_limit (limit)
    {
    }

    ConnectionBudget (const ConnectionBudget&) = delete;
    ConnectionBudget& operator= (const ConnectionBudget&) = delete;

    /** Closes an idle connection if the limit is reached.

        @returns whether a connection may be accepted
    */
    bool makeRoom();

    std::size_t limit() const noexcept { return m_limit; }

    /** @returns the number of connections */
    std::size_t size() const noexcept { return m_size; }

    /** @returns the number of idle connections closed in favour of new ones since the start */
    std::uint64_t closed() const noexcept { return m_closed; }

    /** @returns the number of connections that could not be accepted since the start */
    std::uint64_t refused() const noexcept { return m_refused; }

private:
    //==============================================================================
    friend class AcceptedConnection;

    const std::size_t m_limit;
    std::size_t m_size = 0;
    std::list<class AcceptedConnection*> m_idle; /**< by the time since when they are idle */
    std::uint64_t m_closed = 0;
    std::uint64_t m_refused = 0;
};

//==============================================================================
/** An accepted connection. It counts as busy at first. */
class AcceptedConnection
{
public:
    //==============================================================================
    /** @param onEvicted   called when the connection is closed in favour of another: its descriptor must be
                           released at once
    */
    AcceptedConnection (ConnectionBudget& budget, std::function<void()> onEvicted);
    ~AcceptedConnection();

    AcceptedConnection (const AcceptedConnection&) = delete;
    AcceptedConnection& operator= (const AcceptedConnection&) = delete;

    /** The connection carries no complete message and may be closed; it counts as idle from now on. Calling
        it again restarts the time. */
    void setIdle();

    /** The connection may not be closed. */
    void setBusy() noexcept;

private:
    //==============================================================================
    friend class ConnectionBudget;

    void evict();

    ConnectionBudget& m_budget;
    std::function<void()> m_onEvicted;
    std::list<AcceptedConnection*>::iterator m_place;
    bool m_isIdle = false;
    bool m_isEvicted = false;
};

} // namespace plankledge
