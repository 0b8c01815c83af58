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

//! Equal accounts that together send as many programs a second as given, of two kinds.
FleetLoad loadOf(double programsPerSecond, int accounts)
{
    ProgramKind review;
    review.name = "review";
    review.rank = 1;
    review.arrivalsPerSecond = programsPerSecond * 0.78;
    review.turns = 4;
    review.firstTurnTokens = 654;
    review.laterTurnTokens = 654;
    review.fanOutChance = 0.05;
    ProgramKind draft;
    draft.name = "draft";
    draft.rank = 0;
    draft.arrivalsPerSecond = programsPerSecond * 0.22;
    draft.turns = 11;
    draft.firstTurnTokens = 327;
    draft.laterTurnTokens = 327;
    draft.pause = 20;
    draft.fanOutChance = 0.15;
    draft.targetDurationFactor = 1.5;
    FleetLoad load;
    load.kinds = {review, draft};
    for (ProgramKind &kind : load.kinds) {
        for (int i = 0; i < accounts; ++i) {
            kind.accounts.push_back("account" + std::to_string(i));
        }
    }
    load.arrivalPeriod = 12'000;
    return load;
}

//! Programs a second that the default fleet finishes, most of them in time.
constexpr double capacity = 225;
constexpr int accountCount = 20;

//! An account besides the others, which sends as many programs a second as given.
FleetLoad withLargeAccount(double programsPerSecond)
{
    FleetLoad load = loadOf(80, accountCount);
    ProgramKind large = load.kinds.front();
    large.name = "large";
    // As urgent as the most urgent ones.
    large.rank = 0;
    large.accounts = {"large"};
    large.arrivalsPerSecond = programsPerSecond;
    load.kinds.push_back(large);
    return load;
}

FleetLoad withShares(FleetLoad load)
{
    load.placement.sharesByAccount = true;
    load.placement.refusesHopelessPrograms = true;
    return load;
}

//! Results of all seeds by kind.
std::map<std::string, KindResult> play(const FleetLoad &load)
{
    std::map<std::string, KindResult> sum;
    for (const std::uint64_t seed : {1, 2}) {
        EngineFleet fleet(load, seed);
        for (const auto &[kind, result] : fleet.run()) {
            KindResult &all = sum[kind];
            all.programs += result.programs;
            all.inTime += result.inTime;
            all.refused += result.refused;
            all.dropped += result.dropped;
            all.firstWaits += result.firstWaits;
        }
    }
    return sum;
}

KindResult total(const std::map<std::string, KindResult> &results)
{
    KindResult all;
    for (const auto &[kind, result] : results) {
        all.programs += result.programs;
        all.inTime += result.inTime;
        all.refused += result.refused;
        all.dropped += result.dropped;
    }
    return all;
}

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

// Guards against one account that sends far more than the others and makes their programs late.
BOOST_AUTO_TEST_CASE(other_accounts_are_served_in_time_beside_one_at_ten_times_its_share)
{
    const FleetLoad load = withLargeAccount(400);
    const auto alone = play(loadOf(80, accountCount));
    const auto before = play(load);
    const auto shared = play(withShares(load));
    for (const char *kind : {"review", "draft"}) {
        BOOST_TEST_CONTEXT(kind << ": in time alone " << alone.at(kind).inTimeShare() << ", beside the large account "
                                << before.at(kind).inTimeShare() << ", with shares " << shared.at(kind).inTimeShare()
                                << ", refused " << shared.at(kind).refused << ", waits "
                                << shared.at(kind).firstWaits / shared.at(kind).programs << " ms")
        {
            BOOST_TEST(shared.at(kind).inTimeShare() >= alone.at(kind).inTimeShare() - 0.25);
            BOOST_TEST(shared.at(kind).inTimeShare() >= before.at(kind).inTimeShare() + 0.4);
            BOOST_TEST(shared.at(kind).firstWaits / shared.at(kind).programs <= 1);
            BOOST_TEST(shared.at(kind).refused <= shared.at(kind).programs / 50);
            BOOST_TEST(shared.at(kind).dropped == 0U);
        }
    }
    BOOST_TEST(shared.at("large").inTime >= before.at("large").inTime);
}

// Guards against overload that makes all programs late, and against programs that are admitted and then given up.
BOOST_AUTO_TEST_CASE(under_overload_as_many_programs_are_in_time_as_the_engines_can_serve)
{
    for (const double factor : {1.5, 3.0}) {
        const FleetLoad load = loadOf(factor * capacity, accountCount);
        const KindResult inArrivalOrder = total(play(load));
        const KindResult admitted = total(play(withShares(load)));
        BOOST_TEST_CONTEXT(factor << " times the capacity: in time in arrival order " << inArrivalOrder.inTimeShare()
                                  << ", with refusals " << admitted.inTimeShare() << ", refused " << admitted.refused
                                  << " of " << admitted.programs)
        {
            BOOST_TEST(admitted.inTimeShare() >= 1.5 * inArrivalOrder.inTimeShare());
            BOOST_TEST(admitted.inTimeShare() >= 0.65 / factor);
            BOOST_TEST(admitted.dropped == 0U);
            BOOST_TEST(admitted.refused > 0U);
        }
    }
}

// Guards against refusals where all can be served.
BOOST_AUTO_TEST_CASE(nobody_is_refused_while_the_engines_have_room)
{
    const FleetLoad load = loadOf(0.7 * capacity, accountCount);
    const KindResult before = total(play(load));
    const KindResult shared = total(play(withShares(load)));
    BOOST_TEST(shared.refused == 0U);
    BOOST_TEST(shared.inTimeShare() >= before.inTimeShare() - 0.02);
}

// Guards against a new leader that makes the other accounts late, since it knows neither slots nor rates.
BOOST_AUTO_TEST_CASE(a_leader_change_amid_the_load_of_a_large_account_costs_the_others_little)
{
    FleetLoad load = withShares(withLargeAccount(400));
    const auto without = play(load);
    load.leaderLoss = LeaderLoss {6000};
    const auto with = play(load);
    for (const char *kind : {"review", "draft"}) {
        BOOST_TEST_CONTEXT(kind << ": in time without " << without.at(kind).inTimeShare() << ", with the change "
                                << with.at(kind).inTimeShare())
        {
            BOOST_TEST(with.at(kind).inTimeShare() >= without.at(kind).inTimeShare() - 0.15);
            BOOST_TEST(with.at(kind).dropped == 0U);
        }
    }
}

// Guards against other decisions than without shares where there is only one account.
BOOST_AUTO_TEST_CASE(with_one_account_every_decision_is_as_without_shares)
{
    for (const std::uint64_t seed : {1, 2}) {
        FleetLoad load = loadOf(1.5 * capacity, 1);
        load.leaderLoss = LeaderLoss {4000};
        load.arrivalPeriod = 6000;
        EngineFleet plain(load, seed);
        load.placement.sharesByAccount = true;
        EngineFleet shared(load, seed);
        plain.run();
        shared.run();
        BOOST_TEST(plain.decisions().size() > 5000U);
        BOOST_TEST((plain.decisions() == shared.decisions()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
