#include "support/cp_gateway_cluster.hpp"

#include <cardamompost/policy/cp_drain_schedule.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

//! A cluster with one entry, which is started with a grace period.
struct WaitingCluster : GatewayCluster {
    void start(Milliseconds grace = Milliseconds(2500))
    {
        putDocument(3);
        GatewaySettings settings = commonSettings("entry-0");
        settings.front = local(freePort());
        settings.ready = local(freePort());
        settings.seeds = seeds();
        settings.grace = grace;
        entrySettings.push_back(settings);
        entryThreads.push_back(std::make_unique<GatewayThread>(settings));
        BOOST_REQUIRE(eventually([&] { return readiness(0) == 200; }));
        entry = settings.front;
        schedule = DrainSchedule::forGrace(grace);
    }
    WaitingCluster() = default;
    ~WaitingCluster()
    {
        GatewayThread::thaw();
    }
    WaitingCluster(const WaitingCluster &) = delete;
    WaitingCluster &operator=(const WaitingCluster &) = delete;

    //! Sends a request to whose server it is given, and waits until that has it.
    std::future<HttpResponse> beginUnanswered(const std::string &id)
    {
        std::future<HttpResponse> response = platform.begin(entry, "POST", "/tools/never", headers(id), "x");
        BOOST_REQUIRE(eventually([&] { return platform.runsOf(id) == 1; }));
        return response;
    }

    Address entry;
    DrainSchedule schedule {};
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_shutdown_waits)

// Guards against an entry that ends without its answers because it did not run at the time when they were due.
BOOST_AUTO_TEST_CASE(an_entry_that_was_suspended_when_its_answers_were_due_still_gives_them)
{
    WaitingCluster cluster;
    cluster.start();
    std::future<HttpResponse> response = cluster.beginUnanswered("u1");
    const TimePoint toldAt = std::chrono::steady_clock::now();
    cluster.entryThreads.front()->deliver(SIGTERM);
    std::this_thread::sleep_until(toldAt + cluster.schedule.responseTime - Milliseconds(200));
    cluster.entryThreads.front()->freeze();
    std::this_thread::sleep_until(toldAt + cluster.schedule.exitTime + Milliseconds(50));
    GatewayThread::thaw();
    BOOST_TEST(response.get().status == 504U);
    BOOST_TEST(cluster.logCount("request.unfinished") == 0U);
}

// Guards against a grace period that ends before its requests have been answered.
BOOST_AUTO_TEST_CASE(a_short_grace_period_ends_with_final_answers)
{
    WaitingCluster cluster;
    cluster.start(Milliseconds(100));
    std::future<HttpResponse> response = cluster.beginUnanswered("u1");
    cluster.entryThreads.front()->deliver(SIGTERM);
    BOOST_TEST(response.get().status == 504U);
    BOOST_TEST(cluster.logCount("request.unfinished") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
