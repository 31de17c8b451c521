#pragma once

#include <atomic>
#include <cstddef>

namespace buckthorncroft::limits {

/// Limits the bytes that are held for requests and responses. The budget of a service has the budget of the process as
/// its parent, so that one service cannot use the memory of the others and all services together cannot exceed the
/// limit of the process. Safe for concurrent use; no call blocks.
class MemoryBudget {
public:
    /// `limit`: bytes. `parent` must outlive this budget and may be null.
    explicit MemoryBudget(std::size_t limit, MemoryBudget* parent = nullptr);
    MemoryBudget(const MemoryBudget&) = delete;
    MemoryBudget& operator=(const MemoryBudget&) = delete;

    /// Reserves `bytes` here and in all parents, or nothing at all. Returns false when a limit would be exceeded.
    bool tryReserve(std::size_t bytes);

    /// Releases reserved bytes, here and in all parents. Releasing more than is reserved leaves the budget at 0.
    void release(std::size_t bytes);

    std::size_t used() const { return m_used.load(std::memory_order_relaxed); }
    std::size_t limit() const { return m_limit; }

private:
    std::size_t m_limit;
    MemoryBudget* m_parent;
    std::atomic<std::size_t> m_used { 0 };
};

/// Holds reserved bytes and releases them on destruction, so that error paths cannot leak them. Not safe for concurrent
/// use.
class MemoryReservation {
public:
    explicit MemoryReservation(MemoryBudget& budget)
        : m_budget(&budget)
    {
    }
    MemoryReservation(const MemoryReservation&) = delete;
    MemoryReservation& operator=(const MemoryReservation&) = delete;
    ~MemoryReservation() { shrink(m_bytes); }

    /// Reserves `bytes` more. Returns false, and keeps the bytes held so far, when the budget does not allow it.
    bool tryGrow(std::size_t bytes);

    /// Releases up to `bytes` of the bytes held.
    void shrink(std::size_t bytes);

    std::size_t bytes() const { return m_bytes; }

private:
    MemoryBudget* m_budget;
    std::size_t m_bytes = 0;
};

} // namespace buckthorncroft::limits
