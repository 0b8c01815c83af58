#include "cp_bench.hpp"

#include <cardamompost/ledger/cp_relay_selector.hpp>
#include <cardamompost/ledger/cp_update_relay.hpp>
#include <cardamompost/net/cp_frame.hpp>
#include <cardamompost/policy/cp_turn_placement.hpp>

#include <set>

// Costs of a large fleet: one turn's placement and one change of the list by number of servers, and by number of VMs
// the control messages of each role. Targets of messages are chosen by the gateway's code, their sizes are those of
// encoded frames, and their rates follow from its intervals. The same is worked out for polls and heartbeats without
// relays and subsets, for comparison.

namespace
{

using namespace cardamompost;
using cardamompost::bench::secondsOf;

const std::vector<std::string> domains {"a", "b", "c", "d", "e"};
const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr double heartbeatsPerSecond = 1000.0 / 300;
constexpr double pollsPerSecond = 1000.0 / 300;
constexpr double feedsPerSecond = 5;
constexpr double directPollsPerSecond = 2;

std::vector<BackendServer> makeServers(std::size_t count)
{
    std::vector<BackendServer> servers;
    for (std::size_t i = 0; i < count; ++i) {
        BackendServer server;
        server.id = "i-" + std::to_string(1'000'000'000 + i);
        server.service = "engines";
        server.address = {"10.1.64." + std::to_string(i % 250), 8028};
        server.failureDomain = domains[i % domains.size()];
        server.slots = 6;
        servers.push_back(std::move(server));
    }
    return servers;
}

double microsecondsPerTurn(std::size_t engines)
{
    constexpr int turns = 20'000;
    constexpr int running = 100;
    TurnPlacement placement(1);
    placement.setServers(makeServers(engines), start);
    const double seconds = secondsOf([&] {
        for (int i = 0; i < turns; ++i) {
            SlotRequest request;
            request.turn = std::to_string(i);
            request.program = std::to_string(i / 4);
            request.service = "engines";
            request.failureDomain = "a";
            request.isInProgress = i % 4 != 0;
            request.timeLeft = Milliseconds(4000);
            placement.request(std::move(request), start, [](const std::string &) {});
            if (i >= running) {
                placement.release(std::to_string(i - running), start);
            }
        }
    });
    return 1e6 * seconds / turns;
}

double microsecondsPerChange(std::size_t count)
{
    constexpr int rounds = 2000;
    std::vector<BackendServer> servers = makeServers(count);
    BackendCatalog catalog;
    static_cast<void>(catalog.apply(catalog.changesTo(servers), {1, 1}));
    servers.front().isLeaving = true;
    static_cast<void>(catalog.apply(catalog.changesTo(servers), {1, 2}));
    const double seconds = secondsOf([&] {
        for (int i = 0; i < rounds; ++i) {
            static_cast<void>(catalog.changesSince({1, 1}));
        }
    });
    return 1e6 * seconds / rounds;
}

double bytesOf(FrameBody body, FrameKind kind)
{
    return static_cast<double>(encodeFrame({1, kind, 0, std::move(body)}).size());
}

//! Control messages and bytes a second of the busiest VM of a role, and the leader's bytes for one changed server.
struct RoleLoad {
    double entryMessages = 0;
    double ledgerMessages = 0;
    double leaderMessages = 0;
    double leaderBytesPerChange = 0;
};

void show(const std::string &name, std::size_t vms, const RoleLoad &load)
{
    std::cout << fmt::format("{}\t{}\t{:.0f}\t{:.0f}\t{:.0f}\t{:.0f}\n", name, vms, load.entryMessages,
                             load.ledgerMessages, load.leaderMessages, load.leaderBytesPerChange);
}

void compareDesigns(std::size_t vms)
{
    const std::size_t ledgerVms = vms / 8;
    const std::size_t entries = vms - ledgerVms;
    const std::vector<BackendServer> servers = makeServers(10 * vms);
    std::vector<LedgerPeer> peers;
    for (std::size_t i = 0; i < ledgerVms; ++i) {
        peers.push_back({"10.0.0." + std::to_string(i) + ":7380", domains[i % domains.size()]});
    }
    std::map<VmName, std::size_t> heartbeats;
    std::map<VmName, std::size_t> polls;
    std::size_t targets = 0;
    for (std::size_t i = 0; i < entries; ++i) {
        const std::string entry = "entry-" + std::to_string(i);
        const std::string &domain = domains[i % domains.size()];
        for (const VmName &target : heartbeatTargets(peers, entry, domain)) {
            ++heartbeats[target];
            ++targets;
        }
        RelaySelector selector(entry, domain);
        selector.setPeers(peers);
        ++polls[selector.current(start)];
    }
    const auto most = [](const std::map<VmName, std::size_t> &counts) {
        std::size_t largest = 0;
        for (const auto &[vm, count] : counts) {
            largest = std::max(largest, count);
        }
        return static_cast<double>(largest);
    };
    UpdateReply changed;
    changed.listChanges = BackendChanges {{servers.front()}, {}, 1};
    BackendBuckets buckets;
    buckets.set(servers);
    UpdateReply bucket;
    bucket.listDelta = buckets.deltaFrom({}, 1);
    for (std::size_t i = 0; i < ledgerVms; ++i) {
        bucket.peers.push_back(peers[i]);
    }
    const double entryCount = static_cast<double>(entries);
    const double ledgerCount = static_cast<double>(ledgerVms);
    const double relays = static_cast<double>(polls.size());
    RoleLoad relayed;
    relayed.entryMessages = static_cast<double>(targets) / entryCount * heartbeatsPerSecond + 2 * pollsPerSecond;
    relayed.ledgerMessages = most(heartbeats) * heartbeatsPerSecond + 2 * most(polls) * pollsPerSecond;
    relayed.leaderMessages = 2 * relays * feedsPerSecond + 2 * most(polls) * pollsPerSecond;
    relayed.leaderBytesPerChange = (relays + most(polls)) * bytesOf(changed, FrameKind::LastReply);
    RoleLoad direct;
    direct.entryMessages = ledgerCount * heartbeatsPerSecond + 2 * directPollsPerSecond;
    direct.ledgerMessages = entryCount * heartbeatsPerSecond;
    direct.leaderMessages = entryCount * (heartbeatsPerSecond + 2 * directPollsPerSecond);
    direct.leaderBytesPerChange = entryCount * bytesOf(bucket, FrameKind::LastReply);
    show("direct", vms, direct);
    show("relays", vms, relayed);
}

} // namespace

int main()
{
    cardamompost::bench::Bounds bounds;
    constexpr double maxGrowth = 4;
    const double turn = microsecondsPerTurn(1000);
    const double turnOfFleet = microsecondsPerTurn(10'000);
    bounds.show("placement of a turn, 1,000 engines", turn, "us");
    bounds.show("placement of a turn, 10,000 engines", turnOfFleet, "us");
    bounds.atMost("10,000 against 1,000 engines", turnOfFleet / turn, maxGrowth);
    const double change = microsecondsPerChange(1000);
    const double changeOfFleet = microsecondsPerChange(10'000);
    bounds.show("what changed since a version, 1,000 servers", change, "us");
    bounds.show("what changed since a version, 10,000 servers", changeOfFleet, "us");
    bounds.atMost("10,000 against 1,000 servers", changeOfFleet / change, maxGrowth);
    std::cout << "design\tvms\tentry messages/s\tledger VM messages/s\tleader messages/s\tleader bytes for a change\n";
    for (const std::size_t vms : {30U, 100U, 300U, 1000U, 2000U}) {
        compareDesigns(vms);
    }
    return bounds.exitCode();
}
