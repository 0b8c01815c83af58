#include "support/cp_gateway_cluster.hpp"
#include "support/cp_raw_caller.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;
// From before the times of a 2.5 s grace period until its end.
constexpr Milliseconds freezeTime {2600};
// A caller's wait that is longer than the longest grace period of these tests.
constexpr Milliseconds longWait {30'000};

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string toolsRoute(int timeoutMs)
{
    return R"({"name":"tools","host":"h.example","path-prefix":"/tools/","kind":"unsafe","timeout-ms":)"
        + std::to_string(timeoutMs) + R"(,"service":"engines",
  "max-attempts":1},)";
}

std::string documentWithTimeout(int version, int timeoutMs)
{
    return replaced(document(version), toolsRoute(4000), toolsRoute(timeoutMs));
}

std::string documentWithoutTools(int version)
{
    return replaced(document(version), toolsRoute(4000), "");
}

//! A cluster with one entry, which is told to reload its settings and to stop.
struct ReloadCluster : GatewayCluster {
    explicit ReloadCluster(const std::string &routes = document(3))
    {
        put(routes);
    }

    void start(Milliseconds grace = Milliseconds(2500))
    {
        GatewaySettings settings = commonSettings("entry-0");
        settings.front = local(freePort());
        settings.ready = local(freePort());
        settings.seeds = seeds();
        settings.grace = grace;
        entrySettings.push_back(settings);
        entryThreads.push_back(std::make_unique<GatewayThread>(settings));
        BOOST_REQUIRE(thread().isStarted());
        entry = settings.front;
    }
    void startReady(Milliseconds grace = Milliseconds(2500))
    {
        start(grace);
        BOOST_REQUIRE(eventually([&] { return readiness(0) == statusOk; }));
    }
    GatewayThread &thread()
    {
        return *entryThreads.front();
    }
    //! Sends a request, and waits until its server has it.
    std::future<HttpResponse> beginRequest(const std::string &id, const std::string &path,
                                           Milliseconds wait = Milliseconds(6000))
    {
        HttpHeaders fields = headers(id);
        fields["Deadline-Milliseconds"] = std::to_string(wait.count());
        std::future<HttpResponse> response = platform.begin(entry, "POST", path, fields, "x", wait);
        BOOST_REQUIRE(eventually([&] { return platform.runsOf(id) == 1; }));
        return response;
    }
    //! Puts a document, and waits until the entry has it.
    void replaceDocument(const std::string &text)
    {
        const std::size_t before = logCount("document.in_force");
        put(text);
        BOOST_REQUIRE(eventually([&] { return logCount("document.in_force") > before; }));
    }
    void reload(std::vector<Address> newSeeds)
    {
        const std::size_t before = logCount("process.reload");
        GatewaySettings settings = entrySettings.front();
        settings.seeds = std::move(newSeeds);
        thread().reload(settings);
        BOOST_REQUIRE(eventually([&] { return logCount("process.reload") > before; }));
    }
    void stopEntry()
    {
        thread().deliver(SIGTERM);
        BOOST_REQUIRE(eventually([&] { return logCount("process.stopping") == 1; }));
    }
    [[nodiscard]] bool hasEnded()
    {
        return eventually([&] { return thread().hasEnded(); });
    }

    Address entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_reload)

// Guards against a request in flight that is cut or refused because a new document drops its route.
BOOST_AUTO_TEST_CASE(requests_in_flight_on_a_dropped_route_are_served)
{
    ReloadCluster cluster;
    cluster.startReady();
    std::future<HttpResponse> call = cluster.beginRequest("c1", "/tools/held");
    cluster.replaceDocument(documentWithoutTools(4));
    BOOST_TEST(RawCaller(cluster.entry).call("POST", "/tools/x", GatewayCluster::headers("c2"), "x").status
               == statusNotFound);
    cluster.platform.releaseHeldStreams();
    const HttpResponse response = call.get();
    BOOST_TEST(response.status == statusOk);
    BOOST_TEST(response.body.find("b-c1") != std::string::npos);
}

// Guards against a request of a dropped route that ends without an answer because its entry stops as well.
BOOST_AUTO_TEST_CASE(a_request_on_a_dropped_route_gets_its_final_answer_from_a_stopping_entry)
{
    ReloadCluster cluster;
    cluster.startReady();
    std::future<HttpResponse> call = cluster.beginRequest("c1", "/tools/never");
    cluster.replaceDocument(documentWithoutTools(4));
    cluster.stopEntry();
    BOOST_TEST(call.get().status == statusGatewayTimeout);
    BOOST_TEST(cluster.hasEnded());
    BOOST_TEST(cluster.logCount("request.unfinished") == 0U);
}

// Guards against a request that is given up early because a new document shortens the timeout of its route.
BOOST_AUTO_TEST_CASE(a_request_keeps_the_timeout_under_which_it_arrived)
{
    ReloadCluster cluster;
    cluster.startReady();
    std::future<HttpResponse> call = cluster.beginRequest("c1", "/tools/held");
    cluster.replaceDocument(documentWithTimeout(4, 300));
    // Passes the new timeout, which ends the requests that arrive under it.
    std::future<HttpResponse> later = cluster.beginRequest("c2", "/tools/never");
    BOOST_TEST(later.get().status == statusGatewayTimeout);
    cluster.platform.releaseHeldStreams();
    BOOST_TEST(call.get().status == statusOk);
}

// Guards against requests that are lost when SIGHUP replaces the seeds under them, before or during a drain.
BOOST_AUTO_TEST_CASE(requests_in_flight_survive_reloads_before_and_during_a_drain)
{
    ReloadCluster cluster;
    cluster.startReady();
    std::future<HttpResponse> call = cluster.beginRequest("c1", "/tools/held");
    cluster.reload({cluster.seeds().back()});
    cluster.stopEntry();
    cluster.reload(cluster.seeds());
    RawCaller caller(cluster.entry);
    BOOST_TEST(caller.call("POST", "/reads/x", GatewayCluster::headers("r1"), "x").status == statusOk);
    cluster.platform.releaseHeldStreams();
    BOOST_TEST(call.get().status == statusOk);
    BOOST_TEST(cluster.hasEnded());
}

// Guards against a turn without its answer, or a history without its turn, when SIGHUP and SIGTERM come in any order.
BOOST_AUTO_TEST_CASE(a_turn_is_recorded_when_its_entry_is_told_to_reload_and_to_stop)
{
    for (const bool reloadsFirst : {true, false}) {
        ReloadCluster cluster;
        cluster.startReady();
        std::future<HttpResponse> turn = cluster.beginTurn(cluster.entry, "t1", "", 1000, "/plans/held");
        BOOST_REQUIRE(cluster.eventually([&] { return cluster.platform.runsOf("t1") == 1; }));
        GatewaySettings settings = cluster.entrySettings.front();
        settings.seeds = {cluster.seeds().back()};
        if (reloadsFirst) {
            cluster.thread().reload(settings);
            cluster.thread().deliver(SIGTERM);
        } else {
            cluster.thread().deliver(SIGTERM);
            cluster.thread().reload(settings);
        }
        cluster.platform.releaseHeldStreams();
        BOOST_TEST(turn.get().status == statusOk);
        BOOST_TEST(cluster.hasEnded());
        const Address other = cluster.addEntry(cluster.seeds());
        BOOST_TEST(cluster.turn(other, "t2", "t1").status == statusOk);
        BOOST_TEST(cluster.platform.bodyOf("t2").find("in-t1") != std::string::npos);
    }
}

// Guards against requests without an answer when an entry is told to stop before it has its first document.
BOOST_AUTO_TEST_CASE(an_entry_that_stops_just_after_its_start_answers_what_has_arrived)
{
    ReloadCluster cluster;
    cluster.start();
    cluster.thread().deliver(SIGTERM);
    RawCaller caller(cluster.entry);
    const ReceivedResponse response = caller.call("POST", "/tools/x", GatewayCluster::headers("c1"), "x");
    BOOST_TEST(response.isComplete);
    BOOST_TEST((response.status == statusOk || response.status == statusUnavailable));
    BOOST_TEST((response.status == statusOk) == (cluster.platform.runsOf("c1") == 1U));
    BOOST_TEST(cluster.hasEnded());
}

// Guards against requests without an answer when a process is frozen past the end of its drain.
BOOST_AUTO_TEST_CASE(an_entry_that_is_frozen_during_its_drain_answers_when_it_goes_on)
{
    ReloadCluster cluster;
    cluster.startReady();
    std::future<HttpResponse> call = cluster.beginRequest("c1", "/tools/never");
    RawCaller partial(cluster.entry);
    partial.send("POST /tools/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: p1\r\nContent-Length: 10\r\n\r\nhalf");
    // The partial request is read before this one.
    BOOST_TEST(RawCaller(cluster.entry).call("POST", "/reads/x", GatewayCluster::headers("r1"), "x").status
               == statusOk);
    cluster.stopEntry();
    cluster.thread().freeze();
    std::this_thread::sleep_for(freezeTime);
    GatewayThread::thaw();
    BOOST_TEST(call.get().status == statusGatewayTimeout);
    const ReceivedResponse refused = partial.receive();
    BOOST_TEST(refused.isComplete);
    BOOST_TEST(refused.status == statusUnavailable);
    BOOST_TEST(cluster.hasEnded());
    BOOST_TEST(cluster.logCount("request.unfinished") == 0U);
}

// Guards against drain times that do not fit a short grace period.
BOOST_AUTO_TEST_CASE(a_short_grace_period_ends_with_final_answers)
{
    ReloadCluster cluster;
    cluster.startReady(Milliseconds(400));
    std::future<HttpResponse> longer = cluster.beginRequest("c1", "/tools/never");
    std::future<HttpResponse> shorter = cluster.beginRequest("c2", "/reads/held");
    cluster.stopEntry();
    cluster.platform.releaseHeldStreams();
    BOOST_TEST(shorter.get().status == statusOk);
    BOOST_TEST(longer.get().status == statusGatewayTimeout);
    BOOST_TEST(cluster.hasEnded());
    BOOST_TEST(cluster.logCount("request.unfinished") == 0U);
}

// Guards against requests that are cut by the times of a usual grace period although theirs is long, or outlive it.
BOOST_AUTO_TEST_CASE(a_long_grace_period_is_used_and_ends_with_final_answers)
{
    ReloadCluster cluster(documentWithTimeout(3, 60'000));
    cluster.startReady(Milliseconds(20'000));
    std::future<HttpResponse> longer = cluster.beginRequest("c1", "/tools/never", longWait);
    std::future<HttpResponse> shorter = cluster.beginRequest("c2", "/tools/held", longWait);
    cluster.stopEntry();
    // Past the end of a grace period of 8 s.
    std::this_thread::sleep_for(Milliseconds(8500));
    cluster.platform.releaseHeldStreams();
    BOOST_TEST(shorter.get().status == statusOk);
    BOOST_TEST(longer.get().status == statusGatewayTimeout);
    BOOST_TEST(cluster.hasEnded());
    BOOST_TEST(cluster.logCount("request.unfinished") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
