#include "support/cp_gateway_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

//! A document with client accounts.
//! \param accounts  JSON objects, separated by commas
std::string documentWithAccounts(int version, const std::string &accounts)
{
    std::string text = document(version);
    const std::string anonymous
        = R"({"name":"open","host":"h.example","path-prefix":"/open/","kind":"unsafe","timeout-ms":4000,
             "service":"engines","max-attempts":1,"allow-anonymous":true},)";
    const std::string routes = "\"routes\":[";
    text.insert(text.find(routes) + routes.size(), anonymous);
    text.insert(text.rfind('}'), ",\"tenants\":[" + accounts + "]");
    return text;
}

const std::string officers = R"({"name":"officers","access-keys":["key-o1","key-o2"],"priority":1})";
const std::string foremen = R"({"name":"foremen","access-keys":["key-f"]})";

HttpHeaders headersWithKey(const std::string &id, const std::string &key)
{
    HttpHeaders headers = GatewayCluster::headers(id);
    headers["X-Api-Key"] = key;
    return headers;
}

HttpHeaders turnHeaders(const std::string &id, const std::string &key, const std::string &previous)
{
    HttpHeaders headers = headersWithKey(id, key);
    headers["Program"] = "p1";
    headers["Token-Usage"] = "100,50";
    headers["Token-Budget"] = "1000";
    if (!previous.empty()) {
        headers["Previous-Turn"] = previous;
    }
    return headers;
}

//! A cluster with client accounts and one entry.
struct AccountFixture {
    explicit AccountFixture(const std::string &accounts = officers + "," + foremen)
    {
        cluster.put(documentWithAccounts(3, accounts));
        entry = cluster.addEntry(cluster.seeds());
    }
    HttpResponse call(const std::string &id, const std::string &key, const std::string &path = "/tools/1")
    {
        return cluster.platform.call(entry, "POST", path, headersWithKey(id, key), "in");
    }
    HttpResponse turn(const std::string &id, const std::string &key, const std::string &previous = {})
    {
        return cluster.platform.call(entry, "POST", "/plans/1", turnHeaders(id, key, previous), "in-" + id + ";");
    }

    GatewayCluster cluster;
    Address entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_accounts)

// Guards against keys that are exposed to backend servers, and against clients that set the account header themselves.
BOOST_AUTO_TEST_CASE(a_server_receives_the_account_but_not_the_key)
{
    AccountFixture fixture;
    FakePlatform &platform = fixture.cluster.platform;
    HttpHeaders forged = headersWithKey("a1", "key-o2");
    forged["Tenant"] = "foremen";
    BOOST_TEST(platform.call(fixture.entry, "POST", "/tools/1", forged, "in").status == 200U);
    BOOST_TEST(platform.headerOf("a1", "Tenant") == "officers");
    BOOST_TEST(platform.headerOf("a1", "X-Api-Key").empty());
    BOOST_TEST(fixture.turn("a2", "key-f").status == 200U);
    BOOST_TEST(platform.headerOf("a2", "Tenant") == "foremen");
    BOOST_TEST(platform.headerOf("a2", "X-Api-Key").empty());
    BOOST_TEST(fixture.cluster.matchingLogCount("request.end", "key-") == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_without_a_known_key_is_rejected_and_not_executed)
{
    AccountFixture fixture;
    BOOST_TEST(fixture.call("b1", "key-x").status == 401U);
    BOOST_TEST(
        fixture.cluster.platform.call(fixture.entry, "POST", "/tools/1", GatewayCluster::headers("b2"), "in").status
        == 401U);
    BOOST_TEST(fixture.turn("b3", "key-x").status == 401U);
    BOOST_TEST(fixture.call("b4", "key-o1, key-f").status == 401U);
    BOOST_TEST(fixture.cluster.platform.arrivals() == 0);
    BOOST_TEST(fixture.cluster.explainEnd("b1").cause.find("no account holds the key") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_anonymous_route_accepts_requests_with_any_key_or_none)
{
    AccountFixture fixture;
    FakePlatform &platform = fixture.cluster.platform;
    HttpHeaders forged = GatewayCluster::headers("c1");
    forged["Tenant"] = "foremen";
    BOOST_TEST(platform.call(fixture.entry, "POST", "/open/1", forged, "in").status == 200U);
    BOOST_TEST(platform.headerOf("c1", "Tenant").empty());
    BOOST_TEST(fixture.call("c2", "key-x", "/open/1").status == 200U);
    BOOST_TEST(platform.headerOf("c2", "Tenant").empty());
    BOOST_TEST(platform.headerOf("c2", "X-Api-Key").empty());
    BOOST_TEST(fixture.call("c3", "key-f", "/open/1").status == 200U);
    BOOST_TEST(platform.headerOf("c3", "Tenant") == "foremen");
}

// Guards against a client that continues another account's turns or spends its budget.
BOOST_AUTO_TEST_CASE(accounts_that_use_the_same_ids_share_no_history_or_budget)
{
    AccountFixture fixture;
    BOOST_TEST(fixture.turn("d1", "key-o1").status == 200U);
    BOOST_TEST(fixture.turn("d2", "key-f", "d1").status == 404U);
    BOOST_TEST(fixture.turn("d1", "key-f").status == 200U);
    BOOST_TEST(fixture.turn("d3", "key-o2", "d1").status == 200U);
    BOOST_TEST(fixture.cluster.platform.bodyOf("d3") == "in-d1;a-d1\nb-d1\nin-d3;");
    // A key moves to another account; the histories stay with the account that began them.
    fixture.cluster.put(documentWithAccounts(4, R"({"name":"officers","access-keys":["key-o1"]},
        {"name":"foremen","access-keys":["key-f","key-o2"]})"));
    const bool isKeyMoved = GatewayCluster::eventually([&] {
        static int tries = 0;
        const std::string id = "dm" + std::to_string(++tries);
        return fixture.call(id, "key-o2").status == 200U
            && fixture.cluster.platform.headerOf(id, "Tenant") == "foremen";
    });
    BOOST_TEST(isKeyMoved);
    BOOST_TEST(fixture.turn("d4", "key-o2", "d3").status == 404U);
    BOOST_TEST(fixture.turn("d5", "key-o1", "d3").status == 200U);
}

// Guards against a revoked key that still works on a connection opened before.
BOOST_AUTO_TEST_CASE(a_revoked_key_is_rejected_and_running_requests_complete)
{
    AccountFixture fixture;
    BOOST_TEST(fixture.call("e0", "key-f").status == 200U);
    auto running
        = fixture.cluster.platform.begin(fixture.entry, "POST", "/drafts/slow", turnHeaders("e1", "key-f", {}), "in");
    const bool isRunning = GatewayCluster::eventually([&] { return fixture.cluster.platform.runsOf("e1") == 1U; });
    BOOST_TEST(isRunning);
    fixture.cluster.put(documentWithAccounts(4, officers));
    const bool isRefused = GatewayCluster::eventually([&] {
        static int tries = 0;
        return fixture.call("er" + std::to_string(++tries), "key-f").status == 401U;
    });
    BOOST_TEST(isRefused);
    BOOST_TEST(running.get().status == 200U);
    BOOST_TEST(fixture.call("e2", "key-o1").status == 200U);
}

// Guards against a 401, which is final, from an entry whose document may be stale.
BOOST_AUTO_TEST_CASE(an_entry_without_the_ledger_answers_503_to_an_unknown_key)
{
    AccountFixture fixture;
    BOOST_TEST(fixture.call("f1", "key-x").status == 401U);
    fixture.cluster.killLedgers();
    HttpResponse answer;
    const bool isUnavailable = GatewayCluster::eventually([&] {
        static int tries = 0;
        answer = fixture.call("fr" + std::to_string(++tries), "key-x");
        return answer.status == 503U;
    });
    BOOST_TEST(isUnavailable);
    BOOST_TEST(!answer.header("Retry-After").empty());
    BOOST_TEST(fixture.call("f2", "key-o1").status == 200U);
}

// Guards against a revoked key that still works at an entry without the ledger, where the settings forbid that.
BOOST_AUTO_TEST_CASE(an_entry_that_fails_closed_rejects_all_keys_after_the_revocation_time)
{
    GatewayCluster cluster;
    cluster.put(documentWithAccounts(3, officers));
    cluster.addEntry(cluster.seeds());
    GatewaySettings settings = cluster.commonSettings("entry-closed");
    settings.front = local(freePort());
    settings.ready = local(freePort());
    settings.seeds = cluster.seeds();
    settings.failsClosed = true;
    settings.revocationTime = Milliseconds(300);
    GatewayThread failClosedEntry(settings);
    const auto call = [&](const std::string &id) {
        return cluster.platform.call(settings.front, "POST", "/tools/1", headersWithKey(id, "key-o1"), "in").status;
    };
    const bool isServed = GatewayCluster::eventually([&] {
        static int tries = 0;
        return call("g" + std::to_string(++tries)) == 200U;
    });
    BOOST_TEST(isServed);
    cluster.killLedgers();
    const bool isRefused = GatewayCluster::eventually([&] {
        static int tries = 0;
        return call("h" + std::to_string(++tries)) == 503U;
    });
    BOOST_TEST(isRefused);
}

// Guards against clients that exceed a limit by spreading requests over entries, or over turns and plain requests.
BOOST_AUTO_TEST_CASE(a_rate_limit_is_shared_by_all_entries_and_request_kinds)
{
    const std::string limitedAccount
        = R"({"name":"bound","access-keys":["key-b"],"rate-per-s":0.5,"burst":12},)" + officers;
    AccountFixture fixture(limitedAccount);
    const Address other = fixture.cluster.addEntry(fixture.cluster.seeds());
    // The token bucket starts empty and gains a few tokens meanwhile, fewer than there are requests.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    unsigned served = 0;
    unsigned refused = 0;
    HttpResponse last;
    std::string lastId;
    for (int i = 0; i < 12; ++i) {
        const std::string id = "i" + std::to_string(i);
        const Address &entry = i % 2 == 0 ? fixture.entry : other;
        const bool isTurn = i % 3 == 0;
        const HttpHeaders headers = isTurn ? turnHeaders(id, "key-b", {}) : headersWithKey(id, "key-b");
        const HttpResponse answer
            = fixture.cluster.platform.call(entry, "POST", isTurn ? "/plans/1" : "/tools/1", headers, "in");
        served += answer.status == 200U ? 1 : 0;
        refused += answer.status == 429U ? 1 : 0;
        last = answer.status == 429U ? answer : last;
        lastId = answer.status == 429U ? id : lastId;
        BOOST_TEST(fixture.cluster.platform.runsOf(id) == (answer.status == 200U ? 1U : 0U));
    }
    BOOST_TEST(served >= 1U);
    BOOST_TEST(served <= 5U);
    BOOST_TEST(served + refused == 12U);
    BOOST_TEST(!last.header("Retry-After").empty());
    BOOST_TEST(fixture.cluster.explainEnd(lastId).cause.find("the account 'bound' has") != std::string::npos);
    // Other accounts are not limited.
    for (int i = 0; i < 12; ++i) {
        BOOST_TEST(fixture.call("j" + std::to_string(i), "key-o1").status == 200U);
    }
}

// Guards against a valid key that is refused for good since it moved to another account while its request was retried.
BOOST_AUTO_TEST_CASE(a_request_whose_key_moves_to_another_account_while_it_waits_may_come_back)
{
    AccountFixture fixture;
    std::future<HttpResponse> waiting
        = fixture.cluster.platform.begin(fixture.entry, "GET", "/reads/silent-once", headersWithKey("w1", "key-o2"));
    BOOST_REQUIRE(GatewayCluster::eventually([&] { return fixture.cluster.platform.runsOf("w1") == 1U; }));
    fixture.cluster.put(documentWithAccounts(4, R"({"name":"officers","access-keys":["key-o1"]},
        {"name":"foremen","access-keys":["key-f","key-o2"]})"));
    // It may have run at the server that did not answer.
    BOOST_TEST(waiting.get().status == 502U);
    BOOST_TEST(fixture.call("w2", "key-o2").status == 200U);
    BOOST_TEST(fixture.cluster.platform.headerOf("w2", "Tenant") == "foremen");
}

// Guards against a caller that passes its limit by sending all requests, or all turns, with one id.
BOOST_AUTO_TEST_CASE(a_rate_limit_counts_each_request_of_a_caller_that_repeats_one_id)
{
    constexpr double perSecond = 10;
    constexpr double burst = 10;
    constexpr int batches = 20;
    constexpr int requestsPerBatch = 50;
    AccountFixture fixture(R"({"name":"bound","access-keys":["key-b"],"rate-per-s":10,"burst":10})");
    const Address other = fixture.cluster.addEntry(fixture.cluster.seeds());
    for (const bool isTurn : {false, true}) {
        const std::string id = isTurn ? "turn" : "plain";
        HttpHeaders headers = isTurn ? turnHeaders(id, "key-b", {}) : headersWithKey(id, "key-b");
        headers["Token-Budget"] = "1000000";
        const std::string path = isTurn ? "/drafts/1" : "/tools/1";
        // Refills the account's bucket.
        std::this_thread::sleep_for(std::chrono::seconds(1));
        const auto startedAt = std::chrono::steady_clock::now();
        // Several at once, since a single caller's requests are only delayed.
        for (int batch = 0; batch < batches; ++batch) {
            std::vector<std::future<HttpResponse>> answers;
            for (int i = 0; i < requestsPerBatch; ++i) {
                const Address &entry = i % 2 == 0 ? fixture.entry : other;
                answers.push_back(fixture.cluster.platform.begin(entry, "POST", path, headers, "in"));
            }
            for (auto &answer : answers) {
                answer.get();
            }
        }
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - startedAt;
        const auto allowed = static_cast<std::size_t>(burst + perSecond * elapsed.count()) + 1;
        BOOST_TEST(fixture.cluster.platform.runsOf(id) > 0U);
        BOOST_TEST(fixture.cluster.platform.runsOf(id) <= allowed);
    }
}

BOOST_AUTO_TEST_CASE(a_document_with_ambiguous_accounts_is_rejected_without_exposing_keys)
{
    AccountFixture fixture;
    for (const std::string &accounts :
         {officers + R"(,{"name":"agents","access-keys":["key-o1"]})", officers + R"(,{"access-keys":["key-y"]})",
          officers + R"(,{"name":"agents","access-keys":[""]})", officers + R"(,{"name":"agents","access-keys":[7]})",
          officers + R"(,{"name":"agents","rate-per-s":-1})"}) {
        const HttpResponse answer
            = fixture.cluster.platform.call(fixture.cluster.ledgerSettings[0].control, "PUT",
                                            "/cardamompost/configuration", {}, documentWithAccounts(9, accounts));
        BOOST_TEST(answer.status == 400U, accounts);
        BOOST_TEST(answer.body.find("key-") == std::string::npos, answer.body);
    }
}

BOOST_AUTO_TEST_SUITE_END()
