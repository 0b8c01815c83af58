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

    //! Begins a request; a path of a route that keeps history makes it the first turn of a program.
    std::future<HttpResponse> begin(std::size_t entry, const std::string &path, const std::string &body)
    {
        const std::string id = "r" + std::to_string(++requests_);
        HttpHeaders headers = GatewayCluster::headers(id);
        if (path.starts_with("/plans/")) {
            headers["Program"] = "p-" + id;
            headers["Token-Usage"] = "100,50";
            headers["Token-Budget"] = "1000";
        }
        return cluster.platform.begin(entries[entry % entries.size()], "POST", path, headers, body);
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

private:
    std::atomic<int> requests_ {0};
};

const std::array<std::string, 4> paths {"/reads/1", "/tools/1", "/plans/1", "/resumes/1"};

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

BOOST_AUTO_TEST_SUITE_END()
