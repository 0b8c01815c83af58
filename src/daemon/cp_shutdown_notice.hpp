#ifndef CARDAMOMPOST_CP_SHUTDOWN_NOTICE_HPP_INCLUDED
#define CARDAMOMPOST_CP_SHUTDOWN_NOTICE_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/net/cp_async_queue.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <functional>
#include <map>
#include <mutex>

namespace cardamompost
{

//! Tells the requests in progress that the process is about to end, so that each gets its final answer. Thread-safe.
class ShutdownNotice
{
    struct State {
        std::mutex mutex;
        bool isGiven = false;
        std::uint64_t nextId = 0;
        std::map<std::uint64_t, std::function<void()>> listeners;
    };

public:
    //! Removes the listener in its destructor. May outlive the notice.
    class Subscription
    {
    public:
        Subscription(std::shared_ptr<State> state, std::uint64_t id)
            : state_(std::move(state))
            , id_(id)
        {
        }
        ~Subscription()
        {
            const std::lock_guard lock(state_->mutex);
            state_->listeners.erase(id_);
        }
        Subscription(const Subscription &) = delete;
        Subscription &operator=(const Subscription &) = delete;

    private:
        std::shared_ptr<State> state_;
        std::uint64_t id_;
    };

    //! \param listener  called once, at once if the notice was given before; must not block or use the notice
    [[nodiscard]] Subscription subscribe(std::function<void()> listener)
    {
        const std::lock_guard lock(state_->mutex);
        if (state_->isGiven) {
            listener();
        }
        const std::uint64_t id = state_->nextId++;
        state_->listeners.emplace(id, std::move(listener));
        return {state_, id};
    }
    void give()
    {
        const std::lock_guard lock(state_->mutex);
        if (!std::exchange(state_->isGiven, true)) {
            for (const auto &[id, listener] : state_->listeners) {
                listener();
            }
        }
    }
    [[nodiscard]] bool isGiven() const
    {
        const std::lock_guard lock(state_->mutex);
        return state_->isGiven;
    }

private:
    std::shared_ptr<State> state_ = std::make_shared<State>();
};

//! The final answer to a request that is not complete when the process ends.
[[nodiscard]] inline Error shuttingDownError(Outcome outcome)
{
    // Another VM can take the request at once.
    constexpr Milliseconds retryElsewhereAfter {20};
    Error error = makeError(ErrorKind::NotReady, "this VM is shutting down; use another VM");
    error.outcome = outcome;
    error.retryAfter = retryElsewhereAfter;
    return error;
}

//! Awaits work on the current strand; returns nothing if the notice is given first, while the work continues.
template<typename T>
boost::asio::awaitable<std::optional<T>> awaitUntilShutdown(ShutdownNotice &notice, boost::asio::awaitable<T> work)
{
    using Results = AsyncQueue<std::optional<T>>;
    constexpr std::chrono::hours wakeUpInterval {1};
    const auto strand = co_await boost::asio::this_coro::executor;
    const auto results = std::make_shared<Results>(strand);
    const auto subscription = notice.subscribe([results] { results->push(std::nullopt); });
    auto run = [](std::shared_ptr<Results> to, boost::asio::awaitable<T> from) -> boost::asio::awaitable<void> {
        std::optional<T> result = co_await std::move(from);
        to->push(std::move(result));
    };
    boost::asio::co_spawn(strand, run(results, std::move(work)), boost::asio::detached);
    std::optional<std::optional<T>> first;
    while (!first) {
        first = co_await results->pop(wakeUpInterval);
    }
    co_return std::move(*first);
}

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SHUTDOWN_NOTICE_HPP_INCLUDED
