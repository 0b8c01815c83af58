#include "support/cp_platform_system.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

// Longer than an entry waits for one reply of the ledger, shorter than a leader without its quorum leads.
constexpr int slowSyncMs = 450;

double commits(System &system)
{
    double most = 0;
    for (const GatewaySettings &ledger : system.ledgers) {
        most = std::max(most, system.counted(ledger.directory, "cardamompost_ledger_commits_total"));
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_overload)

// Guards a slow ledger against entries that take its leader for lost, search for it, and have their turns begun twice.
BOOST_AUTO_TEST_CASE(a_leader_that_is_slow_is_neither_searched_for_nor_asked_twice)
{
    System system;
    system.putDocument(3);
    const Address entry = system.addEntry(system.seeds());
    BOOST_TEST(system.turn(entry, "first", {}).status == 200U);
    const std::size_t lostBefore = system.logged("ledger.lost");
    const double commitsBefore = commits(system);
    for (const auto &disk : system.disks) {
        disk->syncDelayMs = slowSyncMs;
    }
    constexpr int turns = 8;
    std::vector<std::future<HttpResponse>> answers;
    for (int i = 0; i < turns; ++i) {
        answers.push_back(system.beginTurn(entry, "t" + std::to_string(i), {}, 100'000));
    }
    for (auto &answer : answers) {
        BOOST_TEST(answer.get().status == 200U);
    }
    for (const auto &disk : system.disks) {
        disk->syncDelayMs = 0;
    }
    BOOST_TEST(system.logged("ledger.lost") == lostBefore);
    // A begin and an end of each, and what the members tell each other meanwhile.
    constexpr double others = 4;
    BOOST_TEST(commits(system) - commitsBefore <= 2 * turns + others);
}

BOOST_AUTO_TEST_SUITE_END()
