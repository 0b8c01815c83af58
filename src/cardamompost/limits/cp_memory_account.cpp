#include <cardamompost/limits/cp_memory_account.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace cardamompost
{

namespace
{

// Shares of the process's memory.
constexpr std::size_t totalDivisor = 2;
constexpr std::size_t reserveDivisor = 8;
constexpr std::size_t smallHolderBytes = 64U << 10U;
// A connection that holds less frees too little to be worth its loss.
constexpr std::size_t minFreedBytes = 2U << 10U;
constexpr std::size_t minLargeBytes = 16U << 10U;
constexpr std::chrono::duration<double> progressHalfLife {0.5};

} // namespace

MemoryLimits MemoryLimits::forProcess(std::size_t memoryBytes)
{
    return {memoryBytes / totalDivisor, memoryBytes / reserveDivisor, smallHolderBytes};
}

MemoryAccount::Holder::Holder(MemoryAccount &account, std::function<void()> giveWay)
    : account_(account)
    , giveWay_(std::move(giveWay))
{
    const std::lock_guard lock(account_.mutex_);
    account_.holders_.insert(this);
}

MemoryAccount::Holder::~Holder()
{
    const std::lock_guard lock(account_.mutex_);
    account_.holders_.erase(this);
    account_.total_ -= total();
    account_.leaving_ -= hasGivenWay_ ? total() : 0;
}

bool MemoryAccount::Holder::set(HeldPart part, std::size_t bytes)
{
    std::unique_lock lock(account_.mutex_);
    std::size_t &held = bytes_[static_cast<std::size_t>(part)];
    const bool hasGrown = bytes > held;
    account_.total_ += bytes - held;
    account_.leaving_ += hasGivenWay_ ? bytes - held : 0;
    held = bytes;
    return !hasGrown || account_.makeRoom(*this, lock);
}

void MemoryAccount::Holder::setWaiting(bool isWaiting)
{
    const std::lock_guard lock(account_.mutex_);
    isWaiting_ = isWaiting;
}

void MemoryAccount::Holder::addProgress(std::size_t bytes)
{
    const TimePoint now = std::chrono::steady_clock::now();
    const std::lock_guard lock(account_.mutex_);
    recentBytes_ = recentBytes(now) + static_cast<double>(bytes);
    progressAt_ = now;
}

bool MemoryAccount::Holder::hasGivenWay() const
{
    const std::lock_guard lock(account_.mutex_);
    return hasGivenWay_;
}

std::size_t MemoryAccount::Holder::bytes(HeldPart part) const
{
    const std::lock_guard lock(account_.mutex_);
    return bytes_[static_cast<std::size_t>(part)];
}

std::size_t MemoryAccount::Holder::total() const
{
    return std::accumulate(bytes_.begin(), bytes_.end(), std::size_t {0});
}

double MemoryAccount::Holder::progress(TimePoint now) const
{
    const auto held = static_cast<double>(std::max<std::size_t>(total(), 1));
    // Squared, so that a slow client which holds little is kept rather than one that holds much and has just stopped.
    return recentBytes(now) / (held * held);
}

double MemoryAccount::Holder::recentBytes(TimePoint now) const
{
    const std::chrono::duration<double> age = now - progressAt_;
    return recentBytes_ * std::exp2(-(age / progressHalfLife));
}

std::size_t MemoryAccount::limitFor(std::size_t bytes) const
{
    return bytes > limits_.smallBytes ? limits_.totalBytes - limits_.reserveBytes : limits_.totalBytes;
}

bool MemoryAccount::isOver(std::size_t bytes) const
{
    return total_ - leaving_ > limitFor(bytes);
}

bool MemoryAccount::makeRoom(Holder &holder, std::unique_lock<std::mutex> &lock)
{
    const std::size_t bytes = holder.total();
    if (isOver(bytes) && measure_) {
        lock.unlock();
        measure_();
        lock.lock();
    }
    while (!holder.hasGivenWay_ && isOver(bytes)) {
        Holder *slowest = leastProgress(std::chrono::steady_clock::now());
        if (slowest == nullptr) {
            ++refusals_;
            return false;
        }
        slowest->hasGivenWay_ = true;
        leaving_ += slowest->total();
        ++refusals_;
        slowest->giveWay_();
    }
    return !holder.hasGivenWay_;
}

MemoryAccount::Holder *MemoryAccount::leastProgress(TimePoint now) const
{
    Holder *slowest = nullptr;
    std::pair<bool, double> least;
    for (Holder *holder : holders_) {
        if (!holder->isWaiting_ || holder->hasGivenWay_ || holder->total() < minFreedBytes) {
            continue;
        }
        // Many connections that hold little are closed only if there is none that holds more.
        const bool isLarge = holder->total() >= minLargeBytes;
        const std::pair order(!isLarge, holder->progress(now));
        if (slowest == nullptr || order < least) {
            slowest = holder;
            least = order;
        }
    }
    return slowest;
}

bool MemoryAccount::hasRoomFor(std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    std::size_t waiting = 0;
    for (const Holder *holder : holders_) {
        waiting += holder->isWaiting_ && !holder->hasGivenWay_ ? holder->total() : 0;
    }
    const bool hasRoom = total_ - leaving_ - waiting + bytes <= limitFor(bytes);
    refusals_ += hasRoom ? 0 : 1;
    return hasRoom;
}

std::size_t MemoryAccount::total() const
{
    const std::lock_guard lock(mutex_);
    return total_;
}

std::uint64_t MemoryAccount::refusals() const
{
    const std::lock_guard lock(mutex_);
    return refusals_;
}

} // namespace cardamompost
