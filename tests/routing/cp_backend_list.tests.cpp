#include <cardamompost/policy/cp_turn_placement.hpp>
#include <cardamompost/routing/cp_backend_list.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

BackendServer engine(std::uint64_t incarnation)
{
    BackendServer server;
    server.id = "e1";
    server.service = "engines";
    server.slots = 4;
    server.incarnation = incarnation;
    return server;
}

} // namespace

BOOST_AUTO_TEST_SUITE(backend_list)

// An engine starts again under its id. The list lags: it shows the new incarnation, the one before, and the new one
// again. The second time the engine was forgotten with the turns that run there, and was given as many again.
BOOST_AUTO_TEST_CASE(a_list_that_lags_does_not_make_an_engine_new_twice)
{
    const TimePoint now = TimePoint() + std::chrono::hours(1);
    TurnPlacement placement(7);
    std::vector<BackendServer> list;
    const auto show = [&](std::uint64_t incarnation) {
        list = latestIncarnations({engine(incarnation)}, list);
        placement.setServers(list, now);
    };
    show(1000);
    show(2000);
    placement.request({"t1", "p1", "engines", "apapa", 0, false, false, Milliseconds(4000)}, now, [](const auto &) {});
    BOOST_TEST(placement.turnsAt("e1") == 1U);
    show(1000);
    show(2000);
    BOOST_TEST(placement.turnsAt("e1") == 1U);
}

BOOST_AUTO_TEST_CASE(a_server_that_the_list_does_not_name_any_more_is_gone_whatever_the_list_before_had)
{
    BOOST_TEST(latestIncarnations({}, {engine(1000)}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
