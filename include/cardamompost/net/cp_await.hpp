#ifndef CARDAMOMPOST_CP_AWAIT_HPP_INCLUDED
#define CARDAMOMPOST_CP_AWAIT_HPP_INCLUDED

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace cardamompost
{

//! Suspends a coroutine until a callback is invoked, and returns the callback's argument.
//!
//! \param start  called immediately with a std::function<void(T)>, which must be invoked exactly once, from any thread
template<typename T, typename Start>
boost::asio::awaitable<T> awaitCallback(Start start)
{
    const auto initiate = [](auto handler, Start begin) {
        using Handler = decltype(handler);
        // std::function needs a copyable target, but the handler is move-only.
        auto shared = std::make_shared<Handler>(std::move(handler));
        begin(std::function<void(T)>([shared](T value) {
            const auto executor = boost::asio::get_associated_executor(*shared);
            boost::asio::post(executor,
                              [shared, result = std::move(value)]() mutable { (*shared)(std::move(result)); });
        }));
    };
    return boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void(T)>(
        initiate, boost::asio::use_awaitable, std::move(start));
}

inline boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds time)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_AWAIT_HPP_INCLUDED
