#include "support/cp_platform_system.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

//! A document with accounts, each as JSON.
std::string withAccounts(int version, const std::string &accounts)
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

HttpHeaders withKey(const std::string &id, const std::string &key)
{
    HttpHeaders headers = System::headers(id);
    headers["X-Api-Key"] = key;
    return headers;
}

HttpHeaders turnHeaders(const std::string &id, const std::string &key, const std::string &previous)
{
    HttpHeaders headers = withKey(id, key);
    headers["Program"] = "p1";
    headers["Token-Usage"] = "100,50";
    headers["Token-Budget"] = "1000";
    if (!previous.empty()) {
        headers["Previous-Turn"] = previous;
    }
    return headers;
}

//! A system with the accounts above and an entry.
struct Ready {
    explicit Ready(const std::string &accounts = officers + "," + foremen)
    {
        system.put(withAccounts(3, accounts));
        entry = system.addEntry(system.seeds());
    }
    HttpResponse call(const std::string &id, const std::string &key, const std::string &path = "/tools/1")
    {
        return system.stage.call(entry, "POST", path, withKey(id, key), "in");
    }
    HttpResponse turn(const std::string &id, const std::string &key, const std::string &previous = {})
    {
        return system.stage.call(entry, "POST", "/plans/1", turnHeaders(id, key, previous), "in-" + id + ";");
    }

    System system;
    Address entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_accounts)

// Guards against a key that a backend server could use, and against a caller that names an account itself.
BOOST_AUTO_TEST_CASE(a_server_learns_the_account_and_never_the_key)
{
    Ready ready;
    PlatformStage &stage = ready.system.stage;
    HttpHeaders forged = withKey("a1", "key-o2");
    forged["Tenant"] = "foremen";
    BOOST_TEST(stage.call(ready.entry, "POST", "/tools/1", forged, "in").status == 200U);
    BOOST_TEST(stage.headerOf("a1", "Tenant") == "officers");
    BOOST_TEST(stage.headerOf("a1", "X-Api-Key").empty());
    BOOST_TEST(ready.turn("a2", "key-f").status == 200U);
    BOOST_TEST(stage.headerOf("a2", "Tenant") == "foremen");
    BOOST_TEST(stage.headerOf("a2", "X-Api-Key").empty());
    BOOST_TEST(ready.system.loggedWith("request.end", "key-") == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_without_a_known_key_is_refused_and_runs_nowhere)
{
    Ready ready;
    BOOST_TEST(ready.call("b1", "key-x").status == 401U);
    BOOST_TEST(ready.system.stage.call(ready.entry, "POST", "/tools/1", System::headers("b2"), "in").status == 401U);
    BOOST_TEST(ready.turn("b3", "key-x").status == 401U);
    BOOST_TEST(ready.call("b4", "key-o1, key-f").status == 401U);
    BOOST_TEST(ready.system.stage.arrivals() == 0);
    BOOST_TEST(ready.system.explainEnd("b1").cause.find("no account holds the key") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_route_for_anybody_takes_requests_with_any_key_and_without_one)
{
    Ready ready;
    PlatformStage &stage = ready.system.stage;
    HttpHeaders forged = System::headers("c1");
    forged["Tenant"] = "foremen";
    BOOST_TEST(stage.call(ready.entry, "POST", "/open/1", forged, "in").status == 200U);
    BOOST_TEST(stage.headerOf("c1", "Tenant").empty());
    BOOST_TEST(ready.call("c2", "key-x", "/open/1").status == 200U);
    BOOST_TEST(stage.headerOf("c2", "Tenant").empty());
    BOOST_TEST(stage.headerOf("c2", "X-Api-Key").empty());
    BOOST_TEST(ready.call("c3", "key-f", "/open/1").status == 200U);
    BOOST_TEST(stage.headerOf("c3", "Tenant") == "foremen");
}

// Guards against a caller that goes on from what another account said, or spends its budget.
BOOST_AUTO_TEST_CASE(histories_and_budgets_of_accounts_that_use_the_same_ids_never_meet)
{
    Ready ready;
    BOOST_TEST(ready.turn("d1", "key-o1").status == 200U);
    BOOST_TEST(ready.turn("d2", "key-f", "d1").status == 404U);
    BOOST_TEST(ready.turn("d1", "key-f").status == 200U);
    BOOST_TEST(ready.turn("d3", "key-o2", "d1").status == 200U);
    BOOST_TEST(ready.system.stage.bodyOf("d3") == "in-d1;a-d1\nb-d1\nin-d3;");
    // The key moves, and what was said stays with its account.
    ready.system.put(withAccounts(4, R"({"name":"officers","access-keys":["key-o1"]},
        {"name":"foremen","access-keys":["key-f","key-o2"]})"));
    const bool hasMoved = System::eventually([&] {
        static int tries = 0;
        const std::string id = "dm" + std::to_string(++tries);
        return ready.call(id, "key-o2").status == 200U && ready.system.stage.headerOf(id, "Tenant") == "foremen";
    });
    BOOST_TEST(hasMoved);
    BOOST_TEST(ready.turn("d4", "key-o2", "d3").status == 404U);
    BOOST_TEST(ready.turn("d5", "key-o1", "d3").status == 200U);
}

// Guards against a key that goes on working on a connection that was open when it was taken away.
BOOST_AUTO_TEST_CASE(a_key_that_is_taken_away_stops_working_and_what_runs_ends)
{
    Ready ready;
    BOOST_TEST(ready.call("e0", "key-f").status == 200U);
    auto running = ready.system.stage.begin(ready.entry, "POST", "/drafts/slow", turnHeaders("e1", "key-f", {}), "in");
    const bool runs = System::eventually([&] { return ready.system.stage.runsOf("e1") == 1U; });
    BOOST_TEST(runs);
    ready.system.put(withAccounts(4, officers));
    const bool isRefused = System::eventually([&] {
        static int tries = 0;
        return ready.call("er" + std::to_string(++tries), "key-f").status == 401U;
    });
    BOOST_TEST(isRefused);
    BOOST_TEST(running.get().status == 200U);
    BOOST_TEST(ready.call("e2", "key-o1").status == 200U);
}

// Guards against a 401, which is final, from an entry that can't know the newest document.
BOOST_AUTO_TEST_CASE(an_entry_that_has_lost_the_ledger_does_not_say_that_a_key_is_unknown)
{
    Ready ready;
    BOOST_TEST(ready.call("f1", "key-x").status == 401U);
    ready.system.killLedgers();
    HttpResponse answer;
    const bool isUnsure = System::eventually([&] {
        static int tries = 0;
        answer = ready.call("fr" + std::to_string(++tries), "key-x");
        return answer.status == 503U;
    });
    BOOST_TEST(isUnsure);
    BOOST_TEST(!answer.header("Retry-After").empty());
    BOOST_TEST(ready.call("f2", "key-o1").status == 200U);
}

// Guards against a key that was taken away while its entry was cut off, where operators want that refused.
BOOST_AUTO_TEST_CASE(an_entry_that_fails_closed_takes_no_key_once_it_is_cut_off_for_long)
{
    System system;
    system.put(withAccounts(3, officers));
    system.addEntry(system.seeds());
    GatewaySettings settings = system.common("entry-closed");
    settings.front = local(freePort());
    settings.ready = local(freePort());
    settings.seeds = system.seeds();
    settings.failsClosed = true;
    settings.revocationTime = Milliseconds(300);
    GatewayThread closed(settings);
    const auto call = [&](const std::string &id) {
        return system.stage.call(settings.front, "POST", "/tools/1", withKey(id, "key-o1"), "in").status;
    };
    const bool isServed = System::eventually([&] {
        static int tries = 0;
        return call("g" + std::to_string(++tries)) == 200U;
    });
    BOOST_TEST(isServed);
    system.killLedgers();
    const bool isRefused = System::eventually([&] {
        static int tries = 0;
        return call("h" + std::to_string(++tries)) == 503U;
    });
    BOOST_TEST(isRefused);
}

// Guards a limit against callers that spread over entries, and turns and plain calls that count apart.
BOOST_AUTO_TEST_CASE(a_limit_is_one_over_all_entries_and_kinds_of_requests)
{
    const std::string bound = R"({"name":"bound","access-keys":["key-b"],"rate-per-s":0.5,"burst":12},)" + officers;
    Ready ready(bound);
    const Address other = ready.system.addEntry(ready.system.seeds());
    // The account begins with nothing and gets its burst over time; then more is asked for than it has.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    unsigned served = 0;
    unsigned refused = 0;
    HttpResponse last;
    std::string lastId;
    for (int i = 0; i < 12; ++i) {
        const std::string id = "i" + std::to_string(i);
        const Address &entry = i % 2 == 0 ? ready.entry : other;
        const bool isTurn = i % 3 == 0;
        const HttpHeaders headers = isTurn ? turnHeaders(id, "key-b", {}) : withKey(id, "key-b");
        const HttpResponse answer
            = ready.system.stage.call(entry, "POST", isTurn ? "/plans/1" : "/tools/1", headers, "in");
        served += answer.status == 200U ? 1 : 0;
        refused += answer.status == 429U ? 1 : 0;
        last = answer.status == 429U ? answer : last;
        lastId = answer.status == 429U ? id : lastId;
        BOOST_TEST(ready.system.stage.runsOf(id) == (answer.status == 200U ? 1U : 0U));
    }
    BOOST_TEST(served >= 1U);
    BOOST_TEST(served <= 5U);
    BOOST_TEST(served + refused == 12U);
    BOOST_TEST(!last.header("Retry-After").empty());
    BOOST_TEST(ready.system.explainEnd(lastId).cause.find("the account 'bound' has") != std::string::npos);
    // Others lose nothing.
    for (int i = 0; i < 12; ++i) {
        BOOST_TEST(ready.call("j" + std::to_string(i), "key-o1").status == 200U);
    }
}

BOOST_AUTO_TEST_CASE(a_document_whose_accounts_can_not_be_told_apart_is_refused_without_its_keys)
{
    Ready ready;
    for (const std::string &accounts :
         {officers + R"(,{"name":"agents","access-keys":["key-o1"]})", officers + R"(,{"access-keys":["key-y"]})",
          officers + R"(,{"name":"agents","access-keys":[""]})", officers + R"(,{"name":"agents","access-keys":[7]})",
          officers + R"(,{"name":"agents","rate-per-s":-1})"}) {
        const HttpResponse answer = ready.system.stage.call(
            ready.system.ledgers[0].control, "PUT", "/cardamompost/configuration", {}, withAccounts(9, accounts));
        BOOST_TEST(answer.status == 400U, accounts);
        BOOST_TEST(answer.body.find("key-") == std::string::npos, answer.body);
    }
}

BOOST_AUTO_TEST_SUITE_END()
