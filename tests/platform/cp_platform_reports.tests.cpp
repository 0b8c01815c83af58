#include "support/cp_gateway_cluster.hpp"
#include "support/cp_scripted_server.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr std::uint64_t listedStart = 100;

std::string head(const std::string &more, std::size_t bytes)
{
    return "HTTP/1.1 200 OK\r\n" + more + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

//! A report with the listed start.
ScriptedResponse listedReport(const std::string &moreHeaders = {}, ResponseEnd end = ResponseEnd::KeepOpen)
{
    const std::string body = R"({"stage":"both","born":)" + std::to_string(listedStart) + "}";
    return {head(moreHeaders, body.size()) + body, end, {}};
}

//! A backend server that breaks off each stream that begins, and answers successive questions as a test asks for.
class ReportingServer
{
public:
    ReportingServer()
        : server_([this](const ScriptedServer::Request &request) { return answer(request); })
    {
        ListedServer listed;
        listed.incarnation = listedStart;
        listed.port = server_.port();
        cluster.platform.setList({listed});
        const Address leader = cluster.ledgerSettings[cluster.putDocument(3)].directory;
        entry = cluster.addEntry(cluster.seeds());
        // A stream whose version the ledger could not record in time can't be resumed.
        const bool isRecorded = GatewayCluster::eventually([&] {
            cluster.platform.call(entry, "POST", "/resumes/1", GatewayCluster::headers("begun"), "in");
            return cluster.metricValue(leader, "cardamompost_ledger_streams") == 1;
        });
        BOOST_REQUIRE(isRecorded);
    }
    //! Sets the answers to the next questions; the last one is repeated.
    void setReports(std::vector<ScriptedResponse> reports)
    {
        const std::lock_guard lock(mutex_);
        reports_ = std::move(reports);
        asked_ = 0;
    }
    HttpResponse resume(const std::string &id)
    {
        HttpHeaders headers = GatewayCluster::headers(id);
        headers["Resumes"] = "begun";
        headers["Last-Event-Id"] = "1";
        return cluster.platform.call(entry, "POST", "/resumes/1", headers, "in");
    }
    //! Questions since the last call of setReports().
    std::size_t asked()
    {
        const std::lock_guard lock(mutex_);
        return asked_;
    }
    //! Streams that were resumed at the server.
    int resumed()
    {
        const std::lock_guard lock(mutex_);
        return resumed_;
    }

    GatewayCluster cluster;
    Address entry;

private:
    ScriptedResponse answer(const ScriptedServer::Request &request)
    {
        const std::lock_guard lock(mutex_);
        if (request.target() == "/cardamompost/report") {
            return reports_[std::min(++asked_, reports_.size()) - 1];
        }
        const std::string id(request["Request-Id"]);
        const std::string eventHeaders = "Request-Id: " + id + "\r\nContent-Type: text/event-stream\r\n";
        const std::string first = "id: 1\ndata: a\n\n";
        const std::string second = "id: 2\ndata: b\n\n";
        if (request["Last-Event-Id"].empty()) {
            return {head(eventHeaders, first.size() + second.size()) + first, ResponseEnd::Close, {}};
        }
        ++resumed_;
        return {head(eventHeaders, second.size()) + second, ResponseEnd::KeepOpen, {}};
    }

    std::mutex mutex_;
    std::vector<ScriptedResponse> reports_ {listedReport()};
    std::size_t asked_ = 0;
    int resumed_ = 0;
    ScriptedServer server_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_reports)

// Guards against a server that restarts between its report and the request, which takes another connection.
BOOST_AUTO_TEST_CASE(a_stream_is_resumed_only_on_the_connection_of_the_report)
{
    ReportingServer test;
    for (const ResponseEnd end : {ResponseEnd::Close, ResponseEnd::Reset}) {
        test.setReports({listedReport({}, end)});
        for (int i = 0; i < 8; ++i) {
            const HttpResponse refused = test.resume("resumed-" + std::to_string(i));
            BOOST_TEST(refused.status >= 500U);
        }
        BOOST_TEST(test.asked() > 0U);
    }
    BOOST_TEST(test.resumed() == 0);
}

// Guards against a refused resumption where only a kept connection was of no use.
BOOST_AUTO_TEST_CASE(a_server_is_asked_again_on_a_new_connection_if_the_first_one_can_not_be_used)
{
    ReportingServer test;
    const std::string late = "{}";
    const std::vector<ScriptedResponse> unusable {
        {std::string(), ResponseEnd::Close, {}},
        {head("Request-Id: earlier\r\n", late.size()) + late, ResponseEnd::KeepOpen, {}},
        listedReport("Connection: close\r\n", ResponseEnd::Close),
        {listedReport().bytes + listedReport().bytes, ResponseEnd::KeepOpen, {}},
    };
    int number = 0;
    for (const ScriptedResponse &first : unusable) {
        test.setReports({first, listedReport()});
        const HttpResponse answer = test.resume("resumed-" + std::to_string(++number));
        BOOST_TEST(answer.status == 200U);
        BOOST_TEST(answer.body == "id: 2\ndata: b\n\n");
        BOOST_TEST(test.asked() == 2U);
        BOOST_TEST(test.resumed() == number);
    }
}

BOOST_AUTO_TEST_SUITE_END()
