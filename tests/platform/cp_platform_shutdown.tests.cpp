#include "support/cp_gateway_cluster.hpp"
#include "support/cp_raw_caller.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

//! Suspends all ledger VMs but one until GatewayThread::thaw().
void freezeFollowers(const GatewayCluster &cluster, std::size_t leader)
{
    for (std::size_t i = 0; i < cluster.ledgerThreads.size(); ++i) {
        if (i != leader) {
            cluster.ledgerThreads[i]->freeze();
        }
    }
}

//! A cluster with one entry.
struct ShutdownCluster : GatewayCluster {
    ShutdownCluster()
        : leader(putDocument(3))
        , entry(addEntry(seeds()))
    {
    }
    ~ShutdownCluster()
    {
        GatewayThread::thaw();
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

    std::size_t leader;
    Address entry;
};

//! Ledger VMs without an entry.
struct LedgerShutdownCluster : GatewayCluster {
    LedgerShutdownCluster()
        : leader(putDocument(3))
    {
    }
    ~LedgerShutdownCluster()
    {
        GatewayThread::thaw();
    }
    std::future<HttpResponse> beginPut(int version)
    {
        return platform.begin(ledgerSettings[leader].control, "PUT", "/cardamompost/configuration", {},
                              document(version));
    }
    void stop(std::size_t ledger)
    {
        ledgerThreads[ledger]->deliver(SIGTERM);
    }
    [[nodiscard]] bool hasEnded(std::size_t ledger) const
    {
        return eventually([&] { return ledgerThreads[ledger]->hasEnded(); });
    }

    std::size_t leader;
};

const std::string lookUp = "GET /cardamompost/resolution?name=h.example&zone=apapa HTTP/1.1\r\nHost: d\r\n\r\n";
// Long after a ledger VM's handover, and well before the end of its grace period.
constexpr Milliseconds lateInDrain {600};
// For a request on its way to a server.
constexpr Milliseconds transitTime {150};

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

// Guards against callers whose look-ups fail while all entries stop, though each still accepts their requests.
BOOST_AUTO_TEST_CASE(entries_that_stop_are_named_while_they_accept_connections_and_none_is_ready)
{
    ShutdownCluster cluster;
    // Of a longer grace period, as its beginning is observed.
    cluster.commonGrace = Milliseconds(8000);
    const Address second = cluster.addEntry(cluster.seeds());
    const std::string address = second.toString();
    BOOST_REQUIRE(GatewayCluster::eventually([&] { return cluster.directory().find(address) != std::string::npos; }));
    // An entry is not ready at first either.
    const std::size_t directories = cluster.ledgerSettings.size();
    const auto presences = [&](const std::string &vm, const std::string &state) {
        return cluster.matchingLogCount("entry.presence", "\"entry\":\"" + vm + "\",\"ready\":" + state);
    };
    std::map<std::string, std::size_t> starts;
    for (const std::string vm : {"entry-0", "entry-1"}) {
        BOOST_REQUIRE(GatewayCluster::eventually([&] { return presences(vm, "true") >= directories; }));
        starts[vm] = presences(vm, "false");
    }
    const auto isAnnounced = [&](const std::string &vm) {
        return GatewayCluster::eventually([&] { return presences(vm, "false") >= starts[vm] + directories; });
    };
    cluster.entryThreads[1]->deliver(SIGTERM);
    BOOST_REQUIRE(isAnnounced("entry-1"));
    // The first entry is ready.
    BOOST_TEST(cluster.directory().find(address) == std::string::npos);
    BOOST_TEST(cluster.directory().find(cluster.entry.toString()) != std::string::npos);
    cluster.stopEntry();
    BOOST_REQUIRE(isAnnounced("entry-0"));
    BOOST_TEST(cluster.directory().find(address) != std::string::npos);
    BOOST_TEST(cluster.readiness(1) == 503U);
    BOOST_TEST(RawCaller(second).call("POST", "/reads/x", GatewayCluster::headers("r1"), "x").status == 200U);
    // Its listener closes.
    BOOST_TEST(GatewayCluster::eventually([&] { return cluster.directory().find(address) == std::string::npos; }));
}

// Guards against an operator whose order is cut at the end of the grace period, as its quorum does not come back.
BOOST_AUTO_TEST_CASE(a_configuration_without_a_quorum_gets_a_final_answer_before_its_leader_ends)
{
    LedgerShutdownCluster cluster;
    freezeFollowers(cluster, cluster.leader);
    std::future<HttpResponse> put = cluster.beginPut(4);
    std::this_thread::sleep_for(transitTime);
    cluster.stop(cluster.leader);
    BOOST_TEST(put.get().status == 503U);
    BOOST_TEST(cluster.hasEnded(cluster.leader));
}

// Guards against orders and look-ups that are cut because their rest arrives while a ledger VM stops.
BOOST_AUTO_TEST_CASE(a_request_whose_rest_arrives_while_its_ledger_vm_stops_gets_its_answer)
{
    LedgerShutdownCluster cluster;
    const std::size_t follower = (cluster.leader + 1) % cluster.ledgerThreads.size();
    const std::string body = document(4);
    const std::string order = "PUT /cardamompost/configuration HTTP/1.1\r\nHost: c\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    RawCaller operatorCall(cluster.ledgerSettings[follower].control);
    operatorCall.send(order.substr(0, order.size() / 2));
    RawCaller caller(cluster.ledgerSettings[follower].directory);
    caller.send(lookUp + lookUp.substr(0, lookUp.size() / 2));
    BOOST_TEST(caller.receive().status == 503U);
    cluster.stop(follower);
    std::this_thread::sleep_for(lateInDrain);
    operatorCall.send(order.substr(order.size() / 2));
    caller.send(lookUp.substr(lookUp.size() / 2));
    const ReceivedResponse ordered = operatorCall.receive();
    BOOST_TEST(ordered.isComplete);
    BOOST_TEST(ordered.status == 307U);
    const ReceivedResponse lookedUp = caller.receive();
    BOOST_TEST(lookedUp.isComplete);
    BOOST_TEST(lookedUp.status == 503U);
    BOOST_TEST(lookedUp.headers.at("Connection") == "close");
    BOOST_TEST(cluster.hasEnded(follower));
}

// Guards against an order that is cut because only a part of it has arrived when the process ends.
BOOST_AUTO_TEST_CASE(an_order_that_has_arrived_in_part_gets_a_final_answer_from_its_ledger_vm)
{
    LedgerShutdownCluster cluster;
    RawCaller operatorCall(cluster.ledgerSettings[cluster.leader].control);
    operatorCall.send("PUT /cardamompost/configuration HTTP/1.1\r\nHost: c\r\nContent-Length: 100\r\n\r\nhalf");
    std::this_thread::sleep_for(transitTime);
    cluster.stop(cluster.leader);
    const ReceivedResponse response = operatorCall.receive();
    BOOST_TEST(response.isComplete);
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(cluster.hasEnded(cluster.leader));
}

// Guards against an idle connection that keeps a stopping ledger VM for its whole grace period.
BOOST_AUTO_TEST_CASE(a_ledger_vm_with_idle_connections_does_not_wait_for_its_grace_period)
{
    LedgerShutdownCluster cluster;
    const std::size_t follower = (cluster.leader + 1) % cluster.ledgerThreads.size();
    cluster.ledgerSettings[follower].grace = Milliseconds(60'000);
    cluster.restartLedger(follower);
    RawCaller idle(cluster.ledgerSettings[follower].directory);
    idle.send(lookUp);
    BOOST_TEST(idle.receive().status == 503U);
    cluster.stop(follower);
    BOOST_TEST(cluster.hasEnded(follower));
}

BOOST_AUTO_TEST_SUITE_END()
