#include <cardamompost/policy/cp_cross_domain_cost.hpp>
#include <cardamompost/policy/cp_turn_placement.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <random>

using namespace cardamompost;

namespace
{

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr unsigned slots = 6;
constexpr PlacementOptions nearEngines = [] {
    PlacementOptions options;
    options.prefersNearEngines = true;
    return options;
}();

//! Turns of distinct programs on the engines of failure domains.
class Fleet
{
public:
    explicit Fleet(PlacementOptions options, const std::map<std::string, std::size_t> &enginesByDomain)
        : placement_(7, options)
    {
        std::vector<BackendServer> servers;
        for (const auto &[domain, count] : enginesByDomain) {
            for (std::size_t i = 0; i < count; ++i) {
                BackendServer server;
                server.id = domain + "-" + std::to_string(i);
                server.service = "engines";
                server.failureDomain = domain;
                server.slots = slots;
                servers.push_back(std::move(server));
            }
        }
        placement_.setServers(servers, start);
    }
    //! Returns the failure domain of the engine; empty if the turn waits.
    std::string place(const std::string &domain, TimePoint now = start)
    {
        const std::string name = std::to_string(next_++);
        SlotRequest request;
        request.turn = name;
        request.program = name;
        request.service = "engines";
        request.failureDomain = domain;
        request.timeLeft = Milliseconds(60'000);
        // A turn that waits is placed after this function has returned.
        const auto placedIn = std::make_shared<std::string>();
        placement_.request(std::move(request), now,
                           [placedIn](const std::string &engine) { *placedIn = engine.substr(0, engine.find('-')); });
        lastTurn_ = name;
        return *placedIn;
    }
    //! Places turns from the domain until one leaves it or waits; returns how many stayed.
    std::size_t placeUntilOneLeaves(const std::string &domain)
    {
        std::size_t stayed = 0;
        while (place(domain) == domain) {
            ++stayed;
        }
        return stayed;
    }
    void release(const std::string &turn, TimePoint now)
    {
        placement_.release(turn, now);
    }
    [[nodiscard]] const std::string &lastTurn() const
    {
        return lastTurn_;
    }
    [[nodiscard]] std::size_t waiting() const
    {
        return placement_.waiting();
    }

private:
    TurnPlacement placement_;
    std::size_t next_ = 0;
    std::string lastTurn_;
};

//! Results of two domains whose demand crosses.
struct CrossingWaves {
    std::size_t placed = 0;
    std::size_t remote = 0;
    std::size_t waited = 0;
    //! Turns sent from "a" to "b" in the same second as others from "b" to "a".
    std::size_t exchanged = 0;
};

//! Programs of one turn arrive in domains "a" and "b" in waves of opposite phase.
CrossingWaves playCrossingWaves(PlacementOptions options)
{
    constexpr std::size_t engines = 12;
    constexpr double turnSeconds = 0.5;
    constexpr double meanTurnsAtOnce = engines * slots * 0.55;
    constexpr double periodSeconds = 20;
    constexpr double stepSeconds = 0.01;
    constexpr int steps = 6000;
    constexpr int stepsPerSecond = 100;
    Fleet fleet(options, {{"a", engines}, {"b", engines}});
    std::mt19937_64 random(3);
    std::queue<std::pair<int, std::string>> running;
    CrossingWaves result;
    std::map<std::string, std::size_t> leftThisSecond;
    for (int step = 0; step < steps; ++step) {
        const TimePoint now = start + Milliseconds(10) * step;
        for (; !running.empty() && running.front().first <= step; running.pop()) {
            fleet.release(running.front().second, now);
        }
        if (step % stepsPerSecond == 0) {
            result.exchanged += 2 * std::min(leftThisSecond["a"], leftThisSecond["b"]);
            leftThisSecond.clear();
        }
        for (const auto &[domain, phase] : {std::pair("a", 0.0), std::pair("b", 0.5)}) {
            const double wave = 1 + 0.5 * std::sin(2 * M_PI * (step * stepSeconds / periodSeconds + phase));
            const double rate = meanTurnsAtOnce / turnSeconds * wave * stepSeconds;
            for (int arrivals = std::poisson_distribution<int>(rate)(random); arrivals > 0; --arrivals) {
                const std::string placedIn = fleet.place(domain, now);
                ++result.placed;
                result.waited += placedIn.empty() ? 1 : 0;
                const bool isRemote = !placedIn.empty() && placedIn != domain;
                result.remote += isRemote ? 1 : 0;
                leftThisSecond[domain] += isRemote ? 1 : 0;
                running.emplace(step + static_cast<int>(turnSeconds / stepSeconds), fleet.lastTurn());
            }
        }
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(near_engines)

BOOST_AUTO_TEST_CASE(the_cost_of_another_domain_grows_with_the_engines_of_the_own_one)
{
    BOOST_TEST(crossDomainCost(0) == minCrossDomainCost);
    BOOST_TEST(crossDomainCost(2) == minCrossDomainCost);
    BOOST_TEST(crossDomainCost(12) == 2);
    BOOST_TEST(crossDomainCost(5700) == maxCrossDomainCost);
    for (std::size_t engines = 1; engines < 30; ++engines) {
        BOOST_TEST(crossDomainCost(engines) >= crossDomainCost(engines - 1));
    }
}

// Guards against programs that run far from their entry, and against a small domain that is filled while others idle.
BOOST_AUTO_TEST_CASE(turns_leave_a_domain_with_few_engines_sooner_than_one_with_many)
{
    Fleet few(nearEngines, {{"near", 2}, {"far", 12}});
    const std::size_t stayedWithFew = few.placeUntilOneLeaves("near");
    BOOST_TEST(stayedWithFew == 2U);
    Fleet many(nearEngines, {{"near", 12}, {"far", 12}});
    const std::size_t stayedWithMany = many.placeUntilOneLeaves("near");
    BOOST_TEST(stayedWithMany >= 12U);
    Fleet asBefore({}, {{"near", 12}, {"far", 12}});
    BOOST_TEST(asBefore.placeUntilOneLeaves("near") < stayedWithMany);
    Fleet fewAsBefore({}, {{"near", 2}, {"far", 12}});
    BOOST_TEST(fewAsBefore.placeUntilOneLeaves("near") == stayedWithFew);
}

// Guards against new programs that wait for their own domain while others have room.
BOOST_AUTO_TEST_CASE(turns_leave_a_full_domain_and_wait_only_once_all_are_full)
{
    Fleet fleet(nearEngines, {{"near", 12}, {"far", 12}});
    // Up to the load limit of new programs, seven turns at each engine.
    constexpr std::size_t room = 7 * 24;
    std::map<std::string, std::size_t> placed;
    for (std::size_t i = 0; i < room; ++i) {
        ++placed[fleet.place("near")];
    }
    BOOST_TEST(placed["near"] == room / 2);
    BOOST_TEST(placed["far"] == room / 2);
    BOOST_TEST(fleet.waiting() == 0U);
    BOOST_TEST(fleet.place("near") == "");
    BOOST_TEST(fleet.waiting() == 1U);
}

BOOST_AUTO_TEST_CASE(turns_from_a_domain_without_engines_are_placed_in_others)
{
    Fleet fleet(nearEngines, {{"far", 3}});
    BOOST_TEST(fleet.place("near") == "far");
}

// Guards against turns that are exchanged between domains where their demand crosses, and against waits meanwhile.
BOOST_AUTO_TEST_CASE(crossing_waves_of_demand_exchange_few_turns_between_domains)
{
    const CrossingWaves before = playCrossingWaves({});
    const CrossingWaves preferred = playCrossingWaves(nearEngines);
    BOOST_TEST_MESSAGE("placed " << preferred.placed << ", remote " << before.remote << " -> " << preferred.remote
                                 << ", exchanged " << before.exchanged << " -> " << preferred.exchanged << ", waited "
                                 << before.waited << " -> " << preferred.waited);
    BOOST_TEST(preferred.placed == before.placed);
    BOOST_TEST(preferred.remote > 0U);
    BOOST_TEST(preferred.remote < before.remote);
    BOOST_TEST(preferred.exchanged * 4 <= before.exchanged);
    BOOST_TEST(preferred.waited == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
