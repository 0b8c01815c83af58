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

BOOST_AUTO_TEST_SUITE_END()
