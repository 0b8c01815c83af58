#include "support/cp_crashing_servers.hpp"
#include "support/cp_gateway_cluster.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

// Servers under which a request may end before it is refused.
constexpr std::size_t maxEnds = 3;
constexpr unsigned refusedStatus = 400;

//! A gateway with several entries before servers that end under some requests.
class ServerEndsCluster
{
public:
    explicit ServerEndsCluster(std::size_t serverCount = 12, std::size_t entryCount = 3)
        : servers(cluster.platform, serverCount)
    {
        cluster.putDocument(3);
        for (std::size_t i = 0; i < entryCount; ++i) {
            entries.push_back(cluster.addEntry(cluster.seeds()));
        }
    }

    //! Begins a request; a path of a route that keeps history makes it a turn of a program.
    std::future<HttpResponse> begin(std::size_t entry, const std::string &path, const std::string &body,
                                    const HttpHeaders &more = {}, Milliseconds timeout = Milliseconds(5000))
    {
        const std::string id = "r" + std::to_string(++requests_);
        HttpHeaders headers = GatewayCluster::headers(id);
        headers.insert(more.begin(), more.end());
        if (path.starts_with("/plans/")) {
            headers["Program"] = "p-" + id;
            headers["Token-Usage"] = "100,50";
            headers["Token-Budget"] = "1000";
        }
        lastId = id;
        return cluster.platform.begin(entries[entry % entries.size()], "POST", path, headers, body, timeout);
    }
    [[nodiscard]] std::size_t leader()
    {
        return cluster.putDocument(++documentVersion_);
    }
    //! Sends a body until its answer is final, each time with a new id and at another entry. \returns all statuses
    std::vector<unsigned> sendUntilFinal(const std::string &path, const std::string &body, std::size_t maxAttempts = 10)
    {
        std::vector<unsigned> statuses;
        while (statuses.size() < maxAttempts) {
            const unsigned status = begin(statuses.size(), path, body).get().status;
            statuses.push_back(status);
            if (status == 200 || status == refusedStatus) {
                break;
            }
        }
        return statuses;
    }

    GatewayCluster cluster;
    CrashingServers servers;
    std::vector<Address> entries;
    std::string lastId;

private:
    int requests_ = 0;
    int documentVersion_ = 10;
};

const std::array<std::string, 4> paths {"/reads/1", "/tools/1", "/plans/1", "/resumes/1"};
//! Routes on which an entry does not send a request again by itself.
const std::array<std::string, 2> singlePaths {"/tools/1", "/plans/1"};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_server_ends)

// Guards against a request that ends each server it is sent to, and is sent on after the third one.
BOOST_DATA_TEST_CASE(a_request_under_which_three_servers_have_ended_is_sent_to_no_other,
                     boost::unit_test::data::make(paths))
{
    ServerEndsCluster test;
    const std::vector<unsigned> statuses = test.sendUntilFinal(sample, "a fatal body");
    BOOST_TEST(test.servers.ends() == maxEnds);
    BOOST_TEST(test.servers.fatalRequests() == maxEnds);
    BOOST_TEST(statuses.back() == refusedStatus);
    BOOST_TEST(test.sendUntilFinal(sample, "another body").back() == 200U);
}

// Guards against a count of ends that is lost with the leader of the ledger.
BOOST_DATA_TEST_CASE(the_ends_under_a_request_are_counted_on_when_the_leader_is_killed,
                     boost::unit_test::data::make(singlePaths))
{
    ServerEndsCluster test;
    test.sendUntilFinal(sample, "a fatal body", 2);
    BOOST_TEST(test.servers.ends() == 2U);
    test.cluster.ledgerThreads[test.leader()].reset();
    BOOST_TEST(test.sendUntilFinal(sample, "a fatal body", 20).back() == refusedStatus);
    BOOST_TEST(test.servers.ends() == maxEnds);
}

// Guards against a count of ends that is lost when all processes are killed.
BOOST_AUTO_TEST_CASE(the_ends_under_a_request_are_counted_on_when_all_ledger_vms_and_entries_are_restarted)
{
    ServerEndsCluster test;
    test.sendUntilFinal("/tools/1", "a fatal body", 2);
    for (auto &entry : test.cluster.entryThreads) {
        entry.reset();
    }
    test.cluster.killLedgers();
    for (std::size_t i = 0; i < test.cluster.ledgerSettings.size(); ++i) {
        test.cluster.restartLedger(i);
    }
    test.entries = {test.cluster.addEntry(test.cluster.seeds())};
    BOOST_TEST(test.sendUntilFinal("/tools/1", "a fatal body", 20).back() == refusedStatus);
    BOOST_TEST(test.servers.ends() == maxEnds);
}

// Guards against a request whose callers send it at several entries at once, so that no entry sees all its ends.
BOOST_AUTO_TEST_CASE(a_request_that_two_entries_send_at_once_ends_three_servers_at_most)
{
    ServerEndsCluster test;
    std::size_t refused = 0;
    for (std::size_t round = 0; round < 5; ++round) {
        auto first = test.begin(0, "/tools/1", "a fatal body");
        auto second = test.begin(1, "/tools/1", "a fatal body");
        refused += first.get().status == refusedStatus ? 1 : 0;
        refused += second.get().status == refusedStatus ? 1 : 0;
    }
    BOOST_TEST(test.servers.ends() == maxEnds);
    BOOST_TEST(refused >= 7U);
}

// Guards against a stream whose first events come before its server ends, and which its caller resumes again and again.
BOOST_AUTO_TEST_CASE(a_stream_that_ends_its_servers_is_resumed_at_three_servers_at_most)
{
    ServerEndsCluster test;
    const std::string body = "a fatal body, late";
    unsigned status = 0;
    std::string first;
    for (std::size_t attempt = 0; attempt < 10 && status != refusedStatus; ++attempt) {
        HttpHeaders resumption;
        if (!first.empty()) {
            resumption = {{"Last-Event-Id", "1"}, {"Resumes", first}};
        }
        status = test.begin(attempt, "/resumes/1", body, resumption).get().status;
        first = first.empty() ? test.lastId : first;
    }
    BOOST_TEST(status == refusedStatus);
    BOOST_TEST(test.servers.ends() == maxEnds);
}

// Guards against a program that is repeated from its start, whose turns have other ids and predecessors.
BOOST_AUTO_TEST_CASE(a_turn_that_ends_its_servers_is_counted_over_repetitions_of_its_program)
{
    ServerEndsCluster test;
    unsigned status = 0;
    for (std::size_t attempt = 0; attempt < 10 && status != refusedStatus; ++attempt) {
        BOOST_REQUIRE(test.begin(attempt, "/plans/1", "a first turn").get().status == 200U);
        status = test.begin(attempt, "/plans/1", "a fatal turn", {{"Previous-Turn", test.lastId}}).get().status;
    }
    BOOST_TEST(status == refusedStatus);
    BOOST_TEST(test.servers.ends() == maxEnds);
}

// Guards against servers that end without a reset, of which only the platform's list tells.
BOOST_AUTO_TEST_CASE(a_request_under_which_servers_fall_silent_and_leave_the_list_is_refused)
{
    ServerEndsCluster test;
    test.servers.endSilently = true;
    unsigned status = 0;
    for (std::size_t attempt = 0; attempt < 10 && status != refusedStatus; ++attempt) {
        // Its caller leaves before the deadline.
        status = test.begin(attempt, "/tools/1", "a fatal body", {}, Milliseconds(1500)).get().status;
    }
    BOOST_TEST(status == refusedStatus);
    BOOST_TEST(test.servers.ends() == maxEnds);
}

// Guards against bystanders that are refused because a request that ends servers has ended theirs.
BOOST_AUTO_TEST_CASE(requests_that_ran_beside_one_that_ends_servers_are_served)
{
    constexpr std::size_t fatalBodies = 4;
    constexpr std::size_t callers = 24;
    constexpr std::size_t requestsPerCaller = 20;
    ServerEndsCluster test;
    test.servers.serviceTime = Milliseconds(60);
    struct Caller {
        std::string body;
        std::string path;
        std::size_t served = 0;
        std::size_t attempts = 0;
        std::future<HttpResponse> pending;
    };
    std::vector<Caller> all(callers + fatalBodies);
    std::map<unsigned, std::size_t> bystandersByStatus;
    std::size_t fatalRefusals = 0;
    for (std::size_t round = 0; round < 2 * requestsPerCaller; ++round) {
        for (std::size_t i = 0; i < all.size(); ++i) {
            Caller &caller = all[i];
            const bool isFatal = i < fatalBodies;
            caller.path = paths[i % paths.size()];
            caller.body = isFatal ? "fatal " + std::to_string(i)
                                  : "body " + std::to_string(i) + "/" + std::to_string(caller.served);
            caller.pending = test.begin(i + round, caller.path, caller.body);
        }
        for (std::size_t i = 0; i < all.size(); ++i) {
            const unsigned status = all[i].pending.get().status;
            if (i < fatalBodies) {
                fatalRefusals += status == refusedStatus ? 1 : 0;
            } else {
                ++bystandersByStatus[status];
                all[i].served += status == 200 ? 1 : 0;
            }
        }
    }
    BOOST_TEST(test.servers.ends() <= fatalBodies * maxEnds);
    BOOST_TEST(fatalRefusals >= fatalBodies);
    BOOST_TEST(bystandersByStatus[refusedStatus] == 0U);
    for (std::size_t i = fatalBodies; i < all.size(); ++i) {
        BOOST_TEST(all[i].served >= requestsPerCaller);
    }
}

// Guards against a popular request that is held back because it runs at many servers that end by chance.
BOOST_AUTO_TEST_CASE(a_request_of_many_callers_is_served_although_many_servers_end_while_they_run_it)
{
    ServerEndsCluster test;
    test.servers.serviceTime = Milliseconds(40);
    std::map<unsigned, std::size_t> byStatus;
    for (std::size_t round = 0; round < 12; ++round) {
        std::vector<std::future<HttpResponse>> pending;
        for (std::size_t i = 0; i < 12; ++i) {
            pending.push_back(test.begin(i, "/reads/popular", ""));
        }
        std::this_thread::sleep_for(Milliseconds(15));
        if (round % 2 == 0) {
            test.servers.endServerOf("");
        }
        for (auto &answer : pending) {
            ++byStatus[answer.get().status];
        }
    }
    BOOST_TEST(test.servers.ends() > maxEnds);
    BOOST_TEST(byStatus[refusedStatus] == 0U);
    BOOST_TEST(byStatus[200] >= 140U);
}

// Guards against a popular request that is held back for good because all servers have ended together.
BOOST_AUTO_TEST_CASE(a_request_of_many_callers_is_served_after_all_servers_have_ended_at_once)
{
    ServerEndsCluster test(4);
    test.servers.serviceTime = Milliseconds(40);
    for (std::size_t i = 0; i < test.entries.size(); ++i) {
        BOOST_TEST(test.begin(i, "/reads/popular", "").get().status == 200U);
    }
    std::vector<std::future<HttpResponse>> pending;
    for (std::size_t i = 0; i < 24; ++i) {
        pending.push_back(test.begin(i, "/reads/popular", ""));
    }
    std::this_thread::sleep_for(Milliseconds(15));
    test.servers.endAll();
    for (auto &answer : pending) {
        BOOST_TEST(answer.get().status != refusedStatus);
    }
    BOOST_TEST(test.servers.ends() == 4U);
    const bool isServed
        = GatewayCluster::eventually([&] { return test.begin(0, "/reads/popular", "").get().status == 200; });
    BOOST_TEST(isServed);
}

// Guards against a lost connection that is taken for the end of its server.
BOOST_AUTO_TEST_CASE(a_request_whose_connections_are_reset_by_servers_that_go_on_is_not_refused)
{
    ServerEndsCluster test;
    test.servers.serviceTime = Milliseconds(150);
    for (std::size_t attempt = 0; attempt < 5; ++attempt) {
        auto answer = test.begin(attempt, "/tools/1", "a slow body");
        BOOST_REQUIRE(GatewayCluster::eventually([&] { return test.servers.isRunning("a slow body"); }));
        test.servers.resetConnectionsOf("a slow body");
        BOOST_TEST(answer.get().status == 502U);
        BOOST_REQUIRE(GatewayCluster::eventually([&] { return !test.servers.isRunning("a slow body"); }));
    }
    BOOST_TEST(test.sendUntilFinal("/tools/1", "a slow body").back() == 200U);
}

// Guards against servers that leave as planned and count against the requests that they still run.
BOOST_AUTO_TEST_CASE(a_request_at_servers_that_were_to_leave_is_not_refused)
{
    ServerEndsCluster test;
    test.servers.serviceTime = Milliseconds(900);
    for (std::size_t attempt = 0; attempt < 4; ++attempt) {
        auto answer = test.begin(attempt, "/tools/1", "a slow body");
        BOOST_REQUIRE(GatewayCluster::eventually([&] { return test.servers.isRunning("a slow body"); }));
        test.servers.drainServerOf("a slow body");
        // Several reads of the list.
        std::this_thread::sleep_for(Milliseconds(600));
        test.servers.endServerOf("a slow body");
        BOOST_TEST(answer.get().status == 502U);
    }
    BOOST_TEST(test.sendUntilFinal("/tools/1", "a slow body").back() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
