#ifndef CARDAMOMPOST_CP_ASYNC_QUEUE_HPP_INCLUDED
#define CARDAMOMPOST_CP_ASYNC_QUEUE_HPP_INCLUDED

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <memory>
#include <mutex>
#include <optional>

namespace cardamompost
{

//! Multi-producer queue with a single consumer coroutine. push() may be called from any thread.
//!
//! The coroutine's executor must be a strand: the wake-up is posted to it and so cannot run between the check for an
//! item and the start of the wait.
template<typename T>
class AsyncQueue : public std::enable_shared_from_this<AsyncQueue<T>>
{
public:
    explicit AsyncQueue(boost::asio::any_io_executor strand)
        : timer_(std::move(strand))
    {
    }

    void push(T item)
    {
        {
            const std::lock_guard lock(mutex_);
            items_.push_back(std::move(item));
        }
        boost::asio::post(timer_.get_executor(), [self = this->shared_from_this()] { self->timer_.cancel(); });
    }

    //! \returns the next item; nullopt on timeout, or earlier on a late wake-up for an item that was already popped
    boost::asio::awaitable<std::optional<T>> pop(std::chrono::milliseconds timeout)
    {
        std::optional<T> item = tryPop();
        if (!item) {
            timer_.expires_after(timeout);
            co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
            item = tryPop();
        }
        co_return item;
    }

private:
    std::optional<T> tryPop()
    {
        const std::lock_guard lock(mutex_);
        if (items_.empty()) {
            return std::nullopt;
        }
        std::optional<T> item(std::move(items_.front()));
        items_.pop_front();
        return item;
    }

    std::mutex mutex_;
    std::deque<T> items_;
    boost::asio::steady_timer timer_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ASYNC_QUEUE_HPP_INCLUDED
