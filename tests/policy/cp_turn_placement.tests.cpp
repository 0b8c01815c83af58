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

SlotRequest turn(std::string id, std::string program, bool isInProgress = false, unsigned rank = 0)
{
    return {std::move(id), std::move(program), "engines", "apapa", rank, isInProgress, false, Milliseconds(4000)};
}

//! A placement with its engines, which records the engine of each turn and the order of placement.
class PlacementFixture
{
public:
    explicit PlacementFixture(std::vector<BackendServer> engines)
    {
        placement.setServers(engines, start);
    }
    //! Returns the engine if the turn is placed immediately, or "-" if it waits.
    std::string place(SlotRequest slotRequest, TimePoint now = start)
    {
        const std::string id = slotRequest.turn;
        engineOf[id] = "-";
        placement.request(std::move(slotRequest), now, [this, id](const std::string &engineId) {
            engineOf[id] = engineId;
            placementOrder.push_back(id);
        });
        return engineOf[id];
    }
    //! Loads the engines with turns of distinct programs until new programs have to wait.
    void fill(std::size_t engines)
    {
        for (std::size_t i = 0; i < engines * (slots + 1); ++i) {
            const std::string name = "fill" + std::to_string(i);
            place(turn(name, name));
        }
        placementOrder.clear();
    }

    TurnPlacement placement {7};
    std::map<std::string, std::string> engineOf;
    std::vector<std::string> placementOrder;
};

} // namespace

BOOST_AUTO_TEST_SUITE(turn_placement)

// Guards against several entries sending to the same idle engine.
BOOST_AUTO_TEST_CASE(new_programs_are_spread_evenly_over_engines)
{
    PlacementFixture fixture({engine("a"), engine("b"), engine("c")});
    for (int i = 0; i < 9; ++i) {
        const std::string name = std::to_string(i);
        fixture.place(turn(name, name));
    }
    for (const char *id : {"a", "b", "c"}) {
        BOOST_TEST(fixture.placement.turnsAt(id) == 3U);
    }
}

// Guards against moving programs during a burst, which recomputes their prompts.
BOOST_AUTO_TEST_CASE(a_program_keeps_its_engine_until_another_is_far_less_loaded)
{
    PlacementFixture fixture({engine("a"), engine("b")});
    const std::string home = fixture.place(turn("t0", "p"));
    fixture.placement.release("t0", start);
    // maxAffinityImbalance times the slots.
    constexpr int turnsBeforeMove = 10;
    for (int i = 1; i <= turnsBeforeMove; ++i) {
        BOOST_TEST(fixture.place(turn("t" + std::to_string(i), "p", true)) == home);
    }
    BOOST_TEST(fixture.place(turn("one-more", "p", true)) != home);
}

BOOST_AUTO_TEST_CASE(turns_are_queued_by_progress_then_by_rank_with_late_programs_last)
{
    PlacementFixture fixture({engine("a"), engine("b")});
    fixture.fill(2);
    SlotRequest late = turn("late", "l", true);
    late.isLate = true;
    BOOST_TEST(fixture.place(late) != "-");
    BOOST_TEST(fixture.place(turn("low", "x", false, 1)) == "-");
    BOOST_TEST(fixture.place(turn("high", "y", false, 0)) == "-");
    // A program in progress does not wait behind new programs.
    BOOST_TEST(fixture.place(turn("next", "fill0", true)) != "-");
    fixture.placementOrder.clear();
    for (int i = 0; i < 10; ++i) {
        fixture.placement.release("fill" + std::to_string(i), start);
    }
    BOOST_TEST((fixture.placementOrder == std::vector<std::string> {"high", "low"}));
}

// Guards against losing cache affinity when a follower becomes leader before it has the engine list.
BOOST_AUTO_TEST_CASE(a_new_leader_keeps_the_affinities_recorded_in_the_log)
{
    TurnPlacement follower(7);
    for (int i = 0; i < 20; ++i) {
        follower.recordLastEngine("p" + std::to_string(i), i % 2 == 0 ? "a" : "b", start);
    }
    follower.clear();
    std::string engineOf = "-";
    const auto onPlaced = [&](const std::string &engineId) { engineOf = engineId; };
    follower.request(turn("t0", "p0", true), start, onPlaced);
    BOOST_TEST(engineOf == "a");
    follower.request(turn("new", "unknown"), start, onPlaced);
    BOOST_TEST(engineOf.empty());
    follower.setServers({engine("a"), engine("b")}, start);
    BOOST_TEST(follower.turnsAt("a") == 1U);
    for (int i = 1; i < 20; ++i) {
        const std::string name = std::to_string(i);
        follower.request(turn("t" + name, "p" + name, true), start, onPlaced);
        BOOST_TEST(engineOf == (i % 2 == 0 ? "a" : "b"));
    }
}

BOOST_AUTO_TEST_CASE(an_affinity_ends_with_its_engine_or_its_lifetime)
{
    TurnPlacement follower(7);
    follower.recordLastEngine("p", "gone", start);
    follower.setServers({engine("a")}, start);
    std::string engineOf = "-";
    const auto onPlaced = [&](const std::string &engineId) { engineOf = engineId; };
    follower.request(turn("t0", "p", true), start, onPlaced);
    BOOST_TEST(engineOf == "a");
    follower.recordLastEngine("q", "b", start);
    follower.clear();
    follower.tick(start + std::chrono::seconds(60));
    follower.request(turn("t1", "q", true), start + std::chrono::seconds(60), onPlaced);
    BOOST_TEST(engineOf.empty());
}

BOOST_AUTO_TEST_CASE(a_repeated_request_keeps_its_slot_or_queue_position)
{
    PlacementFixture fixture({engine("a"), engine("b")});
    const std::string first = fixture.place(turn("t", "p"));
    BOOST_TEST(fixture.place(turn("t", "p")) == first);
    BOOST_TEST(fixture.placement.turnsAt("a") + fixture.placement.turnsAt("b") == 1U);
    fixture.fill(2);
    BOOST_TEST(fixture.place(turn("w1", "w1")) == "-");
    BOOST_TEST(fixture.place(turn("w2", "w2")) == "-");
    BOOST_TEST(fixture.place(turn("w1", "w1")) == "-");
    const std::size_t waiting = fixture.placement.waiting();
    fixture.placement.release("w2", start);
    BOOST_TEST(fixture.placement.waiting() == waiting - 1);
}

// Guards against slots that stay reserved after their entry has failed.
BOOST_AUTO_TEST_CASE(slots_of_failed_entries_are_reclaimed)
{
    PlacementFixture fixture({engine("a")});
    fixture.fill(1);
    BOOST_TEST(fixture.place(turn("new", "new")) == "-");
    fixture.placement.tick(start + Milliseconds(4600));
    BOOST_TEST(fixture.engineOf["new"] == "a");
    BOOST_TEST(fixture.placement.turnsAt("a") == 1U);
}

BOOST_AUTO_TEST_CASE(a_turn_at_the_maximum_queue_time_goes_to_an_engines_own_queue)
{
    PlacementFixture fixture({engine("a")});
    fixture.fill(1);
    BOOST_TEST(fixture.place(turn("new", "new")) == "-");
    fixture.placement.tick(start + Milliseconds(1000));
    BOOST_TEST(fixture.engineOf["new"] == "-");
    fixture.placement.tick(start + Milliseconds(1300));
    BOOST_TEST(fixture.engineOf["new"] == "a");
}

BOOST_AUTO_TEST_CASE(draining_or_unreachable_engines_receive_no_new_turns)
{
    PlacementFixture fixture({engine("a"), engine("b")});
    const std::string home = fixture.place(turn("t0", "p"));
    const std::string other = home == "a" ? "b" : "a";
    fixture.placement.setServers({engine(home, true), engine(other)}, start);
    BOOST_TEST(fixture.place(turn("t1", "p", true)) == other);
    fixture.placement.setServers({engine(home), engine(other)}, start);
    fixture.placement.avoid(other, start + Milliseconds(1000));
    BOOST_TEST(fixture.place(turn("t2", "p", true)) == home);
    // If every engine is being avoided, any of them may be used.
    fixture.placement.setServers({engine(other)}, start);
    BOOST_TEST(fixture.place(turn("t3", "q")) == other);
}

BOOST_AUTO_TEST_CASE(waiting_turns_are_answered_when_the_leader_is_deposed)
{
    PlacementFixture fixture({engine("a")});
    fixture.fill(1);
    BOOST_TEST(fixture.place(turn("new", "new")) == "-");
    fixture.placement.clear();
    BOOST_TEST(fixture.engineOf["new"].empty());
    // Without an engine list, the entry chooses the engine.
    BOOST_TEST(fixture.place(turn("next", "next")).empty());
}

// Guards against a cost of each turn that grows with the number of engines.
BOOST_AUTO_TEST_CASE(placing_a_turn_examines_few_engines_however_many_there_are)
{
    constexpr int turns = 4000;
    const std::vector<std::string> domains {"apapa", "tincan", "onne", "lekki", "ikorodu"};
    // An engine with room and one without in each failure domain.
    const std::uint64_t maxExamined = 2 * domains.size();
    for (const int engines : {5'000, 10'000}) {
        std::vector<BackendServer> servers;
        for (int i = 0; i < engines; ++i) {
            servers.push_back(engine("e" + std::to_string(i)));
            servers.back().failureDomain = domains[static_cast<std::size_t>(i) % domains.size()];
        }
        PlacementFixture fixture(servers);
        for (int i = 0; i < turns; ++i) {
            // Each program has four turns.
            fixture.place(turn("t" + std::to_string(i), "p" + std::to_string(i / 4), i % 4 != 0));
        }
        BOOST_TEST(fixture.placement.waiting() == 0U);
        BOOST_TEST(fixture.placement.examinedEngines() <= turns * maxExamined);
    }
}

BOOST_AUTO_TEST_CASE(engines_are_added_changed_and_removed_by_name)
{
    PlacementFixture fixture({engine("a"), engine("b")});
    fixture.placement.updateServers({engine("a", true), engine("c")}, {"b"}, start);
    for (int i = 0; i < 4; ++i) {
        const std::string name = std::to_string(i);
        BOOST_TEST(fixture.place(turn(name, name)) == "c");
    }
    fixture.placement.updateServers({engine("a")}, {"unknown"}, start);
    BOOST_TEST(fixture.place(turn("next", "next")) == "a");
}

// Guards against keeping the turns and affinities of an engine that restarted under the same id.
BOOST_AUTO_TEST_CASE(a_restarted_engine_under_the_same_id_starts_empty)
{
    BackendServer first = engine("e1");
    first.incarnation = 1000;
    BackendServer other = engine("e2");
    other.incarnation = 1000;
    PlacementFixture fixture({first, other});
    fixture.fill(2);
    BOOST_TEST(fixture.placement.turnsAt("e1") == slots + 1);
    first.incarnation = 2000;
    fixture.placement.setServers({first, other}, start);
    BOOST_TEST(fixture.placement.turnsAt("e1") == 0U);
    BOOST_TEST(fixture.place(turn("t", "new")) == "e1");
    // Turns of the previous incarnation must not release slots of the new one.
    for (int i = 0; i < 10; ++i) {
        fixture.placement.release("fill" + std::to_string(i), start);
    }
    BOOST_TEST(fixture.placement.turnsAt("e1") == 1U);
}

// Guards against a resumed stream that is placed on an engine of another software version, by load, affinity or need.
BOOST_AUTO_TEST_CASE(a_turn_that_requires_a_software_version_is_placed_only_on_its_engines)
{
    BackendServer oldEngine = engine("old");
    oldEngine.softwareVersion = "v1";
    BackendServer newEngine = engine("new");
    newEngine.softwareVersion = "v2";
    PlacementFixture fixture({oldEngine, newEngine});
    SlotRequest resumed = turn("t0", "p", true);
    resumed.softwareVersion = "v2";
    BOOST_TEST(fixture.place(resumed) == "new");
    // The program's affinity is at the new version now.
    resumed.softwareVersion = "v1";
    for (int i = 1; i <= 20; ++i) {
        resumed.turn = "t" + std::to_string(i);
        BOOST_TEST(fixture.place(resumed) == "old");
    }
    fixture.placement.avoid("old", start + std::chrono::seconds(1));
    resumed.turn = "avoided";
    BOOST_TEST(fixture.place(resumed) == "old");
    BOOST_TEST(fixture.placement.mayHaveVersion("engines", "v1"));
    BOOST_TEST(!fixture.placement.mayHaveVersion("engines", "v3"));
    // Nothing is known of another service.
    BOOST_TEST(fixture.placement.mayHaveVersion("others", "v3"));
}

// Guards against an index that keeps an engine under the version that it had before its restart.
BOOST_AUTO_TEST_CASE(an_engine_that_restarts_with_another_software_version_is_no_longer_chosen_for_the_former_one)
{
    BackendServer restarted = engine("a");
    restarted.softwareVersion = "v1";
    PlacementFixture fixture({restarted, engine("b")});
    BOOST_TEST((fixture.placement.versionOf("a") == ServerVersion {"engines", "v1"}));
    restarted.softwareVersion = "v2";
    fixture.placement.updateServers({restarted}, {}, start);
    BOOST_TEST(!fixture.placement.mayHaveVersion("engines", "v1"));
    BOOST_TEST((fixture.placement.versionOf("a") == ServerVersion {"engines", "v2"}));
    fixture.placement.updateServers({}, {"a"}, start);
    BOOST_TEST(!fixture.placement.mayHaveVersion("engines", "v2"));
    BOOST_TEST(!fixture.placement.versionOf("a").isKnown());
}

BOOST_AUTO_TEST_SUITE_END()
