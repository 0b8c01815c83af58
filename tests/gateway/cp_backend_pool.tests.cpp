#include "gateway/cp_backend_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

const TimePoint now = TimePoint() + std::chrono::hours(1);

BackendServer server(std::string id, bool isLeaving = false)
{
    return {std::move(id), "engines", {"127.0.0.1", 1}, "apapa", 8, isLeaving};
}

BackendList list(std::uint64_t term, std::uint64_t sequence, std::vector<BackendServer> servers)
{
    return {{term, sequence}, std::move(servers)};
}

std::set<std::string> picked(BackendPool &pool, std::set<std::string> tried = {})
{
    std::set<std::string> ids;
    for (int i = 0; i < 200; ++i) {
        if (const auto backend = pool.pick({"engines", 0, tried}, now)) {
            ids.insert(backend->server().id);
        }
    }
    return ids;
}

//! Ids of all servers that the successive attempts of one request would try.
std::set<std::string> allCandidates(BackendPool &pool)
{
    std::set<std::string> ids;
    while (const auto backend = pool.pick({"engines", 0, ids}, now)) {
        ids.insert(backend->server().id);
    }
    return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(backend_pool)

BOOST_AUTO_TEST_CASE(leaving_and_removed_servers_get_no_new_requests)
{
    MetricRegistry metrics;
    BackendPool pool("entry", "apapa", metrics);
    BOOST_TEST(pool.setList(list(1, 1, {server("a"), server("b"), server("c")})));
    BOOST_TEST(allCandidates(pool).size() == 3U);
    BOOST_TEST(pool.setList(list(1, 2, {server("a", true), server("b")})));
    BOOST_TEST((picked(pool) == std::set<std::string> {"b"}));
    BOOST_TEST((allCandidates(pool) == std::set<std::string> {"b"}));
}

// Guards against forgetting a leaving server's address while others can still fetch from it.
BOOST_AUTO_TEST_CASE(the_address_of_a_server_is_known_for_as_long_as_it_is_listed)
{
    MetricRegistry metrics;
    BackendPool pool("entry", "apapa", metrics);
    BackendServer first = server("a");
    first.address.port = 7;
    const BackendServer leavingFromTheStart = server("b", true);
    pool.setList(list(1, 1, {first, leavingFromTheStart}));
    BOOST_TEST(pool.addressOf("a", now)->port == 7);
    BOOST_TEST(pool.addressOf("b", now)->port == 1);
    BOOST_TEST(!pool.addressOf("unknown", now).has_value());
    BOOST_TEST(!pool.addressOf("", now).has_value());
    first.isLeaving = true;
    pool.setList(list(1, 2, {first, server("c")}));
    BOOST_TEST(pool.find("a", now) == nullptr);
    BOOST_TEST(pool.addressOf("a", now)->port == 7);
    BOOST_TEST(!pool.addressOf("b", now).has_value());
    pool.eject(*pool.find("c", now), now + Milliseconds(100));
    BOOST_TEST(!pool.addressOf("c", now).has_value());
    BOOST_TEST(pool.addressOf("c", now + Milliseconds(100)).has_value());
    pool.setList(list(1, 3, {server("c")}));
    BOOST_TEST(!pool.addressOf("a", now).has_value());
}

// Guards against sending a request to a server that has left, or changed its service, since it was chosen.
BOOST_AUTO_TEST_CASE(a_chosen_server_serves_only_its_listed_service_until_it_leaves)
{
    MetricRegistry metrics;
    BackendPool pool("entry", "apapa", metrics);
    pool.setList(list(1, 1, {server("a"), server("b"), server("c")}));
    const auto moved = pool.find("a", now);
    const auto left = pool.find("b", now);
    const auto gone = pool.find("c", now);
    BOOST_TEST(moved->mayServe("engines"));
    BOOST_TEST(!moved->mayServe("others"));
    BackendServer other = server("a");
    other.service = "others";
    pool.setList(list(1, 2, {other, server("b", true)}));
    BOOST_TEST(!moved->mayServe("engines"));
    BOOST_TEST(moved->mayServe("others"));
    BOOST_TEST(!left->mayServe("engines"));
    BOOST_TEST(!gone->mayServe("engines"));
    // Sticky requests, too, get only servers of their service.
    BOOST_TEST(pool.pick({"engines", 1}, now) == nullptr);
    BOOST_TEST(pool.pick({"others", 1}, now) == moved);
    BOOST_TEST(!pool.hasService("engines"));
    BOOST_TEST(pool.hasService("others"));
}

// Guards against naming the source of a prompt that it does not have any more, or that its target can't use.
BOOST_AUTO_TEST_CASE(a_prompt_is_fetched_only_from_a_server_of_the_same_service_and_software_version)
{
    MetricRegistry metrics;
    BackendPool pool("entry", "apapa", metrics);
    const auto listed = [](const std::string &id, std::uint16_t port, const std::string &service,
                           const std::string &softwareVersion) {
        BackendServer item = server(id);
        item.address.port = port;
        item.service = service;
        item.softwareVersion = softwareVersion;
        return item;
    };
    const BackendServer target = listed("t", 1, "engines", "v1");
    pool.setList(list(1, 1,
                      {target, listed("same", 2, "engines", "v1"), listed("newer", 3, "engines", "v2"),
                       listed("other", 4, "others", "v1"), listed("reborn", 5, "engines", "v1"),
                       listed("former", 1, "engines", "v1")}));
    BOOST_TEST(pool.promptAddressOf("same", target, now)->port == 2);
    pool.find("reborn", now)->recordIncarnation(1);
    for (const char *id : {"t", "newer", "other", "reborn", "former", "unknown", ""}) {
        BOOST_TEST(!pool.promptAddressOf(id, target, now).has_value());
    }
}

// Guards against a late list of a former leader that returns leaving servers to use.
BOOST_AUTO_TEST_CASE(an_older_list_or_one_of_an_older_term_is_ignored)
{
    MetricRegistry metrics;
    BackendPool pool("entry", "apapa", metrics);
    BOOST_TEST(pool.setList(list(2, 1, {server("new")})));
    BOOST_TEST(!pool.setList(list(1, 9, {server("old")})));
    BOOST_TEST(!pool.setList(list(2, 1, {server("old")})));
    BOOST_TEST((picked(pool) == std::set<std::string> {"new"}));
}

BOOST_AUTO_TEST_CASE(servers_already_tried_are_excluded)
{
    MetricRegistry metrics;
    BackendPool pool("entry", "apapa", metrics);
    pool.setList(list(1, 1, {server("a"), server("b")}));
    BOOST_TEST((picked(pool, {"a"}) == std::set<std::string> {"b"}));
    BOOST_TEST(picked(pool, {"a", "b"}).empty());
}

// Guards against streams that continue at a server whose listed software version is that of its former start.
BOOST_AUTO_TEST_CASE(a_server_that_restarted_continues_no_streams_until_its_start_is_listed)
{
    const auto listed = [](std::uint64_t incarnation) {
        BackendServer item = server("a");
        item.softwareVersion = "v1";
        item.incarnation = incarnation;
        return item;
    };
    MetricRegistry metrics;
    BackendPool pool("entry", "apapa", metrics);
    PickRequest continued {"engines"};
    continued.softwareVersion = "v1";
    pool.setList(list(1, 1, {listed(100)}));
    BOOST_TEST(pool.pick(continued, now) != nullptr);
    pool.find("a", now)->recordIncarnation(100);
    BOOST_TEST(pool.pick(continued, now) != nullptr);
    pool.find("a", now)->recordIncarnation(200);
    BOOST_TEST(pool.pick(continued, now) == nullptr);
    BOOST_TEST(pool.pick({"engines"}, now) != nullptr);
    pool.setList(list(1, 2, {listed(100)}));
    BOOST_TEST(pool.pick(continued, now) == nullptr);
    pool.setList(list(1, 3, {listed(200)}));
    BOOST_TEST(pool.pick(continued, now) != nullptr);
}

BOOST_AUTO_TEST_CASE(an_ejected_server_is_chosen_only_if_there_is_no_other)
{
    MetricRegistry metrics;
    BackendPool pool("entry", "apapa", metrics);
    pool.setList(list(1, 1, {server("a"), server("b")}));
    pool.eject(*pool.pick({"engines", 0, {"b"}}, now), now + Milliseconds(1000));
    BOOST_TEST((picked(pool) == std::set<std::string> {"b"}));
    pool.eject(*pool.pick({"engines", 0, {"a"}}, now), now + Milliseconds(1000));
    BOOST_TEST(allCandidates(pool).size() == 2U);
}

BOOST_AUTO_TEST_CASE(all_entries_pick_the_same_sticky_server_until_it_is_loaded)
{
    MetricRegistry metrics;
    BackendPool one("one", "apapa", metrics);
    BackendPool two("two", "onne", metrics);
    const auto servers = list(1, 1, {server("a"), server("b"), server("c")});
    one.setList(servers);
    two.setList(servers);
    for (std::uint64_t stickyHash = 1; stickyHash < 50; ++stickyHash) {
        const auto first = one.pick({"engines", stickyHash, {}}, now);
        BOOST_TEST(first->server().id == two.pick({"engines", stickyHash, {}}, now)->server().id);
    }
    const auto sticky = one.pick({"engines", 7, {}}, now);
    sticky->report(8, 2, now);
    BOOST_TEST(one.pick({"engines", 7, {}}, now)->server().id != sticky->server().id);
    // A load report decays with age.
    BOOST_TEST(one.pick({"engines", 7, {}}, now + Milliseconds(3000))->server().id == sticky->server().id);
}

// Guards against connections to many servers that are each used rarely and closed by the server while idle.
BOOST_AUTO_TEST_CASE(an_entry_prefers_a_few_servers_of_its_failure_domain_until_they_are_busy)
{
    MetricRegistry metrics;
    std::vector<BackendServer> servers;
    for (int i = 0; i < 30; ++i) {
        servers.push_back(server(std::to_string(i)));
        servers.back().failureDomain = i % 3 == 0 ? "apapa" : "onne";
    }
    std::map<std::string, int> entriesPerServer;
    for (int entry = 0; entry < 40; ++entry) {
        BackendPool pool("entry-" + std::to_string(entry), "apapa", metrics);
        pool.setList(list(1, 1, servers));
        std::set<std::string> preferred;
        for (int i = 0; i < 6; ++i) {
            const auto backend = pool.pick({"engines", 0, {}}, now);
            BOOST_TEST(backend->server().failureDomain == "apapa");
            ++entriesPerServer[backend->server().id];
            backend->report(8, 0, now);
            preferred.insert(backend->server().id);
        }
        BOOST_TEST(preferred.size() == 6U);
        // With all preferred servers busy, others get requests.
        std::set<std::string> others;
        for (int i = 0; i < 200; ++i) {
            others.insert(pool.pick({"engines", 0, {}}, now)->server().id);
        }
        BOOST_TEST(others.size() > 1U);
    }
    BOOST_TEST(entriesPerServer.size() == 10U);
    for (const auto &[id, entries] : entriesPerServer) {
        BOOST_TEST(entries >= 12);
        BOOST_TEST(entries <= 36);
    }
}

// Guards against a crashed server that loses one request per idle connection.
BOOST_AUTO_TEST_CASE(consecutive_failures_close_idle_connections_and_eject_the_server)
{
    MetricRegistry metrics;
    boost::asio::io_context io;
    BackendPool pool("entry", "apapa", metrics);
    pool.setList(list(1, 1, {server("a"), server("b"), server("c")}));
    const auto backend = pool.pick({"engines", 0, {"b", "c"}}, now);
    const auto connection = std::make_shared<BackendConnection>(boost::beast::tcp_stream(io));
    connection->reusableUntil = now + Milliseconds(1000);
    pool.release(*backend, connection, now);
    pool.recordFailure(*backend, now);
    BOOST_TEST((pool.takeIdle(*backend, now) == nullptr));
    BOOST_TEST(connection.use_count() == 1);
    BOOST_TEST(!backend->isEjected(now));
    backend->recordSuccess();
    pool.recordFailure(*backend, now);
    BOOST_TEST(!backend->isEjected(now));
    pool.recordFailure(*backend, now);
    BOOST_TEST(backend->isEjected(now));
    BOOST_TEST(!picked(pool).contains("a"));
}

// Guards against ejecting so many servers that the others are overloaded.
BOOST_AUTO_TEST_CASE(only_a_share_of_a_services_servers_is_ejected_at_once)
{
    MetricRegistry metrics;
    BackendPool pool("entry", "apapa", metrics);
    std::vector<BackendServer> servers;
    for (int i = 0; i < 10; ++i) {
        servers.push_back(server(std::to_string(i)));
    }
    pool.setList(list(1, 1, servers));
    int ejected = 0;
    for (const BackendServer &item : servers) {
        const auto backend = pool.find(item.id, now);
        pool.recordFailure(*backend, now);
        pool.recordFailure(*backend, now);
        ejected += backend->isEjected(now) ? 1 : 0;
    }
    BOOST_TEST(ejected == 4);
}

// Guards against a cost of each request that grows with the number of servers.
BOOST_AUTO_TEST_CASE(choosing_a_server_examines_few_servers_however_many_there_are)
{
    constexpr int requests = 1000;
    constexpr std::uint64_t maxExamined = 32;
    for (const int count : {5'000, 10'000}) {
        MetricRegistry metrics;
        BackendPool pool("entry", "apapa", metrics);
        std::vector<BackendServer> servers;
        for (int i = 0; i < count; ++i) {
            servers.push_back(server(std::to_string(i)));
        }
        pool.setList(list(1, 1, servers));
        for (int i = 0; i < requests; ++i) {
            // A tenth of the choices finds the preferred servers busy.
            const auto backend = pool.pick({"engines", 0, {}}, now);
            backend->report(i % 10 == 0 ? 8 : 0, 0, now);
        }
        BOOST_TEST(pool.examinedServers() <= requests * maxExamined);
    }
}

BOOST_AUTO_TEST_CASE(changes_of_a_list_apply_to_the_servers_that_they_name)
{
    MetricRegistry metrics;
    BackendPool pool("entry", "apapa", metrics);
    pool.setList(list(1, 1, {server("a"), server("b"), server("c")}));
    BackendServer moved = server("c");
    moved.service = "tools";
    pool.update({{server("a", true), server("d"), moved}, {"b"}, 0}, {1, 2});
    BOOST_TEST((pool.version() == BackendListVersion {1, 2}));
    BOOST_TEST((allCandidates(pool) == std::set<std::string> {"d"}));
    BOOST_TEST(pool.pick({"tools", 0, {}}, now)->server().id == "c");
    pool.update({{server("a")}, {"d", "unknown"}, 0}, {1, 3});
    BOOST_TEST((allCandidates(pool) == std::set<std::string> {"a"}));
}

// Guards against applying a previous incarnation's state to a restarted server, or returning to it with an old list.
BOOST_AUTO_TEST_CASE(a_restarted_server_replaces_its_previous_incarnation)
{
    boost::asio::io_context io;
    MetricRegistry metrics;
    BackendPool pool("entry", "apapa", metrics);
    BackendServer previousIncarnation = server("s1");
    previousIncarnation.incarnation = 1000;
    BackendServer newIncarnation = previousIncarnation;
    newIncarnation.incarnation = 2000;
    pool.setList(list(1, 1, {previousIncarnation}));
    const auto oldState = pool.find("s1", now);
    BOOST_REQUIRE(oldState);
    pool.eject(*oldState, now + std::chrono::hours(1));
    BOOST_TEST(!pool.find("s1", now));

    pool.setList(list(1, 2, {newIncarnation}));
    const auto newState = pool.find("s1", now);
    BOOST_REQUIRE(newState);
    BOOST_TEST(newState != oldState);
    BOOST_TEST(oldState->server().isLeaving);

    pool.setList(list(1, 3, {previousIncarnation}));
    BOOST_TEST(pool.find("s1", now) == newState);
    BOOST_TEST((picked(pool) == std::set<std::string> {"s1"}));
}

BOOST_AUTO_TEST_CASE(the_later_of_two_incarnations_in_a_list_is_kept)
{
    BackendServer previousIncarnation = server("s1", true);
    previousIncarnation.incarnation = 1000;
    BackendServer newIncarnation = server("s1");
    newIncarnation.incarnation = 2000;
    for (const auto &servers :
         {std::vector {previousIncarnation, newIncarnation}, std::vector {newIncarnation, previousIncarnation}}) {
        const std::vector<BackendServer> latest = latestIncarnations(servers);
        BOOST_REQUIRE(latest.size() == 1U);
        BOOST_TEST(latest.front().incarnation == 2000U);
    }
}

// Guards against a stream that is resumed at a server of another software version, and against stale state after a
// restart with a new one.
BOOST_AUTO_TEST_CASE(a_request_that_requires_a_software_version_gets_only_its_servers)
{
    MetricRegistry metrics;
    BackendPool pool("entry", "apapa", metrics);
    BackendServer first = server("a");
    first.softwareVersion = "v1";
    BackendServer second = server("b");
    second.softwareVersion = "v2";
    BOOST_TEST(pool.setList(list(1, 1, {first, second, server("unknown")})));
    for (const std::uint64_t stickyHash : {0, 5}) {
        for (int i = 0; i < 100; ++i) {
            BOOST_TEST(pool.pick({"engines", stickyHash, {}, 0.8, "v2"}, now)->server().id == "b");
        }
        BOOST_TEST(pool.pick({"engines", stickyHash, {"b"}, 0.8, "v2"}, now) == nullptr);
        BOOST_TEST(pool.pick({"engines", stickyHash, {}, 0.8, "v3"}, now) == nullptr);
    }
    const auto before = pool.find("b", now);
    second.softwareVersion = "v1";
    BOOST_TEST(pool.setList(list(1, 2, {first, second})));
    BOOST_TEST(before->server().softwareVersion == "v2");
    BOOST_TEST(pool.find("b", now)->server().softwareVersion == "v1");
    BOOST_TEST(pool.pick({"engines", 0, {}, 0.8, "v2"}, now) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
