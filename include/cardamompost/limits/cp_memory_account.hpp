#ifndef CARDAMOMPOST_CP_MEMORY_ACCOUNT_HPP_INCLUDED
#define CARDAMOMPOST_CP_MEMORY_ACCOUNT_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_set>

namespace cardamompost
{

//! What a connection makes the process hold.
enum class HeldPart {
    //! Bytes of a request that has not arrived completely.
    Input,
    //! A complete request, and what is kept or copied while it is handled.
    Request,
    //! What is kept of a response that the client does not take.
    Response,
    //! Upper bound for what the kernel's queues hold.
    Queues,
};
inline constexpr std::size_t heldPartCount = 4;

//! Limits of a MemoryAccount.
struct MemoryLimits {
    std::size_t totalBytes = 0;
    //! Part of the total that only connections which hold at most smallBytes may use.
    std::size_t reserveBytes = 0;
    std::size_t smallBytes = 0;

    //! Limits for a process with some memory, most of which its clients may use.
    [[nodiscard]] static MemoryLimits forProcess(std::size_t memoryBytes);
};

//! Bounds the memory that all connections of a process hold together.
//!
//! At the limit, the connection that has recently made the least progress for what it holds gives way: one that waits
//! for its client, either for the rest of a request or to take a response. Thread-safe.
class MemoryAccount
{
public:
    explicit MemoryAccount(MemoryLimits limits)
        : limits_(limits)
    {
    }

    //! The part of one connection, which ends with its lifetime.
    class Holder
    {
    public:
        //! \param giveWay  makes the connection release what it holds; called on any thread, and at most once
        Holder(MemoryAccount &account, std::function<void()> giveWay);
        ~Holder();
        Holder(const Holder &) = delete;
        Holder &operator=(const Holder &) = delete;

        //! \returns false if the bytes don't fit, and the connection has to release them
        bool set(HeldPart part, std::size_t bytes);
        //! From now on the connection waits for its client, or no longer.
        void setWaiting(bool isWaiting);
        //! The client has sent or taken bytes.
        void addProgress(std::size_t bytes);
        //! The connection was told to give way.
        [[nodiscard]] bool hasGivenWay() const;
        [[nodiscard]] std::size_t bytes(HeldPart part) const;

    private:
        friend class MemoryAccount;
        [[nodiscard]] std::size_t total() const;
        //! Recent progress in relation to what the connection holds.
        [[nodiscard]] double progress(TimePoint now) const;
        //! Bytes that the client has sent or taken, of which older ones count less.
        [[nodiscard]] double recentBytes(TimePoint now) const;

        MemoryAccount &account_;
        std::function<void()> giveWay_;
        std::array<std::size_t, heldPartCount> bytes_ {};
        bool isWaiting_ = false;
        bool hasGivenWay_ = false;
        double recentBytes_ = 0;
        //! When recentBytes_ was valid.
        TimePoint progressAt_ {};
    };

    //! Sets a function that replaces upper bounds by measured values, which is called before a connection gives way.
    void setMeasure(std::function<void()> measure)
    {
        measure_ = std::move(measure);
    }
    //! True if a connection may hold this many more bytes, after others have given way.
    [[nodiscard]] bool hasRoomFor(std::size_t bytes);
    [[nodiscard]] std::size_t total() const;
    [[nodiscard]] const MemoryLimits &limits() const
    {
        return limits_;
    }
    //! Number of times that a connection has given way, or that bytes did not fit.
    [[nodiscard]] std::uint64_t refusals() const;

private:
    [[nodiscard]] std::size_t limitFor(std::size_t bytes) const;
    [[nodiscard]] bool isOver(std::size_t bytes) const;
    //! Lets connections give way until there is room. \returns false if the holder itself has to
    bool makeRoom(Holder &holder, std::unique_lock<std::mutex> &lock);
    [[nodiscard]] Holder *leastProgress(TimePoint now) const;

    const MemoryLimits limits_;
    std::function<void()> measure_;
    mutable std::mutex mutex_;
    std::unordered_set<Holder *> holders_;
    std::size_t total_ = 0;
    //! Part of the total of connections that have been told to give way.
    std::size_t leaving_ = 0;
    std::uint64_t refusals_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_MEMORY_ACCOUNT_HPP_INCLUDED
