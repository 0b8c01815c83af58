#include <cardamompost/policy/cp_turn_placement.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr unsigned slots = 2;

BackendServer engine(std::string id, std::string service, std::string softwareVersion = {})
{
    BackendServer server {std::move(id), std::move(service), {"127.0.0.1", 1}, "apapa", slots};
    server.softwareVersion = std::move(softwareVersion);
    return server;
}

SlotRequest turn(std::string id, std::string program, std::string service)
{
    return {std::move(id), std::move(program), std::move(service), "apapa", 0, true, false, Milliseconds(4000)};
}

//! A placement that records the engine of each turn; "-" while it waits.
class ServicesFixture
{
public:
    std::string place(SlotRequest request)
    {
        const std::string id = request.turn;
        engineOf[id] = "-";
        placement.request(std::move(request), start, [this, id](const std::string &name) { engineOf[id] = name; });
        return engineOf[id];
    }
    //! Takes all slots of a service's only engine, and has two more turns of new programs wait.
    void fill(const std::string &service)
    {
        for (int i = 0; i < 10 && placement.waiting() < 2; ++i) {
            SlotRequest request = turn("fill" + std::to_string(i), "f" + std::to_string(i), service);
            request.isInProgress = false;
            place(request);
            last = request.turn;
        }
        BOOST_REQUIRE(placement.waiting() == 2U);
    }

    TurnPlacement placement {7};
    std::map<std::string, std::string> engineOf;
    std::string last;
};

} // namespace

BOOST_AUTO_TEST_SUITE(placement_services)

// Guards against a turn that runs at another service because its own has no listed engine.
BOOST_AUTO_TEST_CASE(a_turn_follows_its_programs_affinity_only_to_engines_of_its_service)
{
    ServicesFixture fixture;
    fixture.placement.setServers({engine("plan", "plans"), engine("check", "checks")}, start);
    BOOST_TEST(fixture.place(turn("t1", "p", "plans")) == "plan");
    BOOST_TEST(fixture.place(turn("t2", "p", "checks")) == "check");
    fixture.placement.recordLastEngine("p", "plan", start);
    fixture.placement.updateServers({}, {"check"}, start);
    BOOST_TEST(fixture.place(turn("t3", "p", "checks")).empty());
    BOOST_TEST(fixture.placement.turnsAt("plan") == 1U);
    // The list may also become known as empty.
    fixture.placement.setServers({}, start);
    BOOST_TEST(fixture.place(turn("t4", "p", "plans")).empty());
}

// Guards against a turn of a service without engines that is placed at the engine of its program's last turn.
BOOST_AUTO_TEST_CASE(a_turn_of_a_service_without_engines_gets_none)
{
    ServicesFixture fixture;
    BOOST_TEST(fixture.place(turn("t0", "p", {})).empty());
    fixture.placement.setServers({engine("plan", "plans")}, start);
    BOOST_TEST(fixture.place(turn("t1", "p", "plans")) == "plan");
    BOOST_TEST(fixture.place(turn("t2", "p", {})).empty());
    BOOST_TEST(fixture.placement.turnsAt("plan") == 1U);
    // It is not counted as a turn of the engine's service once the list has been lost, either.
    fixture.placement.clear();
    BOOST_TEST(fixture.place(turn("t3", "p", {})).empty());
}

// Guards against turns that wait for the maximum queue time although no engine of their service is left.
BOOST_AUTO_TEST_CASE(waiting_turns_are_answered_when_the_last_engine_of_their_service_leaves)
{
    ServicesFixture fixture;
    fixture.placement.setServers({engine("plan", "plans"), engine("check", "checks")}, start);
    fixture.fill("checks");
    BackendServer leaving = engine("check", "checks");
    leaving.isLeaving = true;
    fixture.placement.updateServers({leaving}, {}, start);
    BOOST_TEST(fixture.placement.waiting() == 0U);
    BOOST_TEST(fixture.engineOf[fixture.last].empty());
}

// Guards against a resumed stream that waits although no engine of its software version is left.
BOOST_AUTO_TEST_CASE(waiting_turns_are_answered_when_the_last_engine_of_their_software_version_leaves)
{
    ServicesFixture fixture;
    fixture.placement.setServers({engine("old", "plans", "v1")}, start);
    fixture.fill("plans");
    SlotRequest resumed = turn("resumed", "r", "plans");
    resumed.softwareVersion = "v1";
    resumed.isLate = true;
    BOOST_TEST(fixture.place(resumed) == "-");
    fixture.placement.updateServers({engine("new", "plans", "v2")}, {"old"}, start);
    BOOST_TEST(fixture.engineOf["resumed"].empty());
    BOOST_TEST(fixture.engineOf[fixture.last] == "new");
}

// Guards against naming an engine that has left, or runs another service, because the turn was placed there before.
BOOST_AUTO_TEST_CASE(a_repeated_request_is_not_sent_to_an_engine_that_no_longer_runs_its_service)
{
    ServicesFixture fixture;
    fixture.placement.setServers({engine("a", "plans"), engine("b", "checks")}, start);
    BOOST_TEST(fixture.place(turn("t1", "p", "plans")) == "a");
    // The id of a turn comes from its caller, who may use it for two routes.
    BOOST_TEST(fixture.place(turn("t1", "p", "checks")).empty());
    fixture.placement.updateServers({engine("c", "plans")}, {"a"}, start);
    BOOST_TEST(fixture.place(turn("t1", "p", "plans")).empty());
    // The slot is still the turn's, which may be running there.
    BOOST_TEST(fixture.placement.holdsSlot("t1", "a"));
}

// Guards against slots of an engine that are held for turns of a service that it does not run.
BOOST_AUTO_TEST_CASE(a_slot_given_before_the_list_was_known_ends_when_the_engine_turns_out_to_run_another_service)
{
    ServicesFixture fixture;
    fixture.placement.recordLastEngine("p", "plan", start);
    fixture.placement.recordLastEngine("q", "check", start);
    BOOST_TEST(fixture.place(turn("t1", "p", "checks")) == "plan");
    BOOST_TEST(fixture.place(turn("t2", "q", "checks")) == "check");
    fixture.placement.setServers({engine("plan", "plans"), engine("check", "checks")}, start);
    BOOST_TEST(fixture.placement.turnsAt("plan") == 0U);
    BOOST_TEST(!fixture.placement.holdsSlot("t1", "plan"));
    BOOST_TEST(fixture.placement.turnsAt("check") == 1U);
    fixture.placement.release("t1", start);
    fixture.placement.release("t2", start);
    BOOST_TEST(fixture.placement.turnsAt("check") == 0U);
}

// Guards against an engine that keeps turns and affinities of the service that it ran before.
BOOST_AUTO_TEST_CASE(an_engine_that_changes_its_service_gets_only_turns_of_the_new_one)
{
    ServicesFixture fixture;
    fixture.placement.setServers({engine("a", "plans"), engine("b", "plans")}, start);
    const std::string home = fixture.place(turn("t1", "p", "plans"));
    const std::string other = home == "a" ? "b" : "a";
    fixture.placement.updateServers({engine(home, "checks")}, {}, start);
    BOOST_TEST(fixture.placement.turnsAt(home) == 0U);
    BOOST_TEST(fixture.place(turn("t2", "p", "plans")) == other);
    BOOST_TEST(fixture.place(turn("t3", "q", "checks")) == home);
    // The end of the former service's turn frees no slot of the new one.
    fixture.placement.release("t1", start);
    BOOST_TEST(fixture.placement.turnsAt(home) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
