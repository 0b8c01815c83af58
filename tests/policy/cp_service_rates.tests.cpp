#include <cardamompost/policy/cp_service_rates.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace cardamompost;

namespace
{

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr Milliseconds betweenSamples {20};

//! Engines of one service whose turns are sampled in virtual time.
class RatesFixture
{
public:
    //! A turn of 100 streamed tokens; its time is that of a usual engine with as many turns, times the slowness.
    void sample(const std::string &engine, double slowness, unsigned turns = 4, std::uint64_t incarnation = 0)
    {
        constexpr double stepTime = 2.5;
        constexpr double stepTimePerTurn = 0.06;
        constexpr std::uint32_t tokens = 100;
        const double spread = noise == 0 ? 1 : std::exp(std::normal_distribution<double>(0, noise)(random));
        const double time = tokens * (stepTime + stepTimePerTurn * turns) * slowness * spread;
        rates.record({"engines", engine, incarnation, turns, tokens, Milliseconds(std::llround(time))}, now);
        now += betweenSamples;
    }
    [[nodiscard]] double slowness(const std::string &engine, std::uint64_t incarnation = 0) const
    {
        return rates.slowness("engines", engine, incarnation, now);
    }

    ServiceRates rates;
    TimePoint now = start;
    double noise = 0;
    std::mt19937_64 random {7};
};

} // namespace

BOOST_AUTO_TEST_SUITE(service_rates)

// Guards against noise that is taken for a difference between engines of equal speed.
BOOST_AUTO_TEST_CASE(engines_of_equal_speed_have_a_slowness_of_exactly_1_while_their_loads_change)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        RatesFixture fixture;
        fixture.random.seed(seed);
        fixture.noise = 0.2;
        const std::vector<std::string> engines {"a", "b", "c", "d", "e"};
        std::vector<unsigned> turns(engines.size(), 1);
        for (int i = 0; i < 3000; ++i) {
            const std::size_t engine = fixture.random() % engines.size();
            const bool isMore = fixture.random() % 2 == 0;
            turns[engine] = std::clamp(isMore ? turns[engine] + 1 : turns[engine] - 1, 1U, 16U);
            fixture.sample(engines[engine], 1, turns[engine]);
            for (const std::string &id : engines) {
                BOOST_REQUIRE_EQUAL(fixture.slowness(id), 1.0);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(slow_engines_are_found_within_a_few_turns)
{
    constexpr int turnsOfEach = 20;
    RatesFixture fixture;
    fixture.noise = 0.1;
    for (int i = 0; i < turnsOfEach; ++i) {
        fixture.sample("slow", 1.7);
        fixture.sample("fast1", 0.7);
        fixture.sample("fast2", 0.7);
    }
    BOOST_TEST(fixture.slowness("fast1") == 1.0);
    BOOST_TEST(fixture.slowness("fast2") == 1.0);
    BOOST_TEST(fixture.slowness("slow") > 1.9);
    BOOST_TEST(fixture.slowness("slow") < 2.8);
}

// Guards against a usual time that is learned from slow engines only, where they alone run few turns.
BOOST_AUTO_TEST_CASE(a_slow_engine_is_found_if_it_alone_runs_few_turns_from_then_on)
{
    RatesFixture fixture;
    for (int i = 0; i < 20; ++i) {
        for (const char *engine : {"a", "b", "slow"}) {
            fixture.sample(engine, std::string(engine) == "slow" ? 2.5 : 1, 8);
        }
    }
    for (int i = 0; i < 400; ++i) {
        fixture.sample("a", 1, 8);
        fixture.sample("b", 1, 8);
        fixture.sample("slow", 2.5, 1);
    }
    BOOST_TEST(fixture.slowness("slow") > 2);
    BOOST_TEST(fixture.slowness("a") == 1.0);
}

// Guards against a single answer that moves the programs of an engine.
BOOST_AUTO_TEST_CASE(one_bad_sample_does_not_change_the_slowness)
{
    for (const int samplesBefore : {0, 3, 30}) {
        RatesFixture fixture;
        for (int i = 0; i < 30; ++i) {
            fixture.sample("a", 1);
            fixture.sample("b", 1);
            if (i < samplesBefore) {
                fixture.sample("c", 1);
            }
        }
        fixture.sample("c", 1000);
        BOOST_TEST(fixture.slowness("c") == 1.0);
        BOOST_TEST(fixture.slowness("a") == 1.0);
    }
}

// Guards against an engine that gets no turns for ever because it was slow once.
BOOST_AUTO_TEST_CASE(the_slowness_returns_to_1_little_by_little_as_samples_grow_old)
{
    RatesFixture fixture;
    for (int i = 0; i < 100; ++i) {
        fixture.sample("a", 1);
        fixture.sample("b", 1);
        fixture.sample("slow", 10);
    }
    double before = fixture.slowness("slow");
    BOOST_TEST(before > 8);
    for (int i = 0; i < 400; ++i) {
        fixture.now += Milliseconds(100);
        const double after = fixture.slowness("slow");
        BOOST_REQUIRE(after <= before);
        BOOST_REQUIRE(after >= before * 0.95);
        before = after;
    }
    BOOST_TEST(before == 1.0);
}

BOOST_AUTO_TEST_CASE(a_restarted_engine_counts_as_usual)
{
    RatesFixture fixture;
    for (int i = 0; i < 50; ++i) {
        fixture.sample("a", 1, 4, 1000);
        fixture.sample("b", 1, 4, 1000);
        fixture.sample("c", 5, 4, 1000);
    }
    BOOST_TEST(fixture.slowness("c", 1000) > 4);
    BOOST_TEST(fixture.slowness("c", 2000) == 1.0);
    fixture.sample("c", 1, 4, 2000);
    // Turns of the former incarnation that end late.
    for (int i = 0; i < 20; ++i) {
        fixture.sample("c", 5, 4, 1000);
    }
    BOOST_TEST(fixture.slowness("c", 2000) == 1.0);
}

BOOST_AUTO_TEST_CASE(an_engine_that_is_slow_only_for_a_while_is_usual_again_afterwards)
{
    RatesFixture fixture;
    const auto run = [&](int turns, double slowness) {
        for (int i = 0; i < turns; ++i) {
            fixture.sample("a", 1);
            fixture.sample("b", 1);
            fixture.sample("c", slowness);
        }
    };
    run(50, 1);
    BOOST_TEST(fixture.slowness("c") == 1.0);
    run(12, 10);
    BOOST_TEST(fixture.slowness("c") > 1.5);
    run(60, 1);
    BOOST_TEST(fixture.slowness("c") == 1.0);
}

// Guards against a general slowdown that is put down to single engines.
BOOST_AUTO_TEST_CASE(a_service_that_slows_down_as_a_whole_has_no_slow_engines)
{
    RatesFixture fixture;
    for (int i = 0; i < 400; ++i) {
        for (const char *engine : {"a", "b", "c", "d"}) {
            fixture.sample(engine, i < 200 ? 1 : 4);
            BOOST_REQUIRE_EQUAL(fixture.slowness(engine), 1.0);
        }
    }
}

// Guards against memory that grows with every engine that ever ran.
BOOST_AUTO_TEST_CASE(engines_that_left_are_forgotten)
{
    RatesFixture fixture;
    for (int i = 0; i < 1000; ++i) {
        fixture.sample("engine" + std::to_string(i), 1);
        fixture.now += std::chrono::seconds(2);
    }
    BOOST_TEST(fixture.rates.engineCount() < 70U);
}

BOOST_AUTO_TEST_CASE(the_usual_time_for_a_token_is_known_by_the_number_of_turns)
{
    RatesFixture fixture;
    BOOST_TEST(fixture.rates.millisecondsPerToken("engines", 4) == 0.0);
    for (int i = 0; i < 200; ++i) {
        fixture.sample("a", 1, 1);
        fixture.sample("b", 1, 16);
    }
    BOOST_TEST(fixture.rates.millisecondsPerToken("engines", 1) == 2.56, boost::test_tools::tolerance(0.15));
    BOOST_TEST(fixture.rates.millisecondsPerToken("engines", 20) == 3.46, boost::test_tools::tolerance(0.15));
}

BOOST_AUTO_TEST_SUITE_END()
