#include "support/cp_engine_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr std::uint64_t seedCount = 3;

//! Long high-ranked drafts and short reviews on the default fleet.
FleetLoad mixedLoad(double programsPerSecond)
{
    ProgramKind review;
    review.name = "review";
    review.rank = 1;
    review.value = 3;
    review.arrivalsPerSecond = programsPerSecond * 0.78;
    review.turns = 4;
    review.firstTurnTokens = 654;
    review.laterTurnTokens = 654;
    review.pause = 60;
    review.fanOutChance = 0.05;
    review.targetDurationFactor = 1.4;
    ProgramKind draft;
    draft.name = "draft";
    draft.rank = 0;
    draft.value = 10;
    draft.arrivalsPerSecond = programsPerSecond * 0.22;
    draft.turns = 11;
    draft.firstTurnTokens = 327;
    draft.laterTurnTokens = 327;
    draft.pause = 20;
    draft.fanOutChance = 0.15;
    draft.targetDurationFactor = 1.5;
    FleetLoad load;
    load.kinds = {review, draft};
    return load;
}

//! Overlapping bursts that saturate the engines for some seconds.
FleetLoad overlappingBursts()
{
    FleetLoad load = mixedLoad(150);
    load.bursts = {{4400, 10'400, 1.5, {}}, {5400, 8700, 1.8, "review"}};
    return load;
}

//! Share of the total program value that was earned.
double earnedShareOf(const FleetLoad &load)
{
    double possibleValue = 0;
    double earned = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        EngineFleet fleet(load, seed);
        for (const auto &[kind, result] : fleet.run()) {
            possibleValue += result.possibleValue;
            earned += result.earnedValue;
        }
    }
    return earned / possibleValue;
}

//! Programs per second that a small fleet of engines of different speed can serve; it completes 293 turns a second.
constexpr double smallFleetCapacity = 35;

//! Nine engines, by default each third one 2.4 times as slow as the others.
FleetLoad smallFleet(double programsPerSecond, std::vector<double> slowness = {0.7, 0.7, 1.7})
{
    FleetLoad load = mixedLoad(programsPerSecond);
    load.engines = 9;
    load.engine.slots = 16;
    load.engine.memoryTokens = 123'000;
    load.slowness = std::move(slowness);
    ProgramKind &review = load.kinds.front();
    review.arrivalsPerSecond = programsPerSecond * 0.84;
    review.turns = 3;
    review.targetDurationFactor = 1.6;
    ProgramKind &draft = load.kinds.back();
    draft.arrivalsPerSecond = programsPerSecond * 0.16;
    draft.turns = 9;
    draft.fanOutChance = 0.25;
    draft.targetDurationFactor = 1.6;
    for (ProgramKind &kind : load.kinds) {
        kind.events = 7;
        kind.pause = 200;
    }
    return load;
}

FleetLoad byRates(FleetLoad load)
{
    load.placement.usesServiceRates = true;
    return load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(heavy_load)

BOOST_AUTO_TEST_CASE(almost_all_programs_finish_in_time_under_normal_load)
{
    BOOST_TEST(earnedShareOf(mixedLoad(78)) >= 0.98);
}

// Guards against starvation of either kind while a burst saturates the engines.
BOOST_AUTO_TEST_CASE(no_program_kind_starves_in_a_burst_that_saturates_the_engines)
{
    const FleetLoad load = overlappingBursts();
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        EngineFleet fleet(load, seed);
        for (const auto &[kind, result] : fleet.run()) {
            BOOST_TEST(result.earnedShare() >= 0.8);
        }
    }
}

// Guards against a leader change that loses cache affinity, after which programs recompute their prompts all at once.
BOOST_AUTO_TEST_CASE(a_leader_change_during_a_burst_costs_little_value)
{
    FleetLoad load = overlappingBursts();
    const double withoutChange = earnedShareOf(load);
    load.leaderLoss = LeaderLoss {9000};
    BOOST_TEST(earnedShareOf(load) >= withoutChange - 0.025);
}

// Guards against computing all prompts again while a release replaces the engines.
BOOST_AUTO_TEST_CASE(prompts_of_programs_that_leave_their_engines_in_a_release_are_fetched)
{
    constexpr double minFetchedShare = 0.9;
    FleetLoad load = mixedLoad(78);
    load.release = FleetRelease {5000};
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        load.placement.namesPromptSources = false;
        EngineFleet computing(load, seed);
        computing.run();
        BOOST_TEST(computing.fetchedTokens() == 0);
        load.placement.namesPromptSources = true;
        EngineFleet fetching(load, seed);
        fetching.run();
        BOOST_TEST_MESSAGE("seed " << seed << ": computed again " << computing.recomputedTokens() << " and "
                                   << fetching.recomputedTokens() << ", fetched " << fetching.fetchedTokens());
        const double moved = fetching.fetchedTokens() + fetching.recomputedTokens();
        BOOST_TEST(fetching.fetchedTokens() >= minFetchedShare * moved);
    }
}

// Guards against giving slow engines as many turns as fast ones.
BOOST_AUTO_TEST_CASE(with_engines_of_different_speed_rates_bring_more_programs_in_time_than_the_least_turns)
{
    const FleetLoad moderate = smallFleet(0.6 * smallFleetCapacity);
    const FleetLoad heavy = smallFleet(0.9 * smallFleetCapacity);
    BOOST_TEST(earnedShareOf(byRates(moderate)) >= 0.98);
    BOOST_TEST(earnedShareOf(byRates(moderate)) >= earnedShareOf(moderate) + 0.08);
    BOOST_TEST(earnedShareOf(byRates(heavy)) >= earnedShareOf(heavy) + 0.05);
}

BOOST_AUTO_TEST_CASE(with_engines_of_equal_speed_rates_change_nothing)
{
    const FleetLoad load = smallFleet(20, {1});
    BOOST_TEST(earnedShareOf(byRates(load)) == earnedShareOf(load));
}

// Guards against programs that stay at an engine that slows down tenfold under their turns.
BOOST_AUTO_TEST_CASE(an_engine_that_slows_tenfold_during_long_turns_costs_less_with_rates)
{
    FleetLoad load = smallFleet(5, {1});
    load.slowdowns = {{2, 12'000, 10}};
    for (ProgramKind &kind : load.kinds) {
        kind.tokensPerEvent = 100;
    }
    BOOST_TEST(earnedShareOf(byRates(load)) >= earnedShareOf(load) + 0.03);
}

// Guards against a new leader that has to learn the rates again.
BOOST_AUTO_TEST_CASE(a_leader_change_keeps_the_rates)
{
    FleetLoad load = byRates(smallFleet(0.7 * smallFleetCapacity));
    const double withoutChange = earnedShareOf(load);
    load.leaderLoss = LeaderLoss {12'000};
    BOOST_TEST(earnedShareOf(load) >= withoutChange - 0.02);
    EngineFleet fleet(load, 1);
    fleet.run();
    BOOST_TEST(fleet.unusualEnginesAtTakeover() >= 2U);
}

BOOST_AUTO_TEST_SUITE_END()
