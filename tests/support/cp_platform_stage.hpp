#ifndef CARDAMOMPOST_TESTS_CP_PLATFORM_STAGE_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_PLATFORM_STAGE_HPP_INCLUDED

#include "gateway/cp_gateway.hpp"
#include "platform/cp_platform_dialect.hpp"
#include "support/cp_free_port.hpp"

#include <cardamompost/net/cp_http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <mutex>
#include <thread>

namespace cardamompost::tests
{

inline Address local(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

//! One process of the gateway, on a thread of its own.
class GatewayThread
{
public:
    explicit GatewayThread(GatewaySettings settings)
        : gateway_(std::move(settings), std::make_unique<PlatformDialect>(), [] { return std::nullopt; })
    {
        isStarted_ = gateway_.start().has_value();
        thread_ = std::thread([this] { gateway_.run(); });
    }
    ~GatewayThread()
    {
        gateway_.stop();
        thread_.join();
    }
    GatewayThread(const GatewayThread &) = delete;
    GatewayThread &operator=(const GatewayThread &) = delete;

    [[nodiscard]] bool isStarted() const
    {
        return isStarted_;
    }

private:
    Gateway gateway_;
    bool isStarted_ = false;
    std::thread thread_;
};

//! The platform's side, small: a backend server that is also the list, and calls as clients and operators make them.
class PlatformStage
{
public:
    PlatformStage()
        : server_(
            io_.get_executor(), HttpLimits {},
            [this](HttpRequest &request, IHttpResponder &responder) { return serve(request, responder); },
            [](const Error &) { return HttpResponse {}; })
    {
        BOOST_REQUIRE(server_.listen(local(port)).has_value());
        thread_ = std::thread([this] { io_.run(); });
    }
    ~PlatformStage()
    {
        server_.stopAccepting();
        io_.stop();
        thread_.join();
    }
    PlatformStage(const PlatformStage &) = delete;
    PlatformStage &operator=(const PlatformStage &) = delete;

    //! The whole answer; status 0 when there was none.
    HttpResponse call(const Address &address, std::string method, std::string target, HttpHeaders headers = {},
                      std::string body = {})
    {
        HttpCall call;
        call.address = address;
        call.method = std::move(method);
        call.target = std::move(target);
        call.headers = std::move(headers);
        call.body = std::move(body);
        call.timeout = Milliseconds(5000);
        call.reuseConnection = false;
        auto run = [this, call = std::move(call)]() -> boost::asio::awaitable<HttpResponse> {
            const Result<HttpResponse> answer = co_await client_.request(call);
            HttpResponse none;
            none.status = 0;
            co_return answer ? answer.value() : none;
        };
        return boost::asio::co_spawn(io_, std::move(run), boost::asio::use_future).get();
    }

    //! The body that the backend server got with a request id; empty when it got none.
    std::string bodyOf(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        return bodies_[id];
    }
    int arrivals()
    {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }

    const std::uint16_t port = freePort();

private:
    boost::asio::awaitable<void> serve(HttpRequest &request, IHttpResponder &responder)
    {
        if (request.path == "/instances") {
            HttpResponse list;
            list.body = R"({"instances":[{"id":"i-1","service":"engines","address":")" + local(port).toString()
                + R"(","zone":"apapa","slots":16,"state":"ready"}],"next":null})";
            co_await responder.respond(std::move(list));
            co_return;
        }
        const std::string id(request.header("Request-Id"));
        {
            const std::lock_guard lock(mutex_);
            ++arrivals_;
            bodies_[id] = request.body;
        }
        if (request.path.starts_with("/tools/lost")) {
            // The work is done, and the answer is lost.
            responder.abort();
            co_return;
        }
        HttpHeaders headers;
        headers["Request-Id"] = id;
        headers["Server-Signature"] = "sig-" + id;
        headers["Content-Type"] = "text/event-stream";
        co_await responder.begin(200, headers);
        co_await responder.write("id: 1\ndata: a-" + id + "\n\n");
        co_await responder.write("id: 2\ndata: b-" + id + "\n\n");
        co_await responder.end({});
    }

    boost::asio::io_context io_;
    HttpServer server_;
    HttpClient client_;
    std::mutex mutex_;
    std::map<std::string, std::string> bodies_;
    int arrivals_ = 0;
    std::thread thread_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_PLATFORM_STAGE_HPP_INCLUDED
