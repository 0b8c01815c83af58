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
        const auto isRunning = [](const auto &entry) { return entry != nullptr; };
        const auto entries = static_cast<std::size_t>(
            std::count_if(cluster.entryThreads.begin(), cluster.entryThreads.end(), isRunning));
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

    //! Waits until the ledger has recorded the versions of a number of streams.
    [[nodiscard]] bool isRecorded(int count)
    {
        return GatewayCluster::eventually([&] {
            return cluster.metricValue(cluster.ledgerSettings[leader].directory, "cardamompost_ledger_streams")
                == count;
        });
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

// Guards against a stream that can't be resumed, or is resumed anywhere, once the entry that began it was killed.
BOOST_AUTO_TEST_CASE(a_stream_is_resumed_at_its_software_version_after_its_entry_was_killed)
{
    ResumedStreams test({{0, "v1"}});
    for (const bool isTurn : {true, false}) {
        const std::string begun = isTurn ? "turn" : "plain";
        auto lost = test.cluster.platform.begin(test.first, "POST", "/resumes/slow",
                                                ResumedStreams::headers(begun, isTurn), "in");
        BOOST_REQUIRE(test.isRecorded(isTurn ? 1 : 2));
        if (!isTurn) {
            test.cluster.entryThreads.front().reset();
            BOOST_TEST(lost.get().status == 0U);
        }
    }
    test.changeList({{0, "v1", true}, {1, "v2"}, {2, "v1"}});
    for (const bool isTurn : {true, false}) {
        const std::string begun = isTurn ? "turn" : "plain";
        BOOST_TEST(test.resume(test.second, begun + "-resumed", begun, isTurn).status == 200U);
        BOOST_TEST((test.cluster.platform.serversOf(begun + "-resumed") == std::vector<std::size_t> {2}));
    }
}

// Guards against guessing the software version of a stream that no entry knows to have begun.
BOOST_AUTO_TEST_CASE(a_stream_of_unknown_software_version_is_refused_and_not_run)
{
    ResumedStreams test({{0, "v1"}, {1, "v1"}});
    for (const bool isTurn : {true, false}) {
        for (const std::string begun : {"never-begun", ""}) {
            const std::string id = (isTurn ? "turn-" : "plain-") + begun;
            const HttpResponse refused = test.resume(test.first, id, begun, isTurn);
            BOOST_TEST(refused.status == 503U);
            BOOST_TEST(!refused.header("Retry-After").empty());
            BOOST_TEST(test.cluster.platform.runsOf(id) == 0U);
        }
    }
}

// Guards against an entry that resumes a stream on its own knowledge while it can't reach the ledger.
BOOST_AUTO_TEST_CASE(an_entry_without_the_ledger_does_not_resume_streams)
{
    ResumedStreams test({{0, "v1"}, {1, "v1"}});
    test.begin("begun", true);
    test.cluster.ledgerThreads[test.leader].reset();
    test.cluster.ledgerThreads[(test.leader + 1) % test.cluster.ledgerThreads.size()].reset();
    for (const bool isTurn : {true, false}) {
        const std::string id = isTurn ? "turn" : "plain";
        BOOST_TEST(test.resume(test.first, id, "begun", isTurn).status == 503U);
        BOOST_TEST(test.cluster.platform.runsOf(id) == 0U);
    }
}

// Guards against a caller that waits, or gets another software version, once the last server of its version has left.
BOOST_AUTO_TEST_CASE(a_stream_whose_software_version_has_no_server_left_is_refused_before_its_deadline)
{
    ResumedStreams test({{0, "v1"}});
    for (const bool isTurn : {true, false}) {
        test.begin(isTurn ? "turn" : "plain", isTurn);
    }
    test.changeList({{0, "v1", true}, {1, "v2"}});
    for (const bool isTurn : {true, false}) {
        const std::string begun = isTurn ? "turn" : "plain";
        const HttpResponse refused = test.resume(test.second, begun + "-resumed", begun, isTurn);
        BOOST_TEST(refused.status == 503U);
        BOOST_TEST(!refused.header("Retry-After").empty());
        BOOST_TEST(test.cluster.platform.runsOf(begun + "-resumed") == 0U);
    }
}

// Guards against an answer that joins events of two software versions after the first server broke off.
BOOST_AUTO_TEST_CASE(a_broken_stream_continues_within_its_answer_only_at_its_software_version)
{
    ResumedStreams test({{0, "v1"}, {1, "v2"}, {2, "v1"}});
    const std::vector<std::string> versions {"v1", "v2", "v1"};
    int resumed = 0;
    for (const bool isTurn : {true, false}) {
        for (int i = 0; i < streams; ++i) {
            const std::string id = name(isTurn ? "turn" : "plain", i);
            const HttpResponse answer = test.begin(id, isTurn, "/resumes/cut-once");
            const std::vector<std::size_t> servers = test.cluster.platform.serversOf(id);
            BOOST_REQUIRE(!servers.empty());
            const bool isFirstVersion = versions[servers.front()] == "v1";
            BOOST_TEST(answer.status == (isFirstVersion ? 200U : 0U));
            BOOST_TEST(servers.size() == (isFirstVersion ? 2U : 1U));
            BOOST_TEST(versions[servers.back()] == versions[servers.front()]);
            resumed += isFirstVersion ? 1 : 0;
        }
    }
    BOOST_TEST(resumed > 0);
}

// Guards against the version of a server that ran before at the same address, under another or the same id.
BOOST_AUTO_TEST_CASE(a_stream_is_not_resumed_at_an_address_that_has_another_software_version_now)
{
    ResumedStreams test({{0, "v1"}});
    for (const std::string begun : {"a", "b"}) {
        test.begin(begun, true);
        test.begin(begun + "-plain", false);
    }
    const auto checkResumed = [&](const std::string &begun) {
        for (const bool isTurn : {true, false}) {
            const std::string id = begun + (isTurn ? "-turn-resumed" : "-plain-resumed");
            BOOST_TEST(test.resume(test.second, id, isTurn ? begun : begun + "-plain", isTurn).status == 200U);
            BOOST_TEST((test.cluster.platform.serversOf(id) == std::vector<std::size_t> {2}));
        }
    };
    // Restarted under the same id.
    test.changeList({{0, "v2", false, 1}, {2, "v1"}});
    checkResumed("a");
    // Another instance has taken the address; the list doesn't know yet.
    test.changeList({{0, "v1", false, 2}, {2, "v1"}});
    test.cluster.platform.reuseFirstAddress();
    checkResumed("b");
}

// Guards against a wrong record where the entry could not use the server that the leader chose.
BOOST_AUTO_TEST_CASE(a_stream_is_resumed_where_it_began_although_the_leader_had_chosen_another_server)
{
    ResumedStreams test({{0, "v1", false, 0, true}, {1, "v2"}});
    for (int i = 0; i < streams; ++i) {
        test.begin(name("begun", i), true);
        BOOST_TEST((test.cluster.platform.serversOf(name("begun", i)) == std::vector<std::size_t> {1}));
    }
    BOOST_TEST(test.cluster.logCount("backend.unreachable") > 0U);
    BOOST_TEST(GatewayCluster::eventually(
        [&] { return test.cluster.matchingLogCount("request.end", R"("placed_by":"entry")") > 0; }));
    test.changeList({{0, "v1"}, {1, "v2", true}, {2, "v2"}});
    for (int i = 0; i < streams; ++i) {
        const std::string id = name("resumed", i);
        BOOST_TEST(test.resume(test.second, id, name("begun", i), true).status == 200U);
        BOOST_TEST((test.cluster.platform.serversOf(id) == std::vector<std::size_t> {2}));
    }
}

// Guards against records of versions that are lost with a leader, or with the power of all ledger VMs and one disk.
BOOST_AUTO_TEST_CASE(recorded_software_versions_survive_the_loss_of_the_leader_and_a_power_loss)
{
    ResumedStreams test({{0, "v1"}});
    for (const std::string begun : {"a", "b"}) {
        test.begin(begun, true);
        test.begin(begun + "-plain", false);
    }
    test.changeList({{1, "v2"}, {2, "v1"}});
    int tries = 0;
    const auto checkResumed = [&](const std::string &begun, bool isTurn) {
        std::string id;
        BOOST_TEST(GatewayCluster::eventually([&] {
            id = name(begun + "-try", ++tries);
            return test.resume(test.second, id, begun, isTurn).status == 200;
        }));
        BOOST_TEST((test.cluster.platform.serversOf(id) == std::vector<std::size_t> {2}));
    };
    test.cluster.ledgerThreads[test.leader].reset();
    checkResumed("a", true);
    checkResumed("a-plain", false);
    test.cluster.killLedgers();
    test.cluster.restartLedger(0);
    test.cluster.restartLedger(1);
    test.cluster.restartLedger(2, false);
    checkResumed("b", true);
    checkResumed("b-plain", false);
}

// Guards against a stream that goes on at a server which restarted under its id while the list names its former start.
BOOST_AUTO_TEST_CASE(a_stream_is_not_resumed_at_a_server_that_restarted_under_its_id)
{
    constexpr std::uint64_t formerStart = 100;
    constexpr std::uint64_t start = 200;
    ResumedStreams test({{0, "v1", false, formerStart}});
    test.cluster.platform.restart(0, formerStart);
    for (int i = 0; i < streams; ++i) {
        test.begin(name("begun", i), i % 2 == 0);
    }
    test.cluster.platform.restart(0, start);
    for (int i = 0; i < streams; ++i) {
        const std::string id = name("resumed", i);
        BOOST_TEST(test.resume(test.second, id, name("begun", i), i % 2 == 0).status == 503U);
        BOOST_TEST(test.cluster.platform.runsOf(id) == 0U);
    }
}

// Guards against an answer that goes on at a server which restarted under its id, after the first server broke off.
BOOST_AUTO_TEST_CASE(a_broken_stream_does_not_continue_within_its_answer_at_a_server_that_restarted)
{
    constexpr std::uint64_t formerStart = 100;
    constexpr std::uint64_t start = 200;
    ResumedStreams test({{0, "v1", false, formerStart}, {1, "v1", false, formerStart}});
    test.cluster.platform.restart(0, start);
    test.cluster.platform.restart(1, start);
    for (int i = 0; i < streams; ++i) {
        const std::string id = name("broken", i);
        BOOST_TEST(test.begin(id, i % 2 == 0, "/resumes/cut-once").status == 0U);
        BOOST_TEST(test.cluster.platform.runsOf(id) == 1U);
    }
}

// Guards against a refusal, another answer, or a question too many where no server has restarted.
BOOST_AUTO_TEST_CASE(a_stream_is_resumed_as_before_at_a_server_that_reports_the_listed_start)
{
    for (const std::uint64_t listedStart : {0U, 100U}) {
        ResumedStreams test({{0, "v1", false, listedStart}});
        FakePlatform &platform = test.cluster.platform;
        const auto second = [](const std::string &id) { return "id: 2\ndata: b-" + id + "\n\n"; };
        for (int i = 0; i < streams; ++i) {
            test.begin(name("begun", i), i % 2 == 0);
        }
        BOOST_TEST(platform.reportsOf(0) == 0U);
        for (int i = 0; i < streams; ++i) {
            const std::string id = name("resumed", i);
            const HttpResponse answer = test.resume(test.second, id, name("begun", i), i % 2 == 0);
            BOOST_TEST(answer.status == 200U);
            BOOST_TEST(answer.body == second(id));
            BOOST_TEST(platform.headerOf(id, "Last-Event-Id") == "1");
            BOOST_TEST(platform.runsOf(id) == 1U);
        }
        BOOST_TEST(platform.reportsOf(0) == (listedStart == 0 ? 0U : std::size_t(streams)));
        test.changeList({{0, "v1", false, listedStart}, {1, "v1", false, listedStart}});
        for (int i = 0; i < streams; ++i) {
            const std::string id = name("broken", i);
            const HttpResponse answer = test.begin(id, i % 2 == 0, "/resumes/cut-once");
            BOOST_TEST(answer.status == 200U);
            BOOST_TEST(answer.body == "id: 1\ndata: a-" + id + "\n\n" + second(id));
            BOOST_TEST(platform.runsOf(id) == 2U);
        }
    }
}

// Guards against a stream that goes on, or a caller that waits, at a server which never says which start it is.
BOOST_AUTO_TEST_CASE(a_stream_is_not_resumed_at_a_server_whose_report_never_comes)
{
    ResumedStreams test({{0, "v1", false, 100}});
    test.cluster.platform.setReport(0, std::nullopt);
    for (const bool isTurn : {true, false}) {
        const std::string begun = isTurn ? "turn" : "plain";
        test.begin(begun, isTurn);
        const HttpResponse refused = test.resume(test.second, begun + "-resumed", begun, isTurn);
        BOOST_TEST(refused.status == 503U);
        BOOST_TEST(!refused.header("Retry-After").empty());
        BOOST_TEST(test.cluster.platform.runsOf(begun + "-resumed") == 0U);
    }
    BOOST_TEST(test.cluster.platform.reportsOf(0) == 2U);
    test.changeList({{0, "v1", false, 100}, {1, "v1", false, 100}});
    for (const bool isTurn : {true, false}) {
        const std::string begun = isTurn ? "turn" : "plain";
        const std::string id = begun + "-resumed-elsewhere";
        BOOST_TEST(test.resume(test.second, id, begun, isTurn).status == 200U);
        BOOST_TEST((test.cluster.platform.serversOf(id) == std::vector<std::size_t> {1}));
    }
}

// Guards against a report without a start, or with one elsewhere in it, that is taken for that of the listed one.
BOOST_AUTO_TEST_CASE(a_stream_is_not_resumed_at_a_server_whose_report_is_unreadable)
{
    ResumedStreams test({{0, "v1", false, 100}});
    test.begin("begun", true);
    int number = 0;
    for (const std::string body :
         {"", "{", R"({"stage":"both"})", R"({"born":"100"})", R"({"models":[{"born":100}]})"}) {
        test.cluster.platform.setReport(0, body);
        for (const bool isTurn : {true, false}) {
            const std::string id = name("resumed", ++number);
            BOOST_TEST(test.resume(test.second, id, "begun", isTurn).status == 503U);
            BOOST_TEST(test.cluster.platform.runsOf(id) == 0U);
        }
    }
    BOOST_TEST(test.cluster.platform.reportsOf(0) > 0U);
}

// Guards against a question for each stream while the list is behind, and a server that stays unused after that.
BOOST_AUTO_TEST_CASE(a_server_that_restarted_is_asked_once_and_used_again_once_its_start_is_listed)
{
    constexpr std::uint64_t formerStart = 100;
    constexpr std::uint64_t start = 200;
    ResumedStreams test({{0, "v1", false, formerStart}});
    for (int i = 0; i < streams; ++i) {
        test.begin(name("begun", i), i % 2 == 0);
    }
    test.cluster.platform.restart(0, start);
    for (int i = 0; i < streams; ++i) {
        BOOST_TEST(test.resume(test.second, name("refused", i), name("begun", i), i % 2 == 0).status == 503U);
    }
    BOOST_TEST(test.cluster.platform.reportsOf(0) == 1U);
    test.changeList({{0, "v1", false, start}});
    for (int i = 0; i < streams; ++i) {
        BOOST_TEST(test.resume(test.second, name("resumed", i), name("begun", i), i % 2 == 0).status == 200U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
