#include <cardamompost/policy/cp_expected_completion.hpp>
#include <cardamompost/policy/cp_turn_placement.hpp>

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

using namespace cardamompost;

namespace
{

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr unsigned slots = 6;
constexpr PlacementOptions withRates {.usesServiceRates = true};

std::vector<BackendServer> engines(int count)
{
    std::vector<BackendServer> servers;
    for (int i = 0; i < count; ++i) {
        BackendServer server;
        server.id = "e" + std::to_string(i);
        server.service = "engines";
        server.failureDomain = "domain" + std::to_string(i % 3);
        server.slots = slots;
        servers.push_back(std::move(server));
    }
    return servers;
}

SlotRequest turn(const std::string &id, const std::string &program, bool isInProgress = false)
{
    return {id, program, "engines", "domain0", 0, isInProgress, false, Milliseconds(4000)};
}

ServiceSample sampleOf(const std::string &engine, double slowness)
{
    return {"engines", engine, 0, 1, 100, Milliseconds(std::llround(256 * slowness))};
}

//! Engines e0 and up, of which e0 is slow.
class SlowEngineFixture
{
public:
    explicit SlowEngineFixture(int count, double slowness, PlacementOptions options = withRates)
        : placement(7, options)
    {
        placement.setServers(engines(count), start);
        for (int i = 0; i < 60; ++i) {
            for (int e = 0; e < count; ++e) {
                placement.recordSample(sampleOf("e" + std::to_string(e), e == 0 ? slowness : 1), start);
            }
        }
    }
    std::string place(const SlotRequest &request)
    {
        std::string chosen = "-";
        placement.request(request, start, [&](const std::string &engine) { chosen = engine; });
        return chosen;
    }

    TurnPlacement placement;
};

} // namespace

BOOST_AUTO_TEST_SUITE(placement_rates)

// Guards against programs that move or engines that are preferred though nothing tells them apart.
BOOST_AUTO_TEST_CASE(with_equal_engines_every_decision_is_as_without_rates)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        std::mt19937_64 random(seed);
        std::vector<TurnPlacement> placements;
        placements.emplace_back(seed, PlacementOptions {});
        placements.emplace_back(seed, withRates);
        std::vector<std::vector<std::pair<std::string, std::string>>> decisions(placements.size());
        for (TurnPlacement &placement : placements) {
            placement.setServers(engines(9), start);
        }
        std::vector<std::string> turns;
        TimePoint now = start;
        for (int i = 0; i < 3000; ++i) {
            now += Milliseconds(5);
            const std::string id = "t" + std::to_string(i);
            const bool isInProgress = random() % 4 != 0;
            SlotRequest request = turn(id, "p" + std::to_string(i / 40 * 10 + random() % 10), isInProgress);
            request.promptTokens = 100;
            request.outputTokens = 100;
            const std::size_t released = turns.size() < 40 ? turns.size() : random() % turns.size();
            const double noise = std::exp(std::normal_distribution<double>(0, 0.15)(random));
            for (std::size_t p = 0; p < placements.size(); ++p) {
                placements[p].request(request, now,
                                      [&, p, id](const std::string &engine) { decisions[p].emplace_back(id, engine); });
                placements[p].recordSample(sampleOf("e" + std::to_string(i % 9), noise), now);
                placements[p].updateRates(now);
                placements[p].tick(now);
                if (released < turns.size()) {
                    placements[p].release(turns[released], now);
                }
            }
            if (released < turns.size()) {
                turns.erase(turns.begin() + static_cast<std::ptrdiff_t>(released));
            }
            turns.push_back(id);
        }
        BOOST_TEST(decisions[0].size() > 2900U);
        BOOST_TEST((decisions[0] == decisions[1]));
    }
}

BOOST_AUTO_TEST_CASE(the_equivalent_load_is_the_load_itself_at_usual_speed_and_grows_with_load_and_slowness)
{
    for (const double load : {0.0, 0.25, 3.0, 5.75, 6.0, 17.5}) {
        BOOST_TEST(equivalentLoad(load, slots, 1) == load);
        BOOST_TEST(equivalentLoad(load, slots, 1 + 1e-9) == load, boost::test_tools::tolerance(1e-6));
        BOOST_TEST(equivalentLoad(load, slots, 0.5) < load);
        BOOST_TEST(equivalentLoad(load, slots, 2) > load);
        BOOST_TEST(equivalentLoad(load + 0.25, slots, 2) > equivalentLoad(load, slots, 2));
        BOOST_TEST(equivalentLoad(load, slots, 3) > equivalentLoad(load, slots, 2));
    }
}

// Guards against counting a turn on a slow engine like one on a fast engine.
BOOST_AUTO_TEST_CASE(new_programs_go_to_a_slow_engine_only_while_the_others_are_busy)
{
    SlowEngineFixture fixture(3, 2.5);
    for (unsigned i = 0; i < 2 * slots; ++i) {
        const std::string name = std::to_string(i);
        BOOST_TEST(fixture.place(turn(name, name)) != "e0");
    }
    unsigned atSlow = 0;
    for (unsigned i = 0; i < slots; ++i) {
        const std::string name = "more" + std::to_string(i);
        atSlow += fixture.place(turn(name, name)) == "e0" ? 1 : 0;
    }
    BOOST_TEST(atSlow > 0U);
    BOOST_TEST(atSlow < slots);
}

// Guards against a queue of programs at an engine that can't complete any of them in time.
BOOST_AUTO_TEST_CASE(a_very_slow_engine_takes_few_new_programs_and_the_others_as_many_as_before)
{
    SlowEngineFixture fixture(2, 10);
    for (int i = 0; i < 40; ++i) {
        const std::string name = std::to_string(i);
        fixture.place(turn(name, name));
    }
    BOOST_TEST(fixture.placement.turnsAt("e0") >= 1U);
    BOOST_TEST(fixture.placement.turnsAt("e0") <= 3U);
    BOOST_TEST(fixture.placement.turnsAt("e1") == 7U);
}

// Guards against programs that live on a slow engine and are late in every turn.
BOOST_AUTO_TEST_CASE(a_program_leaves_an_engine_that_became_slow_if_that_is_worth_computing_its_prompt_again)
{
    SlowEngineFixture fixture(3, 2.5);
    for (const char *program : {"short", "long", "unknown"}) {
        fixture.placement.recordLastEngine(program, "e0", start);
    }
    SlotRequest shortPrompt = turn("t1", "short", true);
    shortPrompt.promptTokens = 2000;
    shortPrompt.outputTokens = 100;
    BOOST_TEST(fixture.place(shortPrompt) != "e0");
    SlotRequest longPrompt = turn("t2", "long", true);
    longPrompt.promptTokens = 120'000;
    longPrompt.outputTokens = 100;
    BOOST_TEST(fixture.place(longPrompt) == "e0");
    BOOST_TEST(fixture.place(turn("t3", "unknown", true)) != "e0");
}

// Guards against all programs of a slow engine that move at once, into the queues of the others.
BOOST_AUTO_TEST_CASE(programs_leave_a_slow_engine_only_while_another_one_has_free_slots)
{
    SlowEngineFixture fixture(3, 2.5);
    unsigned stayed = 0;
    for (int i = 0; i < 30; ++i) {
        const std::string program = "p" + std::to_string(i);
        fixture.placement.recordLastEngine(program, "e0", start);
        SlotRequest request = turn("t" + std::to_string(i), program, true);
        request.promptTokens = 1000;
        request.outputTokens = 100;
        stayed += fixture.place(request) == "e0" ? 1 : 0;
    }
    BOOST_TEST(fixture.placement.turnsAt("e1") <= slots);
    BOOST_TEST(fixture.placement.turnsAt("e2") <= slots);
    BOOST_TEST(stayed == fixture.placement.turnsAt("e0"));
    BOOST_TEST(stayed > 0U);
}

// Guards against programs that flee from a usual engine to an idle slow one.
BOOST_AUTO_TEST_CASE(an_idle_slow_engine_draws_no_programs_from_a_usual_one)
{
    SlowEngineFixture fixture(2, 10);
    fixture.placement.recordLastEngine("p", "e1", start);
    for (unsigned i = 0; i < 4 * slots; ++i) {
        BOOST_TEST(fixture.place(turn("t" + std::to_string(i), "p", true)) == "e1");
    }
}

// Guards against a new leader that sends programs back to slow engines.
BOOST_AUTO_TEST_CASE(a_new_leader_knows_the_rates_of_the_samples_that_it_recorded_as_a_follower)
{
    TurnPlacement follower(7, withRates);
    for (int i = 0; i < 60; ++i) {
        for (const char *engine : {"e0", "e1", "e2"}) {
            follower.recordSample(sampleOf(engine, std::string(engine) == "e0" ? 4 : 1), start);
        }
    }
    follower.clear();
    follower.setServers(engines(3), start);
    BOOST_TEST(follower.slownessOf("e0") > 3);
    BOOST_TEST(follower.slownessOf("e1") == 1.0);
    BOOST_TEST(follower.unusualEngines() == 1U);
}

BOOST_AUTO_TEST_CASE(an_engine_that_becomes_slow_or_usual_is_reported_once)
{
    SlowEngineFixture fixture(3, 4);
    const std::vector<EngineRateChange> slow = fixture.placement.updateRates(start);
    BOOST_TEST_REQUIRE(slow.size() == 1U);
    BOOST_TEST(slow.front().engine == "e0");
    BOOST_TEST(slow.front().slowness > 3);
    unsigned reports = 0;
    for (int i = 1; i <= 60; ++i) {
        const auto changes = fixture.placement.updateRates(start + std::chrono::seconds(i));
        reports += changes.empty() ? 0 : 1;
        BOOST_TEST((changes.empty() || (changes.size() == 1 && changes.front().slowness == 1)));
    }
    BOOST_TEST(reports == 1U);
    BOOST_TEST(fixture.placement.slownessOf("e0") == 1.0);
}

// Guards against a restarted engine that is treated by the speed of its former incarnation.
BOOST_AUTO_TEST_CASE(a_restarted_engine_is_placed_on_as_a_usual_one)
{
    TurnPlacement placement(7, withRates);
    std::vector<BackendServer> servers = engines(3);
    for (BackendServer &server : servers) {
        server.incarnation = 1000;
    }
    placement.setServers(servers, start);
    for (int i = 0; i < 60; ++i) {
        for (const BackendServer &server : servers) {
            ServiceSample sample = sampleOf(server.id, server.id == "e0" ? 4 : 1);
            sample.incarnation = 1000;
            placement.recordSample(sample, start);
        }
    }
    BOOST_TEST(placement.slownessOf("e0") > 3);
    servers[0].incarnation = 2000;
    placement.updateServers({servers[0]}, {}, start);
    BOOST_TEST(placement.slownessOf("e0") == 1.0);
}

// Guards against a cost of each turn that grows with the number of engines.
BOOST_AUTO_TEST_CASE(placing_a_turn_by_rates_examines_few_engines_however_many_there_are)
{
    constexpr int turns = 4000;
    for (const int count : {500, 5000}) {
        TurnPlacement placement(7, withRates);
        placement.setServers(engines(count), start);
        for (int i = 0; i < 30 * count; ++i) {
            placement.recordSample(sampleOf("e" + std::to_string(i % count), i % count % 3 == 0 ? 2.5 : 1), start);
        }
        BOOST_TEST(placement.unusualEngines() > 0U);
        for (int i = 0; i < turns; ++i) {
            placement.request(turn("t" + std::to_string(i), "p" + std::to_string(i / 4), i % 4 != 0), start,
                              [](const std::string &) {});
        }
        // An engine with room and one without in each of three failure domains.
        BOOST_TEST(placement.examinedEngines() <= turns * 6U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
