#include "support/cp_engine_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr unsigned slots = 4;
//! Turns that an engine takes before it counts as full.
constexpr unsigned room = slots + 1;
constexpr Milliseconds timeLeft {4000};
//! After the maximum queue time.
constexpr Milliseconds longWait {1300};

SlotRequest turnOf(const std::string &account, const std::string &turn, bool isInProgress = false)
{
    SlotRequest request {turn, account + "-" + turn, "engines", "apapa", 0, isInProgress, false, timeLeft};
    request.account = account;
    return request;
}

//! Two engines with shares of accounts.
class SharedEngines
{
public:
    explicit SharedEngines(PlacementOptions options = {false, true, false, false})
        : placement(7, options)
    {
        placement.setServers({server("e1"), server("e2")}, start);
    }
    static BackendServer server(const std::string &id, std::uint64_t incarnation = 1)
    {
        BackendServer engine {id, "engines", {"127.0.0.1", 1}, "apapa", slots, false};
        engine.incarnation = incarnation;
        return engine;
    }
    //! \returns false if the turn waits
    bool place(SlotRequest request, TimePoint now = start)
    {
        const std::string turn = request.turn;
        isPlaced[turn] = false;
        placement.request(std::move(request), now, [this, turn](const std::string &) {
            isPlaced[turn] = true;
            order.push_back(turn);
        });
        return isPlaced[turn];
    }
    //! Lets an account hold all slots.
    void fill(const std::string &account)
    {
        for (unsigned i = 0; i < 2 * room; ++i) {
            BOOST_REQUIRE(place(turnOf(account, "fill" + std::to_string(i))));
        }
        order.clear();
    }

    TurnPlacement placement;
    std::map<std::string, bool> isPlaced;
    std::vector<std::string> order;
};

} // namespace

BOOST_AUTO_TEST_SUITE(account_shares)

// Guards against an account whose programs in progress take all slots that others wait for.
BOOST_AUTO_TEST_CASE(while_engines_are_full_an_account_over_its_share_waits_also_with_programs_in_progress)
{
    SharedEngines engines;
    engines.fill("large");
    BOOST_TEST(engines.place(turnOf("large", "alone", true)));
    BOOST_TEST(!engines.place(turnOf("small", "new")));
    BOOST_TEST(!engines.place(turnOf("large", "next", true)));
    // An account within its share doesn't wait with a program in progress.
    BOOST_TEST(engines.place(turnOf("small", "in-progress", true)));
    engines.order.clear();
    for (unsigned i = 0; i < 5; ++i) {
        engines.placement.release("fill" + std::to_string(i), start);
    }
    BOOST_TEST((engines.order == std::vector<std::string> {"new", "next"}));
}

BOOST_AUTO_TEST_CASE(an_account_over_its_share_waits_no_longer_than_the_maximum_queue_time)
{
    SharedEngines engines;
    engines.fill("large");
    BOOST_TEST(!engines.place(turnOf("small", "new")));
    BOOST_TEST(!engines.place(turnOf("large", "next", true)));
    engines.placement.tick(start + longWait);
    BOOST_TEST(engines.isPlaced["next"]);
    BOOST_TEST(engines.isPlaced["new"]);
}

BOOST_AUTO_TEST_CASE(an_account_over_its_share_does_not_wait_while_an_engine_has_room)
{
    SharedEngines engines;
    BOOST_TEST(engines.place(turnOf("small", "one")));
    for (unsigned i = 0; i + 1 < 2 * room; ++i) {
        BOOST_TEST(engines.place(turnOf("large", "turn" + std::to_string(i), i % 2 == 0)));
    }
    BOOST_TEST(!engines.place(turnOf("large", "one-more", true)));
}

// Guards against accounts that stay over their share because their entry died, or an engine restarted.
BOOST_AUTO_TEST_CASE(slots_are_counted_no_longer_after_they_expire_or_their_engine_restarts)
{
    SharedEngines engines;
    engines.fill("large");
    BOOST_TEST(engines.placement.heldSlots("engines", "large") == 2 * room);
    engines.placement.updateServers({SharedEngines::server("e1", 2)}, {}, start);
    BOOST_TEST(engines.placement.heldSlots("engines", "large") == room);
    engines.placement.tick(start + timeLeft + Milliseconds(600));
    BOOST_TEST(engines.placement.heldSlots("engines", "large") == 0U);
    engines.fill("other");
    engines.placement.clear();
    BOOST_TEST(engines.placement.heldSlots("engines", "other") == 0U);
}

// Guards against a turn that its caller gave up while it waited, and that gets a slot all the same.
BOOST_AUTO_TEST_CASE(a_turn_that_is_released_while_it_waits_is_forgotten)
{
    SharedEngines engines;
    engines.fill("large");
    BOOST_TEST(!engines.place(turnOf("small", "new")));
    engines.placement.release("new", start);
    BOOST_TEST(engines.placement.waiting() == 0U);
    engines.placement.release("fill0", start);
    engines.placement.tick(start + longWait);
    BOOST_TEST(!engines.isPlaced["new"]);
    BOOST_TEST(engines.placement.heldSlots("engines", "small") == 0U);
    // Alone again, the large account isn't over its share.
    BOOST_TEST(engines.place(turnOf("large", "next", true), start + longWait));
}

BOOST_AUTO_TEST_SUITE_END()
