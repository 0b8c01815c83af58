#ifndef CARDAMOMPOST_TESTS_CP_FAKE_NETWORK_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_FAKE_NETWORK_HPP_INCLUDED

#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/core/cp_time.hpp>

#include <functional>
#include <map>
#include <random>
#include <set>

namespace cardamompost::tests
{

//! Simulates a network in virtual time that delays, reorders, duplicates and drops messages, with partitions.
class FakeNetwork
{
public:
    explicit FakeNetwork(std::uint64_t seed)
        : random(seed)
    {
    }

    void send(const VmName &from, const VmName &to, std::function<void()> deliver)
    {
        if (cuts.contains({from, to}) || chance(lossShare)) {
            return;
        }
        const int copies = chance(duplicateShare) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const Milliseconds delay(1 + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(maxDelayMs)));
            queue_.emplace(now + delay, deliver);
        }
    }

    void at(TimePoint time, std::function<void()> action)
    {
        queue_.emplace(time, std::move(action));
    }

    //! Runs the actions that are due by a time.
    void runUntil(TimePoint end)
    {
        while (!queue_.empty() && queue_.begin()->first <= end) {
            now = std::max(now, queue_.begin()->first);
            const auto action = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            action();
        }
        now = end;
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0.0, 1.0)(random) < share;
    }

    std::mt19937_64 random;
    TimePoint now {std::chrono::hours(1)};
    //! Pairs of sender and receiver whose messages are dropped.
    std::set<std::pair<VmName, VmName>> cuts;
    double lossShare = 0.02;
    double duplicateShare = 0.02;
    static constexpr std::int64_t usualMaxDelayMs = 20;
    std::int64_t maxDelayMs = usualMaxDelayMs;

private:
    std::multimap<TimePoint, std::function<void()>> queue_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_FAKE_NETWORK_HPP_INCLUDED
