#include "gateway/cp_backend_pool.hpp"

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

} // namespace

BOOST_AUTO_TEST_SUITE(backend_pool)

BOOST_AUTO_TEST_CASE(a_server_that_is_leaving_or_gone_gets_nothing_new)
{
    MetricRegistry metrics;
    BackendPool pool("apapa", metrics);
    BOOST_TEST(pool.setList(list(1, 1, {server("a"), server("b"), server("c")})));
    BOOST_TEST(picked(pool).size() == 3U);
    BOOST_TEST(pool.setList(list(1, 2, {server("a", true), server("b")})));
    BOOST_TEST((picked(pool) == std::set<std::string> {"b"}));
}

// The reader of the list is cut off and replaced. Its last list arrives after the new reader's first one: servers that
// have begun to leave in between would get work again.
BOOST_AUTO_TEST_CASE(an_older_list_or_one_of_an_older_reader_changes_nothing)
{
    MetricRegistry metrics;
    BackendPool pool("apapa", metrics);
    BOOST_TEST(pool.setList(list(2, 1, {server("new")})));
    BOOST_TEST(!pool.setList(list(1, 9, {server("old")})));
    BOOST_TEST(!pool.setList(list(2, 1, {server("old")})));
    BOOST_TEST((picked(pool) == std::set<std::string> {"new"}));
}

BOOST_AUTO_TEST_CASE(servers_that_had_the_request_are_left_out)
{
    MetricRegistry metrics;
    BackendPool pool("apapa", metrics);
    pool.setList(list(1, 1, {server("a"), server("b")}));
    BOOST_TEST((picked(pool, {"a"}) == std::set<std::string> {"b"}));
    BOOST_TEST(picked(pool, {"a", "b"}).empty());
}

BOOST_AUTO_TEST_CASE(a_server_in_doubt_is_chosen_only_when_there_is_no_other)
{
    MetricRegistry metrics;
    BackendPool pool("apapa", metrics);
    pool.setList(list(1, 1, {server("a"), server("b")}));
    pool.pick({"engines", 0, {"b"}}, now)->avoid(now + Milliseconds(1000));
    BOOST_TEST((picked(pool) == std::set<std::string> {"b"}));
    pool.pick({"engines", 0, {"a"}}, now)->avoid(now + Milliseconds(1000));
    BOOST_TEST(picked(pool).size() == 2U);
}

BOOST_AUTO_TEST_CASE(every_entry_finds_the_same_server_for_a_program_until_it_is_loaded)
{
    MetricRegistry metrics;
    BackendPool one("apapa", metrics);
    BackendPool two("onne", metrics);
    const auto servers = list(1, 1, {server("a"), server("b"), server("c")});
    one.setList(servers);
    two.setList(servers);
    for (std::uint64_t point = 1; point < 50; ++point) {
        const auto first = one.pick({"engines", point, {}}, now);
        BOOST_TEST(first->server().id == two.pick({"engines", point, {}}, now)->server().id);
    }
    const auto warm = one.pick({"engines", 7, {}}, now);
    warm->report(8, 2, now);
    BOOST_TEST(one.pick({"engines", 7, {}}, now)->server().id != warm->server().id);
    // A report grows old: what it said of others' requests is worth less and less.
    BOOST_TEST(one.pick({"engines", 7, {}}, now + Milliseconds(3000))->server().id == warm->server().id);
}

BOOST_AUTO_TEST_SUITE_END()
