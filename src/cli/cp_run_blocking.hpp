#ifndef CARDAMOMPOST_CP_RUN_BLOCKING_HPP_INCLUDED
#define CARDAMOMPOST_CP_RUN_BLOCKING_HPP_INCLUDED

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <optional>

namespace cardamompost::cli
{

template<typename T>
T runBlocking(boost::asio::awaitable<T> task)
{
    boost::asio::io_context io;
    std::optional<T> result;
    const auto store = [](boost::asio::awaitable<T> inner, std::optional<T> &out) -> boost::asio::awaitable<void> {
        T value = co_await std::move(inner);
        out.emplace(std::move(value));
    };
    boost::asio::co_spawn(io, store(std::move(task), result), [](std::exception_ptr error) {
        if (error) {
            std::rethrow_exception(error);
        }
    });
    io.run();
    return std::move(*result);
}

} // namespace cardamompost::cli

#endif // CARDAMOMPOST_CP_RUN_BLOCKING_HPP_INCLUDED
