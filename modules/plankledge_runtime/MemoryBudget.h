#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <string_view>

namespace plankledge
{

/** What memory is held for. Each has its own metric. */
enum class MemoryUse : std::uint8_t
{
    incompleteMessages, /**< messages of clients and of other nodes that have not been received whole */
    requests,           /**< clients' requests without a response, and responses that wait to be written */
    unreadResponses,    /**< large responses that are being written */
    peerQueues,         /**< frames that are not written to other nodes */
    peerCalls,          /**< other nodes' requests for the local target */
    targetCalls,        /**< responses of the target, until they are passed on */
    memoryUseCount
};

std::string_view nameOf (MemoryUse use) noexcept;

/** How much of the budget may be in use before memory is denied. Work that has begun may use all of it, so
    that it can be finished; a part is kept for small requests, so that large ones don't displace them. */
enum class MemoryPriority : std::uint8_t
{
    largeRequest,
    smallRequest, /**< holds smallMessageBytes at most */
    begunWork
};

/** The size up to which a message counts as small, in bytes. Fits a header section of the default limit. */
inline constexpr std::size_t smallMessageBytes = 20U << 10U;

//==============================================================================
/**
    The memory that a process holds for messages in transit, over all its servers, links and calls.

    Messages that are being received have no claim to their memory: if there is no room for a
    further message, the ones that have made no progress for longest are dropped. Work that has begun
    may also displace responses that a client does not read, the oldest first.

    Not thread-safe. Must outlive all charges and messages.

    @see MemoryCharge, DroppableMessage
*/
class MemoryBudget
{
public:
    //==============================================================================
    /** @param limit   in bytes; the default is no limit */
    explicit MemoryBudget (std::size_t limit = std::numeric_limits<std::size_t>::max()) noexcept
        : m_limit (limit)
    {
    }

    MemoryBudget (const MemoryBudget&) = delete;
    MemoryBudget& operator= (const MemoryBudget&) = delete;

    /** @returns whether so many bytes more may be held */
    bool hasRoom (std::size_t bytes, MemoryPriority priority) const noexcept;

    /** Drops messages, if need be, until so many bytes more may be held.

        @returns false if there is no room even so
    */
    bool makeRoom (std::size_t bytes, MemoryPriority priority);

    /** In bytes. */
    std::size_t limit() const noexcept { return m_limit; }

    /** @returns the bytes in use */
    std::size_t held() const noexcept { return m_held; }

    /** @returns the bytes in use for one purpose */
    std::size_t held (MemoryUse use) const noexcept { return m_heldFor[static_cast<std::size_t> (use)]; }

    /** @returns the number of messages dropped since the start */
    std::uint64_t dropped() const noexcept { return m_dropped; }

private:
    //==============================================================================
    friend class MemoryCharge;
    friend class DroppableMessage;

    using Messages = std::list<class DroppableMessage*>;

    std::size_t bound (MemoryPriority priority) const noexcept;
    void replace (MemoryUse use, std::size_t before, std::size_t after) noexcept;
    bool makeRoomFor (DroppableMessage* message, std::size_t bytes, MemoryPriority priority);
    bool dropOldest (Messages& messages, const DroppableMessage* except);

    const std::size_t m_limit;
    std::size_t m_held = 0;
    std::array<std::size_t, static_cast<std::size_t> (MemoryUse::memoryUseCount)> m_heldFor {};
    Messages m_smallIncomplete; /**< by the time of their last progress */
    Messages m_largeIncomplete; /**< as above */
    Messages m_unread;          /**< by the time at which their writing began */
    std::uint64_t m_dropped = 0;
};

//==============================================================================
/** A part of the budget that is in use, until it is destroyed. */
class MemoryCharge
{
public:
    //==============================================================================
    MemoryCharge (MemoryBudget& budget, MemoryUse use, std::size_t bytes = 0) noexcept;
    ~MemoryCharge() { resize (0); }

    MemoryCharge (MemoryCharge&& other) noexcept;
    MemoryCharge (const MemoryCharge&) = delete;
    MemoryCharge& operator= (const MemoryCharge&) = delete;

    /** Sets the size, whether there is room or not.

        @see MemoryBudget::hasRoom
    */
    void resize (std::size_t bytes) noexcept;

    std::size_t bytes() const noexcept { return m_bytes; }

private:
    //==============================================================================
    MemoryBudget& m_budget;
    const MemoryUse m_use;
    std::size_t m_bytes = 0;
};

//==============================================================================
/** A message that is being received, or a response that is being written, which may be dropped to make room
   for others. */
class DroppableMessage
{
public:
    //==============================================================================
    /** @param use         incompleteMessages or unreadResponses
        @param onDropped   called when the message is dropped: its memory must be freed, now or soon. The
                           message then holds nothing any more.
    */
    DroppableMessage (MemoryBudget& budget, MemoryUse use, std::function<void()> onDropped);
    ~DroppableMessage();

    DroppableMessage (const DroppableMessage&) = delete;
    DroppableMessage& operator= (const DroppableMessage&) = delete;

    /** Records that the message has made progress and now holds so many bytes. Drops others if there is no
        room.

        @returns false if there is no room even so; the message is to be given up
    */
    bool grow (std::size_t bytes);

    /** Records that so many bytes are held, whether there is room or not. */
    void hold (std::size_t bytes);

    /** Records that nothing is held any more, since the message is complete or was given up. */
    void reset() noexcept;

    /** Excludes it from being dropped from now on. */
    void protect() noexcept;

    std::size_t bytes() const noexcept { return m_charge.bytes(); }

private:
    //==============================================================================
    friend class MemoryBudget;

    void drop();
    MemoryBudget::Messages& listFor (std::size_t bytes) const noexcept;

    MemoryCharge m_charge;
    std::function<void()> m_onDropped;
    MemoryBudget& m_budget;
    const MemoryUse m_use;
    MemoryBudget::Messages* m_list = nullptr; /**< that contains it; nullptr: it holds nothing */
    MemoryBudget::Messages::iterator m_place;
    bool m_isProtected = false;
};

} // namespace plankledge
