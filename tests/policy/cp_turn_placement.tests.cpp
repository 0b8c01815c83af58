#include <cardamompost/policy/cp_turn_placement.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr unsigned slots = 4;

BackendServer engine(std::string id, bool isLeaving = false)
{
    return {std::move(id), "engines", {"127.0.0.1", 1}, "apapa", slots, isLeaving};
}

TurnToPlace turn(std::string id, std::string program, bool isInProgress = false, unsigned rank = 0)
{
    return {std::move(id), std::move(program), "engines", "apapa", rank, isInProgress, false, Milliseconds(4000)};
}

//! Engines, and where turns were placed, in order.
class Stage
{
public:
    explicit Stage(std::vector<BackendServer> engines)
    {
        placement.setServers(engines, start);
    }
    //! The engine at once; "-" when the turn waits.
    std::string ask(TurnToPlace wanted, TimePoint now = start)
    {
        const std::string id = wanted.turn;
        where[id] = "-";
        placement.request(std::move(wanted), now, [this, id](const std::string &engineId) {
            where[id] = engineId;
            order.push_back(id);
        });
        return where[id];
    }
    //! Fills all places with programs of their own.
    void fill(std::size_t engines)
    {
        for (std::size_t i = 0; i < engines * (slots + 1); ++i) {
            const std::string name = "fill" + std::to_string(i);
            ask(turn(name, name));
        }
        order.clear();
    }

    TurnPlacement placement {7};
    std::map<std::string, std::string> where;
    std::vector<std::string> order;
};

} // namespace

BOOST_AUTO_TEST_SUITE(turn_placement)

// Eight entries see the same engine as idle for as long as its report is old, and all send there.
BOOST_AUTO_TEST_CASE(new_programs_spread_evenly_whichever_entry_asks)
{
    Stage stage({engine("a"), engine("b"), engine("c")});
    for (int i = 0; i < 9; ++i) {
        const std::string name = std::to_string(i);
        stage.ask(turn(name, name));
    }
    for (const char *id : {"a", "b", "c"}) {
        BOOST_TEST(stage.placement.turnsAt(id) == 3U);
    }
}

// Under a burst, turns went to whichever engine had a free place. Their whole histories were read anew there, engines
// did little else, and twice as many programs were late (gatewise-dss scale-2: 408 instead of 195).
BOOST_AUTO_TEST_CASE(a_program_stays_with_its_engine_until_another_has_far_less_to_do)
{
    Stage stage({engine("a"), engine("b")});
    const std::string home = stage.ask(turn("t0", "p"));
    stage.placement.release("t0", start);
    // Two and a half times the slots.
    constexpr int fewer = 10;
    for (int i = 1; i <= fewer; ++i) {
        BOOST_TEST(stage.ask(turn("t" + std::to_string(i), "p", true)) == home);
    }
    BOOST_TEST(stage.ask(turn("one-more", "p", true)) != home);
}

BOOST_AUTO_TEST_CASE(programs_under_way_go_before_new_ones_then_by_rank_and_late_ones_last)
{
    Stage stage({engine("a"), engine("b")});
    stage.fill(2);
    TurnToPlace late = turn("late", "l", true);
    late.isLate = true;
    BOOST_TEST(stage.ask(late) != "-");
    BOOST_TEST(stage.ask(turn("low", "x", false, 1)) == "-");
    BOOST_TEST(stage.ask(turn("high", "y", false, 0)) == "-");
    // A program under way has a warm engine, or any; it does not wait behind programs that have not begun.
    BOOST_TEST(stage.ask(turn("next", "fill0", true)) != "-");
    stage.order.clear();
    for (int i = 0; i < 10; ++i) {
        stage.placement.release("fill" + std::to_string(i), start);
    }
    BOOST_TEST((stage.order == std::vector<std::string> {"high", "low"}));
}

// A member that did not lead comes to lead while turns pile up. It has read no list of engines yet, and placed nothing.
BOOST_AUTO_TEST_CASE(a_new_leader_sends_programs_back_where_the_log_says_that_they_ran)
{
    TurnPlacement follower(7);
    for (int i = 0; i < 20; ++i) {
        follower.noteRan("p" + std::to_string(i), i % 2 == 0 ? "a" : "b", start);
    }
    follower.clear();
    std::string where = "-";
    const auto note = [&](const std::string &engineId) { where = engineId; };
    follower.request(turn("t0", "p0", true), start, note);
    BOOST_TEST(where == "a");
    follower.request(turn("new", "unknown"), start, note);
    BOOST_TEST(where.empty());
    follower.setServers({engine("a"), engine("b")}, start);
    BOOST_TEST(follower.turnsAt("a") == 1U);
    for (int i = 1; i < 20; ++i) {
        const std::string name = std::to_string(i);
        follower.request(turn("t" + name, "p" + name, true), start, note);
        BOOST_TEST(where == (i % 2 == 0 ? "a" : "b"));
    }
}

BOOST_AUTO_TEST_CASE(where_a_program_ran_is_forgotten_with_its_engine_and_its_time)
{
    TurnPlacement follower(7);
    follower.noteRan("p", "gone", start);
    follower.setServers({engine("a")}, start);
    std::string where = "-";
    const auto note = [&](const std::string &engineId) { where = engineId; };
    follower.request(turn("t0", "p", true), start, note);
    BOOST_TEST(where == "a");
    follower.noteRan("q", "b", start);
    follower.clear();
    follower.tick(start + std::chrono::seconds(60));
    follower.request(turn("t1", "q", true), start + std::chrono::seconds(60), note);
    BOOST_TEST(where.empty());
}

BOOST_AUTO_TEST_CASE(the_same_turn_asked_again_keeps_its_place)
{
    Stage stage({engine("a"), engine("b")});
    const std::string first = stage.ask(turn("t", "p"));
    BOOST_TEST(stage.ask(turn("t", "p")) == first);
    BOOST_TEST(stage.placement.turnsAt("a") + stage.placement.turnsAt("b") == 1U);
    stage.fill(2);
    BOOST_TEST(stage.ask(turn("w1", "w1")) == "-");
    BOOST_TEST(stage.ask(turn("w2", "w2")) == "-");
    BOOST_TEST(stage.ask(turn("w1", "w1")) == "-");
    const std::size_t waiting = stage.placement.waiting();
    stage.placement.release("w2", start);
    BOOST_TEST(stage.placement.waiting() == waiting - 1);
}

// The entry dies with its turns under way. Nobody gives their places back, and the engines look full for ever.
BOOST_AUTO_TEST_CASE(places_of_entries_that_died_are_given_back)
{
    Stage stage({engine("a")});
    stage.fill(1);
    BOOST_TEST(stage.ask(turn("new", "new")) == "-");
    stage.placement.tick(start + Milliseconds(4600));
    BOOST_TEST(stage.where["new"] == "a");
    BOOST_TEST(stage.placement.turnsAt("a") == 1U);
}

BOOST_AUTO_TEST_CASE(a_turn_that_has_waited_for_long_goes_to_an_engines_own_queue)
{
    Stage stage({engine("a")});
    stage.fill(1);
    BOOST_TEST(stage.ask(turn("new", "new")) == "-");
    stage.placement.tick(start + Milliseconds(1000));
    BOOST_TEST(stage.where["new"] == "-");
    stage.placement.tick(start + Milliseconds(1300));
    BOOST_TEST(stage.where["new"] == "a");
}

BOOST_AUTO_TEST_CASE(engines_that_leave_or_can_not_be_reached_get_nothing_new)
{
    Stage stage({engine("a"), engine("b")});
    const std::string home = stage.ask(turn("t0", "p"));
    const std::string other = home == "a" ? "b" : "a";
    stage.placement.setServers({engine(home, true), engine(other)}, start);
    BOOST_TEST(stage.ask(turn("t1", "p", true)) == other);
    stage.placement.setServers({engine(home), engine(other)}, start);
    stage.placement.avoid(other, start + Milliseconds(1000));
    BOOST_TEST(stage.ask(turn("t2", "p", true)) == home);
    // With all in doubt, one is still better than none.
    stage.placement.setServers({engine(other)}, start);
    BOOST_TEST(stage.ask(turn("t3", "q")) == other);
}

BOOST_AUTO_TEST_CASE(whoever_waits_is_answered_when_the_leader_is_deposed)
{
    Stage stage({engine("a")});
    stage.fill(1);
    BOOST_TEST(stage.ask(turn("new", "new")) == "-");
    stage.placement.clear();
    BOOST_TEST(stage.where["new"].empty());
    // Without a list the entry chooses by itself.
    BOOST_TEST(stage.ask(turn("next", "next")).empty());
}

// An engine crashes and is back under its id within a second. Its turns ended with it and its memory is empty; counted
// on as before, it would stand empty while others are full, and programs would go back to read everything anew there.
BOOST_AUTO_TEST_CASE(an_engine_that_started_again_under_its_id_is_a_new_one)
{
    BackendServer first = engine("e1");
    first.incarnation = 1000;
    BackendServer other = engine("e2");
    other.incarnation = 1000;
    Stage stage({first, other});
    stage.fill(2);
    BOOST_TEST(stage.placement.turnsAt("e1") == slots + 1);
    first.incarnation = 2000;
    stage.placement.setServers({first, other}, start);
    BOOST_TEST(stage.placement.turnsAt("e1") == 0U);
    BOOST_TEST(stage.ask(turn("t", "new")) == "e1");
    // What ends of the incarnation before takes nothing from this one.
    for (int i = 0; i < 10; ++i) {
        stage.placement.release("fill" + std::to_string(i), start);
    }
    BOOST_TEST(stage.placement.turnsAt("e1") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
