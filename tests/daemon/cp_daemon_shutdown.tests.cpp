#include "daemon/cp_daemon.hpp"
#include "support/cp_free_port.hpp"
#include "support/cp_raw_caller.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;
constexpr int maxTries = 400;
constexpr Milliseconds tryPause {25};
constexpr int directoryTtlMs = 300;

template<typename Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < maxTries; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(tryPause);
    }
    return false;
}

//! An engine whose streams have one token and no end, and a service that doesn't respond.
class EndlessServers
{
public:
    EndlessServers()
        : address {"127.0.0.1", freePort()}
        , server_(
              io_.get_executor(), HttpLimits {},
              [this](HttpRequest &request, IHttpResponder &responder) { return serve(request, responder); },
              [](const Error &) { return HttpResponse {}; })
    {
        BOOST_REQUIRE(server_.listen(address).has_value());
        thread_ = std::thread([this] { io_.run(); });
    }
    ~EndlessServers()
    {
        io_.stop();
        thread_.join();
    }

    const Address address;
    std::atomic<int> calls {0};

private:
    boost::asio::awaitable<void> serve(HttpRequest &request, IHttpResponder &responder)
    {
        if (request.path.starts_with("/v1/cache/")) {
            HttpResponse response;
            response.body = R"({"programs":[]})";
            co_await responder.respond(std::move(response));
            co_return;
        }
        ++calls;
        bool isConnected = request.path == "/v1/chat/completions";
        if (isConnected) {
            HttpHeaders headers;
            headers["Content-Type"] = "text/event-stream";
            co_await responder.begin(statusOk, std::move(headers));
            co_await responder.write("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"first\"}}]}\n\n");
        }
        while (true) {
            co_await sleepFor(Milliseconds(200));
            isConnected = isConnected && co_await responder.write(":\n\n");
        }
    }

    boost::asio::io_context io_;
    HttpServer server_;
    std::thread thread_;
};

//! A system of one VM, which the test tells to stop.
class RunningDaemon
{
public:
    RunningDaemon()
        : RunningDaemon(std::filesystem::temp_directory_path()
                        / ("cardamompost-daemon-" + std::to_string(randomIdentity())))
    {
        const HttpHeaders submission {{"Host", "h"}, {"Authorization", "Bearer first-key"}, {"If-Match", "0"}};
        ReceivedResponse submitted;
        BOOST_REQUIRE_MESSAGE(eventually([&] {
                                  submitted = RawCaller(http_).call("PUT", "/v1/operator/configuration?wait_ms=1000",
                                                                    submission, document());
                                  return submitted.status == statusOk;
                              }),
                              submitted.body);
        // The partitions have owners.
        BOOST_REQUIRE(eventually(
            [&] { return RawCaller(http_).call("GET", "/v1/programs/none", headers()).status != statusUnavailable; }));
    }
    ~RunningDaemon()
    {
        for (int i = 0; i < maxTries && !hasEnded_; ++i) {
            tellToStop();
            std::this_thread::sleep_for(tryPause);
        }
        thread_.join();
        std::filesystem::remove_all(folder_);
    }

    [[nodiscard]] const Address &address() const
    {
        return http_;
    }
    //! Delivers SIGTERM, and waits until the daemon has logged that it took the signal.
    void stop()
    {
        tellToStop();
        BOOST_REQUIRE(eventually([this] { return hasLogged("daemon.leaving"); }));
    }
    void stopTwice()
    {
        stop();
        tellToStop();
    }
    [[nodiscard]] bool hasEnded() const
    {
        return eventually([this] { return hasEnded_.load(); });
    }
    void waitUntilReached(int calls)
    {
        BOOST_REQUIRE(eventually([&] { return servers_.calls >= calls; }));
    }

    //! \returns the id of a new program
    std::string createProgram()
    {
        RawCaller caller(http_);
        const ReceivedResponse created
            = caller.call("POST", "/v1/programs", headers(), R"({"deployment":"agents","class":"work"})");
        BOOST_REQUIRE(created.status == 201U);
        return created.headers.at("Cardamompost-Program");
    }
    static HttpHeaders headers()
    {
        return {{"Host", "h"}, {"Authorization", "Bearer caller-key"}, {"Content-Type", "application/json"}};
    }
    //! The bytes of a request.
    static std::string message(const std::string &method, const std::string &target, const std::string &body)
    {
        return fmt::format("{} {} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer caller-key\r\n"
                           "Content-Length: {}\r\n\r\n{}",
                           method, target, body.size(), body);
    }

private:
    explicit RunningDaemon(std::filesystem::path folder)
        : folder_(std::move(folder))
        , http_ {"127.0.0.1", freePort()}
        , daemon_(settings())
    {
        BOOST_REQUIRE(daemon_.start().has_value());
        thread_ = std::thread([this] {
            daemon_.run();
            hasEnded_ = true;
        });
    }
    static void tellToStop()
    {
        ::kill(::getpid(), SIGTERM);
    }
    [[nodiscard]] bool hasLogged(const std::string &event) const
    {
        std::ifstream input(folder_ / "vm.log");
        for (std::string line; std::getline(input, line);) {
            if (line.find('"' + event + '"') != std::string::npos) {
                return true;
            }
        }
        return false;
    }
    Settings settings()
    {
        std::filesystem::create_directories(folder_);
        const std::string peer = fmt::format("127.0.0.1:{}", freePort());
        const SettingsResult parsed = parseSettings(
            fmt::format("[vm]\nname = vm-1\nfailure_domain = apapa\nhttp = {}\npeer = {}\nkeeper = true\n"
                        "data_folder = {}\nlog_file = {}\nlog_level = info\ndirectory_ttl_ms = {}\nworkers = 2\n"
                        "[system]\npartitions = 4\nbootstrap_key_sha256 = {}\n"
                        "[keeper vm-1]\npeer = {}\nfailure_domain = apapa\n",
                        http_.toString(), peer, (folder_ / "data").string(), (folder_ / "vm.log").string(),
                        directoryTtlMs, sha256Hex("first-key"), peer));
        BOOST_REQUIRE(parsed.errors.empty());
        return parsed.settings;
    }
    [[nodiscard]] std::string document() const
    {
        return fmt::format("[class work]\nrank = 0\ndeadline_ms = 600000\n"
                           "[deployment agents]\nmodel = m\nclasses = work\nqueue_limit = 100\n"
                           "[replica agents/0]\ndeployment = agents\naddress = {0}\nfailure_domain = apapa\n"
                           "slots = 8\n"
                           "[service tools]\naddresses = {0}\ntimeout_ms = 60000\n"
                           "[caller c]\nkey_sha256 = {1}\ndeployments = agents\nclasses = work\nservices = tools\n"
                           "program_budget_tokens = 200000\n"
                           "[operator duty]\nkey_sha256 = {2}\n",
                           servers_.address.toString(), sha256Hex("caller-key"), sha256Hex("duty-key"));
    }

    std::filesystem::path folder_;
    Address http_;
    EndlessServers servers_;
    Daemon daemon_;
    std::atomic<bool> hasEnded_ {false};
    std::thread thread_;
};

const std::string serviceCall
    = R"({"sequence":1,"kind":"service","service":"tools","method":"POST","path":"/x","body":"{}"})";
const std::string streamedCall
    = R"({"sequence":1,"kind":"model","messages":[{"role":"user","content":"x"}],"max_tokens":50,"stream":true})";

void checkRefusal(const ReceivedResponse &response, const std::string &outcome)
{
    BOOST_TEST(response.isComplete);
    BOOST_TEST(response.status == statusUnavailable);
    BOOST_TEST(response.body.find("not-ready") != std::string::npos);
    const auto found = response.headers.find("Cardamompost-Outcome");
    BOOST_TEST((found == response.headers.end() ? std::string() : found->second) == outcome);
}

} // namespace

BOOST_AUTO_TEST_SUITE(daemon_shutdown)

// Guards against a call that was accepted and whose caller gets no answer when its VM ends at once.
BOOST_AUTO_TEST_CASE(a_call_under_way_at_the_second_signal_gets_its_final_answer)
{
    RunningDaemon daemon;
    const std::string path = "/v1/programs/" + daemon.createProgram() + "/calls";
    RawCaller caller(daemon.address());
    caller.send(RunningDaemon::message("POST", path, serviceCall));
    daemon.waitUntilReached(1);
    daemon.stopTwice();
    checkRefusal(caller.receive(), "unknown");
    BOOST_TEST(daemon.hasEnded());
}

// Guards against a stream that ends without its outcome when its VM ends at once.
BOOST_AUTO_TEST_CASE(a_stream_under_way_at_the_second_signal_ends_with_its_outcome)
{
    RunningDaemon daemon;
    const std::string path = "/v1/programs/" + daemon.createProgram() + "/calls";
    RawCaller caller(daemon.address());
    caller.send(RunningDaemon::message("POST", path, streamedCall));
    daemon.waitUntilReached(1);
    daemon.stopTwice();
    const ReceivedResponse response = caller.receive();
    BOOST_TEST(response.isComplete);
    BOOST_TEST(response.body.find("not-ready") != std::string::npos);
    BOOST_TEST((response.headers.contains("Cardamompost-Outcome")
                && response.headers.at("Cardamompost-Outcome") == "unknown"));
    BOOST_TEST(daemon.hasEnded());
}

// Guards against a request without an answer because only a part of it has arrived when its VM ends at once.
BOOST_AUTO_TEST_CASE(a_request_that_is_being_read_at_the_second_signal_is_refused)
{
    RunningDaemon daemon;
    const std::string whole
        = RunningDaemon::message("POST", "/v1/programs", R"({"deployment":"agents","class":"work"})");
    RawCaller caller(daemon.address());
    caller.send(whole.substr(0, whole.size() - 5));
    // The partial request is read before this one.
    BOOST_TEST(RawCaller(daemon.address()).call("GET", "/v1/models", RunningDaemon::headers()).status == statusOk);
    daemon.stopTwice();
    checkRefusal(caller.receive(), "not-run");
    BOOST_TEST(daemon.hasEnded());
}

// Guards against a request that a drain cuts because it is still being read when nothing else is under way.
BOOST_AUTO_TEST_CASE(a_request_that_is_being_read_at_the_end_of_a_drain_is_served)
{
    RunningDaemon daemon;
    const std::string whole = RunningDaemon::message("GET", "/v1/models", "{}");
    RawCaller caller(daemon.address());
    caller.send(whole.substr(0, whole.size() - 1));
    BOOST_TEST(RawCaller(daemon.address()).call("GET", "/v1/models", RunningDaemon::headers()).status == statusOk);
    daemon.stop();
    // Past the time for which the directory's answers may be cached, after which nothing else holds the process.
    std::this_thread::sleep_for(Milliseconds(4 * directoryTtlMs));
    caller.send(whole.substr(whole.size() - 1));
    const ReceivedResponse response = caller.receive();
    BOOST_TEST(response.isComplete);
    BOOST_TEST((response.status == statusOk || response.status == statusUnavailable));
    BOOST_TEST(daemon.hasEnded());
}

// Guards against a pipelined request that has arrived and that the answer before it leaves without its own.
BOOST_AUTO_TEST_CASE(a_pipelined_request_that_has_arrived_at_the_second_signal_gets_its_answer)
{
    RunningDaemon daemon;
    const std::string path = "/v1/programs/" + daemon.createProgram() + "/calls";
    RawCaller caller(daemon.address());
    caller.send(RunningDaemon::message("POST", path, serviceCall) + RunningDaemon::message("GET", "/v1/entries", ""));
    daemon.waitUntilReached(1);
    daemon.stopTwice();
    checkRefusal(caller.receive(), "unknown");
    const ReceivedResponse second = caller.receive();
    BOOST_TEST(second.isComplete);
    BOOST_TEST(second.status == statusOk);
    BOOST_TEST(daemon.hasEnded());
}

BOOST_AUTO_TEST_SUITE_END()
