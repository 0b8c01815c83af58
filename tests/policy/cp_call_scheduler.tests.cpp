#include <cardamompost/policy/cp_call_scheduler.hpp>
#include <cardamompost/policy/cp_policy_registry.hpp>
#include <cardamompost/policy/cp_replica_health.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

const TimePoint start {std::chrono::hours(1)};

CallScheduler makeScheduler(const std::string &queue, const std::string &placement, CallSchedulerOptions options = {})
{
    PolicyRegistry &registry = PolicyRegistry::instance();
    return {options, registry.makeQueuePolicy(queue), registry.makePlacementPolicy(placement)};
}

ReplicaView replica(const std::string &name, int slots)
{
    return {name, "domain", slots};
}

WaitingCall call(std::uint64_t id, int rank, Milliseconds arrived = Milliseconds(0))
{
    WaitingCall waiting;
    waiting.id = id;
    waiting.rank = rank;
    waiting.arrived = start + arrived;
    waiting.deadline = start + std::chrono::hours(1);
    return waiting;
}

std::vector<std::uint64_t> idsOf(const std::vector<PlacementDecision> &decisions)
{
    std::vector<std::uint64_t> ids;
    for (const PlacementDecision &decision : decisions) {
        ids.push_back(decision.call);
    }
    return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_scheduler)

BOOST_AUTO_TEST_CASE(policies_register_themselves)
{
    BOOST_TEST(PolicyRegistry::instance().queuePolicyNames().size() == 3U);
    BOOST_TEST(PolicyRegistry::instance().placementPolicyNames().size() == 4U);
    BOOST_TEST(PolicyRegistry::instance().makeQueuePolicy("no-such") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_higher_rank_is_placed_before_earlier_calls)
{
    CallScheduler scheduler = makeScheduler("least-attained-service", "least-load");
    scheduler.setReplicas({replica("r", 1)});
    BOOST_TEST(scheduler.add(call(1, 5)).has_value());
    BOOST_TEST(scheduler.add(call(2, 0, Milliseconds(10))).has_value());
    BOOST_TEST(idsOf(scheduler.place(start + Milliseconds(20))) == std::vector<std::uint64_t> {2},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(within_a_rank_the_least_served_program_is_placed_first)
{
    CallScheduler scheduler = makeScheduler("least-attained-service", "least-load");
    scheduler.setReplicas({replica("r", 1)});
    WaitingCall longProgram = call(1, 0);
    longProgram.attainedTokens = 50'000;
    BOOST_TEST(scheduler.add(longProgram).has_value());
    BOOST_TEST(scheduler.add(call(2, 0, Milliseconds(100))).has_value());
    BOOST_TEST(idsOf(scheduler.place(start + Milliseconds(200))) == std::vector<std::uint64_t> {2},
               boost::test_tools::per_element());
}

// Guards against starvation of the lowest rank under a steady stream of higher-ranked calls.
BOOST_AUTO_TEST_CASE(the_lowest_rank_does_not_starve)
{
    CallScheduler scheduler = makeScheduler("least-attained-service", "least-load");
    scheduler.setReplicas({replica("r", 1)});
    BOOST_TEST(scheduler.add(call(1, 9)).has_value());
    std::uint64_t next = 2;
    int placedBefore = 0;
    bool isPlaced = false;
    for (int step = 0; step < 100 && !isPlaced; ++step) {
        const TimePoint now = start + Milliseconds(6000 + step * 10);
        BOOST_TEST(scheduler.add(call(next++, 0, Milliseconds(6000 + step * 10))).has_value());
        for (const PlacementDecision &decision : scheduler.place(now)) {
            isPlaced = isPlaced || decision.call == 1;
            placedBefore += isPlaced ? 0 : 1;
            scheduler.onFinished("r");
        }
    }
    BOOST_TEST(isPlaced);
    BOOST_TEST(placedBefore <= 21);
}

// Guards against rejecting a high-ranked call while low-ranked calls stay queued.
BOOST_AUTO_TEST_CASE(the_lowest_rank_is_shed_first)
{
    CallSchedulerOptions options;
    options.queueLimit = 3;
    CallScheduler scheduler = makeScheduler("least-attained-service", "least-load", options);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        BOOST_TEST(scheduler.add(call(id, 5, Milliseconds(static_cast<std::int64_t>(id)))).has_value());
    }
    BOOST_TEST(scheduler.add(call(4, 0)).has_value());
    const std::vector<DroppedCall> dropped = scheduler.takeDropped(start);
    BOOST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST(dropped[0].call == 3U);
    BOOST_TEST((dropped[0].error.effectiveOutcome() == Outcome::NotRun));
    BOOST_TEST(dropped[0].error.retryAfter.has_value());
    const Result<void> refused = scheduler.add(call(5, 5, Milliseconds(10)));
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST((refused.error().kind == ErrorKind::Overloaded));
}

// Guards against shedding programs that have most of their work done.
BOOST_AUTO_TEST_CASE(load_shedding_keeps_the_program_with_more_completed_work)
{
    CallSchedulerOptions options;
    options.queueLimit = 2;
    CallScheduler scheduler = makeScheduler("least-attained-service", "least-load", options);
    BOOST_TEST(scheduler.add(call(1, 1)).has_value());
    BOOST_TEST(scheduler.add(call(2, 1, Milliseconds(1))).has_value());
    WaitingCall withMoreTokens = call(3, 1, Milliseconds(2));
    withMoreTokens.attainedTokens = 5000;
    BOOST_TEST(!scheduler.refusalFor(withMoreTokens).has_value());
    BOOST_TEST(scheduler.add(withMoreTokens).has_value());
    const std::vector<DroppedCall> dropped = scheduler.takeDropped(start);
    BOOST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST(dropped[0].call == 2U);
    BOOST_TEST(scheduler.add(call(4, 1, Milliseconds(3))).has_error());
}

BOOST_AUTO_TEST_CASE(a_call_is_dropped_when_its_deadline_passes)
{
    CallScheduler scheduler = makeScheduler("least-attained-service", "least-load");
    WaitingCall late = call(1, 0);
    late.deadline = start + Milliseconds(50);
    BOOST_TEST(scheduler.add(late).has_value());
    BOOST_TEST(scheduler.takeDropped(start + Milliseconds(49)).empty());
    const std::vector<DroppedCall> dropped = scheduler.takeDropped(start + Milliseconds(50));
    BOOST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST((dropped[0].error.kind == ErrorKind::DeadlineExceeded));
    BOOST_TEST((dropped[0].error.effectiveOutcome() == Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(a_call_waits_for_its_cached_prompt_no_longer_than_the_prefill_it_saves)
{
    CallScheduler scheduler = makeScheduler("least-attained-service", "warm-detour");
    scheduler.setSpeed({0.1, 10.0});
    scheduler.setReplicas({replica("warm", 1), replica("cold", 1)});
    WaitingCall blocker = call(1, 0);
    blocker.warmReplica = "warm";
    blocker.warmTokens = 100'000;
    BOOST_TEST(scheduler.add(blocker).has_value());
    BOOST_TEST(scheduler.place(start).front().replica == "warm");
    WaitingCall waiting = call(2, 0);
    waiting.warmReplica = "warm";
    waiting.warmTokens = 5000;
    BOOST_TEST(scheduler.add(waiting).has_value());
    BOOST_TEST(scheduler.place(start + Milliseconds(400)).empty());
    const std::vector<PlacementDecision> placed = scheduler.place(start + Milliseconds(600));
    BOOST_REQUIRE(placed.size() == 1U);
    BOOST_TEST(placed[0].replica == "cold");
}

BOOST_AUTO_TEST_CASE(a_closed_replica_receives_no_new_calls)
{
    CallScheduler scheduler = makeScheduler("least-attained-service", "warm-detour");
    ReplicaView closed = replica("warm", 8);
    closed.isClosed = true;
    scheduler.setReplicas({closed, replica("cold", 8)});
    WaitingCall waiting = call(1, 0);
    waiting.warmReplica = "warm";
    waiting.warmTokens = 100'000;
    BOOST_TEST(scheduler.add(waiting).has_value());
    BOOST_TEST(scheduler.place(start).front().replica == "cold");
}

BOOST_AUTO_TEST_CASE(a_replica_never_exceeds_its_slots)
{
    CallScheduler scheduler = makeScheduler("first-come-first-served", "random");
    scheduler.setReplicas({replica("a", 2), replica("b", 1)});
    for (std::uint64_t id = 1; id <= 5; ++id) {
        BOOST_TEST(scheduler.add(call(id, 0)).has_value());
    }
    BOOST_TEST(scheduler.place(start).size() == 3U);
    BOOST_TEST(scheduler.waiting() == 2U);
    scheduler.onFinished("a");
    BOOST_TEST(scheduler.place(start).size() == 1U);
}

// Guards against ejecting all replicas when the local network is the cause of the failures.
BOOST_AUTO_TEST_CASE(at_most_half_of_the_replicas_are_ejected)
{
    ReplicaHealth health;
    const std::vector<std::string> names {"a", "b", "c", "d"};
    for (const std::string &name : names) {
        for (int i = 0; i < 3; ++i) {
            health.onFailure(name, start);
        }
    }
    const auto isEjectedNow
        = [&](const std::string &name) { return health.isEjected(name, names.size(), start + Milliseconds(1)); };
    BOOST_TEST(std::count_if(names.begin(), names.end(), isEjectedNow) == 2);
}

BOOST_AUTO_TEST_CASE(a_replica_ramps_up_after_an_ejection)
{
    ReplicaHealth health;
    for (int i = 0; i < 3; ++i) {
        health.onFailure("a", start);
    }
    BOOST_TEST(health.isEjected("a", 4, start + Milliseconds(500)));
    BOOST_TEST(!health.isEjected("a", 4, start + Milliseconds(1000)));
    BOOST_TEST(health.usableSlotShare("a", start + Milliseconds(1000)) < 0.3);
    BOOST_TEST(health.usableSlotShare("a", start + Milliseconds(20'000)) == 1.0);
    BOOST_TEST(health.usableSlotShare("b", start) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
