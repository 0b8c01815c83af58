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

// A stale list names the incarnation from before a restart, then the new one again. Taking that for another restart
// would drop the running turns and overload the engine.
BOOST_AUTO_TEST_CASE(a_stale_list_does_not_reset_the_turns_of_a_restarted_engine)
{
    const TimePoint now = TimePoint() + std::chrono::hours(1);
    TurnPlacement placement(7);
    std::vector<BackendServer> list;
    const auto applyList = [&](std::uint64_t incarnation) {
        list = latestIncarnations({engine(incarnation)}, list);
        placement.setServers(list, now);
    };
    applyList(1000);
    applyList(2000);
    placement.request({"t1", "p1", "engines", "apapa", 0, false, false, Milliseconds(4000)}, now, [](const auto &) {});
    BOOST_TEST(placement.turnsAt("e1") == 1U);
    applyList(1000);
    applyList(2000);
    BOOST_TEST(placement.turnsAt("e1") == 1U);
}

BOOST_AUTO_TEST_CASE(a_server_missing_from_the_new_list_is_removed)
{
    BOOST_TEST(latestIncarnations({}, {engine(1000)}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
