#include "support/cp_gateway_cluster.hpp"
#include "support/cp_raw_caller.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

//! A cluster with one entry.
struct ShutdownCluster : GatewayCluster {
    ShutdownCluster()
    {
        putDocument(3);
        entry = addEntry(seeds());
    }

    //! Sends a request to whose server it is given, and waits until that has it.
    std::future<HttpResponse> beginUnanswered(const std::string &id, const std::string &path = "/tools/never")
    {
        std::future<HttpResponse> response = platform.begin(entry, "POST", path, headers(id), "x");
        BOOST_REQUIRE(eventually([&] { return platform.runsOf(id) == 1; }));
        return response;
    }
    void stopEntry()
    {
        entryThreads.front()->deliver(SIGTERM);
        BOOST_REQUIRE(eventually([&] { return readiness(0) != 200; }));
    }
    [[nodiscard]] bool hasEnded() const
    {
        return eventually([&] { return entryThreads.front()->hasEnded(); });
    }

    Address entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_shutdown)

// Guards against requests that an entry has taken and that end without an answer at the end of its grace period.
BOOST_AUTO_TEST_CASE(a_request_in_flight_at_the_end_of_the_grace_period_gets_its_final_answer)
{
    ShutdownCluster cluster;
    std::future<HttpResponse> response = cluster.beginUnanswered("u1");
    cluster.stopEntry();
    BOOST_TEST(response.get().status == 504U);
    BOOST_TEST(cluster.hasEnded());
    BOOST_TEST(cluster.logCount("request.unfinished") == 0U);
}

// Guards against requests that are forwarded although the process ends before they usually do.
BOOST_AUTO_TEST_CASE(a_request_that_would_outlive_its_entry_is_refused_at_once)
{
    ShutdownCluster cluster;
    std::future<HttpResponse> slow = cluster.beginUnanswered("u1");
    // Its age tells how long requests of the route take.
    std::this_thread::sleep_for(Milliseconds(1200));
    RawCaller kept(cluster.entry);
    BOOST_TEST(kept.call("POST", "/reads/x", GatewayCluster::headers("r1"), "x").status == 200U);
    cluster.stopEntry();
    const ReceivedResponse refused = kept.call("POST", "/tools/x", GatewayCluster::headers("u2"), "x");
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(refused.isComplete);
    BOOST_TEST(refused.headers.contains("Retry-After"));
    BOOST_TEST(cluster.platform.runsOf("u2") == 0U);
    BOOST_TEST(slow.get().status == 504U);
}

// Guards against a request that is cut because its body is still arriving when the process ends.
BOOST_AUTO_TEST_CASE(a_request_that_has_arrived_in_part_gets_its_final_answer)
{
    ShutdownCluster cluster;
    RawCaller caller(cluster.entry);
    caller.send("POST /tools/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: p1\r\nContent-Length: 10\r\n\r\nhalf");
    // The next one is read after it.
    BOOST_TEST(RawCaller(cluster.entry).call("POST", "/tools/x", GatewayCluster::headers("p0"), "x").status == 200U);
    cluster.stopEntry();
    const ReceivedResponse response = caller.receive();
    BOOST_TEST(response.isComplete);
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(cluster.platform.runsOf("p1") == 0U);
}

// Guards against a pipelined request that its entry has read and does not answer, since the response before it closes
// the connection.
BOOST_AUTO_TEST_CASE(a_pipelined_request_of_a_stopping_entry_gets_its_answer)
{
    ShutdownCluster cluster;
    cluster.stopEntry();
    RawCaller caller(cluster.entry);
    std::string requests;
    for (const std::string id : {"p1", "p2"}) {
        requests += "POST /tools/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\nContent-Length: 1\r\n\r\nx";
    }
    caller.send(requests);
    for (const std::string connection : {"", "close"}) {
        const ReceivedResponse response = caller.receive();
        BOOST_TEST(response.isComplete);
        BOOST_TEST(response.status == 200U);
        const auto found = response.headers.find("Connection");
        BOOST_TEST((found == response.headers.end() ? std::string() : found->second) == connection);
    }
}

BOOST_AUTO_TEST_SUITE_END()
