#include "support/cp_gateway_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr int streams = 12;

//! Begins streams at servers of one software version, and resumes them as a caller does whose connection broke.
class ResumedStreams
{
public:
    explicit ResumedStreams(std::vector<ListedServer> list)
    {
        cluster.platform.setList(std::move(list));
        leader = cluster.putDocument(3);
        first = cluster.addEntry(cluster.seeds());
        second = cluster.addEntry(cluster.seeds());
    }
    //! Changes the list, and waits until all entries use it.
    void changeList(std::vector<ListedServer> list)
    {
        const std::size_t before = cluster.logCount("backends.taken");
        const std::size_t entries = cluster.entryThreads.size();
        cluster.platform.setList(std::move(list));
        BOOST_REQUIRE(
            GatewayCluster::eventually([&] { return cluster.logCount("backends.taken") >= before + entries; }));
    }
    static HttpHeaders headers(const std::string &id, bool isTurn)
    {
        HttpHeaders headers = GatewayCluster::headers(id);
        if (isTurn) {
            headers["Program"] = "p-" + id;
            headers["Token-Usage"] = "100,50";
            headers["Token-Budget"] = "1000";
        }
        return headers;
    }
    //! The path selects the server's behaviour.
    HttpResponse begin(const std::string &id, bool isTurn, const std::string &path = "/resumes/cut-begin")
    {
        return cluster.platform.call(first, "POST", path, headers(id, isTurn), "in");
    }
    HttpResponse resume(const Address &entry, const std::string &id, const std::string &begun, bool isTurn)
    {
        HttpHeaders resumption = headers(id, isTurn);
        resumption["Resumes"] = begun;
        resumption["Last-Event-Id"] = "1";
        return cluster.platform.call(entry, "POST", "/resumes/cut-begin", resumption, "in");
    }

    GatewayCluster cluster;
    std::size_t leader = 0;
    Address first;
    Address second;
};

std::string name(const std::string &prefix, int number)
{
    return prefix + std::to_string(number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_versions)

// Guards against a stream whose caller resumes it and gets the rest from a server of another software version.
BOOST_AUTO_TEST_CASE(a_stream_is_resumed_only_at_the_software_version_that_began_it)
{
    ResumedStreams test({{0, "v1"}, {1, "v1"}});
    for (const bool isTurn : {true, false}) {
        const std::string prefix = isTurn ? "turn" : "plain";
        test.changeList({{0, "v1"}});
        for (int i = 0; i < streams; ++i) {
            test.begin(name(prefix, i), isTurn);
            BOOST_TEST(test.cluster.platform.runsOf(name(prefix, i)) == 1U);
        }
        test.changeList({{0, "v1", true}, {1, "v2"}, {2, "v1"}});
        for (int i = 0; i < streams; ++i) {
            const std::string id = name(prefix + "-resumed", i);
            const Address entry = i % 2 == 0 ? test.first : test.second;
            BOOST_TEST(test.resume(entry, id, name(prefix, i), isTurn).status == 200U);
            BOOST_TEST((test.cluster.platform.serversOf(id) == std::vector<std::size_t> {2}));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
