#include "support/cp_gateway_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr std::size_t planServer = 0;
constexpr std::size_t checkServer = 1;
constexpr std::size_t textServer = 2;

std::string route(const std::string &name, const std::string &kind, const std::string &service,
                  const std::string &options = {})
{
    return R"({"name":")" + name + R"(","host":"h.example","path-prefix":"/)" + name + R"(/","kind":")" + kind
        + R"(","timeout-ms":4000,"service":")" + service + R"(","max-attempts":2,"retention-s":60.0)" + options + "}";
}

//! A document with two services of engines and one of plain servers, which streams too.
//! \param resumesService  service of the resumable route
std::string servicesDocument(int version, const std::string &resumesService = "checks")
{
    const std::string keepsHistory = R"(,"retains-context":true,"sticky-sessions":true)";
    const std::string engine = R"(,"engine":{"slots":16,"key-value-tokens":1000,"stride":10}})";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)"
        + route("plans", "streaming", "plans", keepsHistory) + ','
        + route("checks", "streaming", "checks", keepsHistory) + ','
        + route("texts", "streaming", "texts", keepsHistory) + ',' + route("tools", "unsafe", "texts") + ','
        + route("reads", "safe", "texts") + ','
        + route("resumes", "streaming", resumesService, R"(,"sticky-sessions":true,"resumable":true)")
        + R"(],"services":[{"name":"plans","max-connections":100)" + engine
        + R"(,{"name":"checks","max-connections":100)" + engine + R"(,{"name":"texts","max-connections":100}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":100000,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

//! A gateway with one server for each of three services.
class ServicesCluster
{
public:
    ServicesCluster()
    {
        cluster.platform.setList(list());
        leader = cluster.put(servicesDocument(3));
        entry = cluster.addEntry(cluster.seeds());
        BOOST_REQUIRE(cluster.turn(entry, "p-first", {}, 1000, "/plans/1").status == 200U);
    }
    //! The list without the servers of some services.
    static std::vector<ListedServer> list(const std::set<std::size_t> &removed = {})
    {
        std::vector<ListedServer> servers;
        for (const std::size_t server : {planServer, checkServer, textServer}) {
            ListedServer listed;
            listed.server = server;
            listed.service = std::array {"plans", "checks", "texts"}[server];
            if (!removed.contains(server)) {
                servers.push_back(std::move(listed));
            }
        }
        return servers;
    }
    //! Changes the list, and waits until all entries use it.
    void changeList(std::vector<ListedServer> servers)
    {
        const std::size_t entries = cluster.entryThreads.size();
        const std::size_t before = cluster.logCount("backends.taken");
        cluster.platform.setList(std::move(servers));
        BOOST_REQUIRE(cluster.eventually([&] { return cluster.logCount("backends.taken") >= before + entries; }));
    }
    void loseLeader()
    {
        cluster.ledgerThreads[leader].reset();
        const bool isReplaced = GatewayCluster::eventually([&] {
            return cluster.turn(entry, "after-" + std::to_string(++turns_), {}, 1000, "/plans/1").status == 200U;
        });
        BOOST_REQUIRE(isReplaced);
    }
    HttpResponse call(const std::string &id, const std::string &path)
    {
        return cluster.platform.call(entry, "POST", path, GatewayCluster::headers(id), "in");
    }
    [[nodiscard]] std::vector<std::size_t> serversOf(const std::string &id)
    {
        return cluster.platform.serversOf(id);
    }

    GatewayCluster cluster;
    std::size_t leader = 0;
    Address entry;

private:
    int turns_ = 0;
};

using ServerIndexes = std::vector<std::size_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(platform_services)

// Guards against a turn that runs at another service while its own has no listed server.
BOOST_AUTO_TEST_CASE(a_turn_is_refused_while_its_service_has_no_listed_server)
{
    ServicesCluster test;
    BOOST_TEST(test.cluster.turn(test.entry, "c1", {}, 1000, "/checks/1").status == 200U);
    BOOST_TEST((test.serversOf("c1") == ServerIndexes {checkServer}));
    BOOST_TEST(test.cluster.turn(test.entry, "p1", {}, 1000, "/plans/1").status == 200U);
    test.changeList(ServicesCluster::list({checkServer}));
    for (const bool hasNewLeader : {false, true}) {
        if (hasNewLeader) {
            test.loseLeader();
        }
        const std::string id = hasNewLeader ? "c3" : "c2";
        const HttpResponse refused = test.cluster.turn(test.entry, id, {}, 1000, "/checks/1");
        BOOST_TEST(refused.status == 503U);
        BOOST_TEST(refused.headers.contains("Retry-After"));
        BOOST_TEST(test.serversOf(id).empty());
    }
    test.changeList(ServicesCluster::list());
    BOOST_TEST(test.cluster.turn(test.entry, "c4", {}, 1000, "/checks/1").status == 200U);
    BOOST_TEST((test.serversOf("c4") == ServerIndexes {checkServer}));
}

// Guards against a turn of a service without engines that runs at the engine of its program's last turn.
BOOST_AUTO_TEST_CASE(a_turn_of_a_service_without_engines_runs_at_that_service)
{
    ServicesCluster test;
    BOOST_TEST(test.cluster.turn(test.entry, "t1", {}, 1000, "/texts/1").status == 200U);
    BOOST_TEST((test.serversOf("t1") == ServerIndexes {textServer}));
    BOOST_TEST(test.cluster.turn(test.entry, "p1", {}, 1000, "/plans/1").status == 200U);
    test.loseLeader();
    BOOST_TEST(test.cluster.turn(test.entry, "t2", {}, 1000, "/texts/1").status == 200U);
    BOOST_TEST((test.serversOf("t2") == ServerIndexes {textServer}));
}

// Guards against requests that wait for a ledger, or run elsewhere, although no server of their service is listed.
BOOST_AUTO_TEST_CASE(requests_of_each_kind_of_route_are_refused_while_their_service_has_no_listed_server)
{
    ServicesCluster test;
    test.changeList(ServicesCluster::list({checkServer, textServer}));
    test.cluster.killLedgers();
    for (const std::string path : {"/texts/1", "/tools/1", "/reads/1", "/resumes/1"}) {
        const std::string id = "id" + path.substr(0, path.find('/', 1)).substr(1);
        const HttpResponse refused = test.call(id, path);
        BOOST_TEST(refused.status == 503U);
        BOOST_TEST(refused.headers.contains("Retry-After"));
        BOOST_TEST(test.serversOf(id).empty());
        BOOST_TEST(!test.cluster.explainEnd(id).lines.empty());
        // Nothing was asked of the ledger, which no longer runs.
        BOOST_TEST(test.cluster.matchingLogCount("request.end", "no backend server of the service is listed") > 0U);
    }
}

// Guards against a leader's choice for one route that is used for another one, since its caller repeats an id.
BOOST_AUTO_TEST_CASE(a_turn_whose_id_is_used_on_two_routes_runs_only_at_the_service_of_each)
{
    ServicesCluster test;
    const Address second = test.cluster.addEntry(test.cluster.seeds());
    auto plan = test.cluster.beginTurn(test.entry, "twice", {}, 1000, "/plans/slow");
    BOOST_REQUIRE(GatewayCluster::eventually([&] { return test.cluster.platform.runsOf("twice") == 1U; }));
    auto check = test.cluster.beginTurn(second, "twice", {}, 1000, "/checks/1");
    plan.get();
    check.get();
    const ServerIndexes servers = test.serversOf("twice");
    BOOST_TEST(std::count(servers.begin(), servers.end(), planServer) == 1);
}

// Guards against a stream that is resumed at a service to which its route leads no longer, or leads since.
BOOST_AUTO_TEST_CASE(a_stream_is_not_resumed_once_its_route_leads_to_another_service)
{
    ServicesCluster test;
    BOOST_TEST(test.call("begun", "/resumes/1").status == 200U);
    BOOST_TEST((test.serversOf("begun") == ServerIndexes {checkServer}));
    test.cluster.put(servicesDocument(4, "plans"));
    HttpResponse resumed;
    const bool isMoved = GatewayCluster::eventually([&] {
        HttpHeaders headers = GatewayCluster::headers("next");
        return test.call("next", "/resumes/1").status == 200U && test.serversOf("next").back() == planServer;
    });
    BOOST_REQUIRE(isMoved);
    HttpHeaders headers = GatewayCluster::headers("resumed");
    headers["Last-Event-Id"] = "1";
    headers["Resumes"] = "begun";
    resumed = test.cluster.platform.call(test.entry, "POST", "/resumes/1", headers, "in");
    BOOST_TEST(resumed.status == 503U);
    BOOST_TEST(test.serversOf("resumed").empty());
}

BOOST_AUTO_TEST_SUITE_END()
