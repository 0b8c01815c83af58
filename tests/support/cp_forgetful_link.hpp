#ifndef CARDAMOMPOST_TESTS_CP_FORGETFUL_LINK_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_FORGETFUL_LINK_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_time.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <list>
#include <memory>
#include <thread>

namespace cardamompost::tests
{

//! Passes connections on to other addresses, and can forget those that are open: they stay open and nothing passes any
//! more, in neither way, while new ones work. So does something between two ends that has lost track of them. It can
//! also hold pieces up, as lost packets do until they are sent again.
class ForgetfulLink
{
public:
    ForgetfulLink()
    {
        thread_ = std::thread([this] { io_.run(); });
    }
    ~ForgetfulLink()
    {
        io_.stop();
        thread_.join();
    }
    ForgetfulLink(const ForgetfulLink &) = delete;
    ForgetfulLink &operator=(const ForgetfulLink &) = delete;

    //! Takes connections for a target from now on. Before the first forget() only.
    void pass(const Address &from, const Address &to)
    {
        acceptors_.emplace_back(io_, endpoint(from));
        Acceptor &acceptor = acceptors_.back();
        boost::asio::co_spawn(
            io_, [this, &acceptor, to] { return accept(acceptor, to); }, boost::asio::detached);
    }
    //! Forgets the connections that are open now.
    void forget()
    {
        boost::asio::post(io_, [this] {
            *remembered_ = false;
            remembered_ = std::make_shared<bool>(true);
        });
    }

    //! From now on every third piece is held up for so long, and all behind it on its connection.
    void holdUp(Milliseconds time)
    {
        boost::asio::post(io_, [this, time] { *heldUp_ = time; });
    }

private:
    using Socket = boost::asio::ip::tcp::socket;
    using Acceptor = boost::asio::ip::tcp::acceptor;
    static constexpr auto asTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
    static constexpr unsigned heldUpEvery = 3;

    static boost::asio::ip::tcp::endpoint endpoint(const Address &address)
    {
        return {boost::asio::ip::make_address(address.host), address.port};
    }

    boost::asio::awaitable<void> accept(Acceptor &acceptor, Address to)
    {
        while (acceptor.is_open()) {
            auto [error, near] = co_await acceptor.async_accept(asTuple);
            auto one = std::make_shared<Socket>(std::move(near));
            auto other = std::make_shared<Socket>(io_);
            const boost::asio::ip::tcp::endpoint target = endpoint(to);
            std::tie(error) = co_await other->async_connect(target, asTuple);
            if (error) {
                continue;
            }
            const std::shared_ptr<bool> remembered = remembered_;
            boost::asio::co_spawn(io_, pipe(one, other, remembered, heldUp_), boost::asio::detached);
            boost::asio::co_spawn(io_, pipe(other, one, remembered, heldUp_), boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> pipe(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to,
                                             std::shared_ptr<bool> remembered, std::shared_ptr<Milliseconds> heldUp)
    {
        boost::asio::steady_timer timer(from->get_executor());
        unsigned pieces = 0;
        std::array<char, 16U << 10U> space {};
        for (;;) {
            const auto [error, got] = co_await from->async_read_some(boost::asio::buffer(space), asTuple);
            if (!*remembered && !error) {
                continue;
            }
            if (!*remembered) {
                co_return;
            }
            if (error) {
                boost::system::error_code ignored;
                to->close(ignored);
                co_return;
            }
            if (++pieces % heldUpEvery == 0 && heldUp->count() > 0) {
                timer.expires_after(*heldUp);
                co_await timer.async_wait(asTuple);
            }
            co_await boost::asio::async_write(*to, boost::asio::buffer(space, got), asTuple);
        }
    }

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ {io_.get_executor()};
    std::shared_ptr<bool> remembered_ = std::make_shared<bool>(true);
    std::shared_ptr<Milliseconds> heldUp_ = std::make_shared<Milliseconds>(0);
    std::list<Acceptor> acceptors_;
    std::thread thread_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_FORGETFUL_LINK_HPP_INCLUDED
