#ifndef CARDAMOMPOST_TESTS_CP_PLATFORM_STAGE_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_PLATFORM_STAGE_HPP_INCLUDED

#include "gateway/cp_gateway.hpp"
#include "platform/cp_platform_adapter.hpp"
#include "support/cp_conducted_files.hpp"
#include "support/cp_free_port.hpp"

#include <cardamompost/net/cp_await.hpp>
#include <cardamompost/net/cp_http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>
#include <mutex>
#include <set>
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
    //! \param disk  how its disk behaves
    explicit GatewayThread(GatewaySettings settings, ConductedFiles::Conduct disk = std::make_shared<DiskConduct>())
        : gateway_(
            std::move(settings), std::make_unique<PlatformAdapter>(), [this] { return settingsFile(); },
            [disk](const std::string &folder) -> Result<std::unique_ptr<IFiles>> {
                BOOST_OUTCOME_TRY(auto files, PosixFiles::openFolder(folder, true));
                return std::unique_ptr<IFiles>(std::make_unique<ConductedFiles>(std::move(files), disk));
            })
    {
        isStarted_ = gateway_.start().has_value();
        thread_ = std::thread([this] {
            exitCode_ = gateway_.run();
            hasEnded_ = true;
        });
    }
    ~GatewayThread()
    {
        gateway_.stop();
        thread_.join();
    }
    GatewayThread(const GatewayThread &) = delete;
    GatewayThread &operator=(const GatewayThread &) = delete;

    //! Its thread stands still, as on a VM that is frozen, until thaw().
    void freeze()
    {
        isFrozen() = true;
        std::signal(SIGUSR1, [](int) {
            while (isFrozen()) {
                constexpr timespec pause {0, 1'000'000};
                ::nanosleep(&pause, nullptr);
            }
        });
        ::pthread_kill(thread_.native_handle(), SIGUSR1);
    }
    static void thaw()
    {
        isFrozen() = false;
    }

    [[nodiscard]] bool isStarted() const
    {
        return isStarted_;
    }
    //! The process has ended by itself.
    [[nodiscard]] bool hasEnded() const
    {
        return hasEnded_;
    }
    //! Once it has ended.
    [[nodiscard]] int exitCode() const
    {
        return exitCode_;
    }
    void deliver(int signal)
    {
        gateway_.deliver(signal);
    }
    //! Changes the settings file, and says so to the process.
    void reload(GatewaySettings settings)
    {
        changeSettingsFile(std::move(settings));
        gateway_.deliver(SIGHUP);
    }
    //! Changes the settings file without a word.
    void changeSettingsFile(GatewaySettings settings)
    {
        const std::lock_guard lock(mutex_);
        settingsFile_ = std::move(settings);
    }

private:
    //! Nothing while nobody has written one, as for a file that can't be read.
    [[nodiscard]] std::optional<GatewaySettings> settingsFile() const
    {
        const std::lock_guard lock(mutex_);
        return settingsFile_;
    }

    mutable std::mutex mutex_;
    std::optional<GatewaySettings> settingsFile_;
    static std::atomic<bool> &isFrozen()
    {
        static std::atomic<bool> frozen {false};
        return frozen;
    }

    Gateway gateway_;
    bool isStarted_ = false;
    std::atomic<int> exitCode_ {0};
    std::atomic<bool> hasEnded_ {false};
    std::thread thread_;
};

//! The platform's side, small: two backend servers, one of which is also the list, and calls as clients and operators
//! make them. What a server does follows from the path: "lost" loses the answer of work that was done, "silent-once"
//! runs it without an answer the first time, "twice" answers a second time, "cut-once" breaks its stream within an
//! event, "slow" takes its time, "never" answers nothing.
class PlatformStage
{
public:
    PlatformStage()
    {
        for (std::size_t i = 0; i < serverCount; ++i) {
            servers_.push_back(std::make_unique<HttpServer>(
                io_.get_executor(), HttpLimits {},
                [this, i](HttpRequest &request, IHttpResponder &responder) { return serve(i, request, responder); },
                [](const Error &) { return HttpResponse {}; }));
            BOOST_REQUIRE(servers_.back()->listen(local(ports[i])).has_value());
        }
        thread_ = std::thread([this] { io_.run(); });
    }
    ~PlatformStage()
    {
        io_.stop();
        thread_.join();
    }
    PlatformStage(const PlatformStage &) = delete;
    PlatformStage &operator=(const PlatformStage &) = delete;

    [[nodiscard]] Address listAddress() const
    {
        return local(ports.front());
    }

    //! Begins a call; its whole answer comes later, with status 0 when there was none.
    std::future<HttpResponse> begin(const Address &address, std::string method, std::string target,
                                    HttpHeaders headers = {}, std::string body = {},
                                    Milliseconds timeout = Milliseconds(5000))
    {
        HttpCall call;
        call.address = address;
        call.method = std::move(method);
        call.target = std::move(target);
        call.headers = std::move(headers);
        call.body = std::move(body);
        call.timeout = timeout;
        call.reuseConnection = false;
        auto run = [this, call = std::move(call)]() -> boost::asio::awaitable<HttpResponse> {
            const Result<HttpResponse> answer = co_await client_.request(call);
            HttpResponse none;
            none.status = 0;
            co_return answer ? answer.value() : none;
        };
        return boost::asio::co_spawn(io_, std::move(run), boost::asio::use_future);
    }
    HttpResponse call(const Address &address, std::string method, std::string target, HttpHeaders headers = {},
                      std::string body = {})
    {
        return begin(address, std::move(method), std::move(target), std::move(headers), std::move(body)).get();
    }

    //! The body that a backend server got with a request id; empty when none got it.
    std::string bodyOf(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        return bodies_[id];
    }
    //! A header as the backend server got it; empty when it got none.
    std::string headerOf(const std::string &id, const std::string &name)
    {
        const std::lock_guard lock(mutex_);
        const auto found = headers_[id].find(name);
        return found == headers_[id].end() ? std::string() : found->second;
    }
    //! How often a request reached a backend server.
    std::size_t runsOf(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        return runs_[id].size();
    }
    //! The backend server that a request reached last.
    std::string lastServerOf(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        return runs_[id].empty() ? std::string() : "i-" + std::to_string(runs_[id].back() + 1);
    }
    //! Whether a stream ended because nobody took it any more.
    bool wasLeft(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        return left_.contains(id);
    }
    //! From now on another server has the first one's address, as after its end.
    void reuseFirstAddress()
    {
        const std::lock_guard lock(mutex_);
        isReused_ = true;
    }
    int arrivals()
    {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }

private:
    static constexpr std::size_t serverCount = 2;
    static constexpr Milliseconds slowPause {150};
    static constexpr int slowEvents = 4;

    [[nodiscard]] HttpResponse list() const
    {
        HttpResponse list;
        list.body = R"({"instances":[)";
        for (std::size_t i = 0; i < serverCount; ++i) {
            list.body += std::string(i == 0 ? "" : ",") + R"({"id":"i-)" + std::to_string(i + 1)
                + R"(","service":"engines","address":")" + local(ports[i]).toString()
                + R"(","zone":"apapa","slots":16,"state":"ready"})";
        }
        list.body += R"(],"next":null})";
        return list;
    }
    //! Notes an arrival. \returns how many came before with the same id
    std::size_t note(std::size_t server, const std::string &id, const HttpRequest &request)
    {
        const std::lock_guard lock(mutex_);
        ++arrivals_;
        bodies_[id] = request.body;
        headers_[id] = request.headers;
        runs_[id].push_back(server);
        return runs_[id].size() - 1;
    }
    //! Whether a request that names an instance is at the right one.
    bool isMeant(std::size_t server, const std::string &expected)
    {
        const std::lock_guard lock(mutex_);
        const std::string own = server == 0 && isReused_ ? "i-9" : "i-" + std::to_string(server + 1);
        return expected == own;
    }
    static std::string event(int number, const std::string &text)
    {
        return "id: " + std::to_string(number) + "\ndata: " + text + "\n\n";
    }

    boost::asio::awaitable<void> serve(std::size_t server, HttpRequest &request, IHttpResponder &responder)
    {
        if (request.path == "/instances") {
            co_await responder.respond(list());
            co_return;
        }
        const std::string id(request.header("Request-Id"));
        if (!isMeant(server, std::string(request.header("Expected-Instance")))) {
            HttpResponse misdirected;
            misdirected.status = 421;
            misdirected.headers["Request-Id"] = id;
            co_await responder.respond(std::move(misdirected));
            co_return;
        }
        const std::size_t before = note(server, id, request);
        const auto has = [&](std::string_view word) { return request.path.find(word) != std::string::npos; };
        if (has("/never") || (has("silent-once") && before == 0)) {
            co_await sleepFor(Milliseconds(60'000));
        }
        if (has("/lost")) {
            responder.abort();
            co_return;
        }
        HttpHeaders headers;
        headers["Request-Id"] = id;
        headers["Server-Signature"] = "sig-" + id;
        headers["Content-Type"] = "text/event-stream";
        co_await responder.begin(200, headers);
        if (has("/slow")) {
            for (int i = 1; i <= slowEvents; ++i) {
                co_await sleepFor(slowPause);
                const bool isTaken = co_await responder.write(event(i, "s"));
                if (!isTaken) {
                    const std::lock_guard lock(mutex_);
                    left_.insert(id);
                    co_return;
                }
            }
            co_await responder.end({});
            co_return;
        }
        if (request.header("Last-Event-Id") != "1") {
            co_await responder.write(event(1, "a-" + id));
        }
        if (has("cut-once") && before == 0) {
            co_await responder.write("id: 2\ndata: b-");
            responder.abort();
            co_return;
        }
        co_await responder.write(event(2, "b-" + id));
        co_await responder.end({});
        if (has("/twice")) {
            HttpResponse second;
            second.headers["Request-Id"] = id;
            second.headers["Server-Signature"] = "sig-" + id;
            second.body = "a second answer";
            co_await responder.respond(std::move(second));
        }
    }

    const std::array<std::uint16_t, serverCount> ports {freePort(), freePort()};
    boost::asio::io_context io_;
    std::vector<std::unique_ptr<HttpServer>> servers_;
    HttpClient client_;
    std::mutex mutex_;
    std::map<std::string, std::string> bodies_;
    std::map<std::string, HttpHeaders> headers_;
    std::map<std::string, std::vector<std::size_t>> runs_;
    std::set<std::string> left_;
    bool isReused_ = false;
    int arrivals_ = 0;
    std::thread thread_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_PLATFORM_STAGE_HPP_INCLUDED
