#include <cardamompost/policy/cp_admission_control.hpp>
#include <cardamompost/policy/cp_turn_placement.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cardamompost;

namespace
{

const TimePoint start = TimePoint() + std::chrono::hours(1);
const std::string service = "engines";
constexpr TurnClass newTurn {false, TurnGroup::New, 1};
constexpr Milliseconds measuringTime {8000};
const TimePoint measured = start + measuringTime;

//! Events at a rate until `measured`.
template<typename Event>
void repeat(double perSecond, Event event)
{
    const int count = static_cast<int>(perSecond * measuringTime.count() / 1000);
    for (int i = 0; i < count; ++i) {
        event(start + measuringTime * i / count);
    }
}

AdmissionRequest request(std::size_t turnsAhead, std::optional<Milliseconds> programTimeLeft = std::nullopt)
{
    return {service, newTurn, turnsAhead, false, programTimeLeft};
}

//! A control that has measured so many releases a second.
AdmissionControl controlWithRate(double perSecond)
{
    AdmissionControl control(7);
    repeat(perSecond, [&](TimePoint now) { control.onReleased(service, now); });
    return control;
}

constexpr unsigned slots = 4;
constexpr unsigned room = slots + 1;
constexpr Milliseconds timeLeft {4000};

std::vector<BackendServer> oneEngine()
{
    BackendServer engine;
    engine.id = "e1";
    engine.service = service;
    engine.failureDomain = "apapa";
    engine.slots = slots;
    return std::vector<BackendServer>(1, engine);
}

SlotRequest turnOf(const std::string &account, const std::string &turn, bool isInProgress = false)
{
    SlotRequest slot {turn, account + "-" + turn, service, "apapa", 0, isInProgress, false, timeLeft};
    slot.account = account;
    slot.programTimeLeft = std::chrono::seconds(60);
    return slot;
}

//! One full engine, at which ten turns a second of the given account begin and end.
class BusyEngine
{
public:
    explicit BusyEngine(const std::string &account = "large")
        : account_(account)
        , placement(7, {false, true, true, false})
    {
        placement.setServers(oneEngine(), start);
        for (; next_ < room; ++next_) {
            place(turnOf(account_, std::to_string(next_)), start);
        }
        repeat(10, [&](TimePoint now) {
            placement.release(std::to_string(next_ - room), now);
            place(turnOf(account_, std::to_string(next_++)), now);
        });
    }
    bool place(SlotRequest slot, TimePoint now = measured)
    {
        bool isPlaced = false;
        placement.request(std::move(slot), now, [&isPlaced](const std::string &) { isPlaced = true; });
        return isPlaced;
    }
    //! Lets turns wait; their callbacks are never run.
    void enqueue(const std::string &account, unsigned turns, bool areInProgress = false)
    {
        for (unsigned i = 0; i < turns; ++i) {
            placement.request(turnOf(account, account + "-waits" + std::to_string(i), areInProgress), measured,
                              [](const std::string &) {});
        }
    }
    bool isRefused(const SlotRequest &slot, TimePoint now = measured)
    {
        return placement.refuse(slot, now).has_value();
    }

private:
    std::string account_;
    unsigned next_ = 0;

public:
    TurnPlacement placement;
};

} // namespace

BOOST_AUTO_TEST_SUITE(admission_control)

// Guards against a wait that is predicted far from the rate at which slots become free.
BOOST_AUTO_TEST_CASE(the_wait_is_predicted_from_the_measured_rate)
{
    const AdmissionControl control = controlWithRate(100);
    const std::optional<Milliseconds> wait = control.expectedWait(service, newTurn, 49, measured);
    BOOST_REQUIRE(wait);
    BOOST_TEST(wait->count() >= 450);
    BOOST_TEST(wait->count() <= 550);
    BOOST_TEST(!control.expectedWait("other", newTurn, 0, measured));
}

// Guards against new programs that count on slots which turns in progress, or more urgent ones, take before them.
BOOST_AUTO_TEST_CASE(slots_that_classes_before_take_are_not_counted)
{
    AdmissionControl control(7);
    repeat(100, [&](TimePoint now) { control.onReleased(service, now); });
    repeat(60, [&](TimePoint now) { control.onPlaced(service, {false, TurnGroup::InProgress, 2}, now); });
    repeat(20, [&](TimePoint now) { control.onPlaced(service, {false, TurnGroup::New, 0}, now); });
    repeat(20, [&](TimePoint now) { control.onPlaced(service, newTurn, now); });
    const auto waitOf = [&](const TurnClass &turnClass) {
        return control.expectedWait(service, turnClass, 9, measured).value().count();
    };
    BOOST_TEST(waitOf({false, TurnGroup::New, 0}) <= 300);
    BOOST_TEST(waitOf(newTurn) >= 400);
    BOOST_TEST(waitOf(newTurn) <= 650);
    // Nothing is left for accounts over their share.
    BOOST_TEST(waitOf({true, TurnGroup::New, 0}) >= 5000);
}

BOOST_AUTO_TEST_CASE(everybody_is_admitted_while_the_rate_is_unknown)
{
    AdmissionControl control(7);
    BOOST_TEST(!control.refuse(request(100'000), start));
    control.onReleased(service, start);
    BOOST_TEST(!control.refuse(request(100'000), start + Milliseconds(500)));
    BOOST_TEST(control.refuse(request(100'000), start + Milliseconds(1500)).has_value());
    control.clear();
    BOOST_TEST(!control.refuse(request(100'000), start + Milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(a_program_is_refused_when_it_would_wait_longer_than_its_slack_or_the_maximum_queue_time)
{
    AdmissionControl control = controlWithRate(100);
    BOOST_TEST(!control.refuse(request(80), measured));
    const std::optional<AdmissionRefusal> tooLong = control.refuse(request(160), measured);
    BOOST_REQUIRE(tooLong);
    BOOST_TEST((tooLong->reason == AdmissionReason::QueueTooLong));
    BOOST_TEST(tooLong->turnsAhead == 160U);
    BOOST_TEST(tooLong->slack.count() == maxQueueTime.count());
    // 800 ms of waiting are too many of 2 s, but not of 6 s.
    BOOST_TEST(!control.refuse(request(80, Milliseconds(6000)), measured));
    const std::optional<AdmissionRefusal> tooLate = control.refuse(request(80, Milliseconds(2000)), measured);
    BOOST_REQUIRE(tooLate);
    BOOST_TEST((tooLate->reason == AdmissionReason::TooLate));
    AdmissionRequest withRoom = request(160);
    withRoom.hasRoom = true;
    BOOST_TEST(!control.refuse(withRoom, measured));
}

// Guards against refused programs that all come back at once, at once, or never.
BOOST_AUTO_TEST_CASE(the_times_to_come_back_follow_the_queue_and_are_spread)
{
    AdmissionControl control = controlWithRate(100);
    std::set<std::int64_t> times;
    for (int i = 0; i < 100; ++i) {
        const std::int64_t time = control.refuse(request(320), measured).value().retryAfter.count();
        // 3.2 s until it would have its slot, less the 1.2 s that it may wait.
        BOOST_TEST(time >= 1800);
        BOOST_TEST(time <= 4800);
        times.insert(time);
    }
    BOOST_TEST(times.size() >= 50U);
    BOOST_TEST(*times.rbegin() - *times.begin() >= 1000);
    for (const std::size_t turnsAhead : {122U, 1'000'000U}) {
        const std::int64_t time = control.refuse(request(turnsAhead), measured).value().retryAfter.count();
        BOOST_TEST(time >= 300);
        BOOST_TEST(time <= 10'000);
    }
}

// Guards against new programs that are placed after the maximum queue time on engines that are full already.
BOOST_AUTO_TEST_CASE(a_new_program_is_refused_before_it_waits_and_leaves_nothing_behind)
{
    BusyEngine engine;
    BOOST_TEST(!engine.isRefused(turnOf("large", "first")));
    engine.enqueue("large", 30);
    const std::optional<AdmissionRefusal> refusal = engine.placement.refuse(turnOf("large", "hopeless"), measured);
    BOOST_REQUIRE(refusal);
    BOOST_TEST(refusal->turnsAhead >= 30U);
    BOOST_TEST(refusal->heldSlots == room);
    BOOST_TEST(refusal->expectedWait.count() > maxQueueTime.count());
    BOOST_TEST(engine.placement.waiting() == 30U);
    // As soon as there is room, it is admitted.
    engine.placement.clear();
    BOOST_TEST(!engine.isRefused(turnOf("large", "hopeless")));
}

BOOST_AUTO_TEST_CASE(turns_in_progress_and_those_that_wait_already_are_not_refused)
{
    BusyEngine engine;
    engine.enqueue("small", 1);
    engine.enqueue("large", 30, true);
    BOOST_TEST(engine.placement.waiting() == 31U);
    BOOST_TEST(!engine.isRefused(turnOf("large", "next", true)));
    BOOST_TEST(!engine.isRefused(turnOf("large", "large-waits29")));
    BOOST_TEST(engine.isRefused(turnOf("large", "other")));
}

// Guards against programs that are refused because of the queue of an account over its share.
BOOST_AUTO_TEST_CASE(an_account_within_its_share_is_judged_by_its_own_order)
{
    BusyEngine engine;
    engine.enqueue("large", 200);
    BOOST_TEST(engine.isRefused(turnOf("large", "hopeless")));
    BOOST_TEST(!engine.isRefused(turnOf("small", "new")));
    // Its own turns count.
    engine.enqueue("small", 40);
    BOOST_TEST(engine.isRefused(turnOf("small", "new")));
    BOOST_TEST(!engine.isRefused(turnOf("third", "new")));
}

// Guards against a new leader that refuses programs by the rates of its predecessor, or by none.
BOOST_AUTO_TEST_CASE(a_new_leader_admits_until_it_has_measured)
{
    BusyEngine engine;
    engine.placement.clear();
    engine.placement.setServers(oneEngine(), measured);
    for (unsigned i = 0; i < room; ++i) {
        BOOST_TEST(engine.place(turnOf("large", "again" + std::to_string(i))));
    }
    engine.enqueue("large", 200);
    BOOST_TEST(!engine.isRefused(turnOf("large", "new")));
}

BOOST_AUTO_TEST_SUITE_END()
