#include "gateway/cp_presence_table.hpp"

#include "gateway/cp_gateway_settings.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

const TimePoint now = TimePoint() + std::chrono::hours(1);
constexpr std::size_t maxCount = 64;
constexpr std::uint64_t seed = 1;

Presence presence(const std::string &vm, const std::string &domain, bool isReady = true)
{
    return {vm, vm + ":80", domain, isReady};
}

} // namespace

BOOST_AUTO_TEST_SUITE(presence_table)

BOOST_AUTO_TEST_CASE(addresses_in_the_callers_failure_domain_come_first)
{
    PresenceTable table;
    table.record(presence("a", "apapa"), now);
    table.record(presence("b", "onne"), now);
    const std::vector<EntryEndpoint> entries = table.ready(now);
    BOOST_TEST((addressesFor("onne", entries, maxCount, seed) == std::vector<std::string> {"b:80", "a:80"}));
    BOOST_TEST(addressesFor("onne", entries, 1, seed).size() == 1U);
}

// Guards against entries that no directory ever lists because others have lower addresses.
BOOST_AUTO_TEST_CASE(directories_of_a_large_domain_list_every_entry_between_them)
{
    constexpr std::size_t directoryCount = 25;
    constexpr std::size_t entryCount = 170;
    std::vector<EntryEndpoint> entries;
    for (std::size_t i = 0; i < entryCount; ++i) {
        entries.push_back({"10.0.0." + std::to_string(i) + ":80", "apapa"});
    }
    std::map<std::string, std::size_t> listed;
    for (std::uint64_t directory = 0; directory < directoryCount; ++directory) {
        const std::vector<std::string> addresses = addressesFor("apapa", entries, maxCount, directory);
        BOOST_TEST(addresses.size() == maxCount);
        for (const std::string &address : addresses) {
            ++listed[address];
        }
    }
    BOOST_TEST(listed.size() == entryCount);
}

// Callers must not be sent to an entry that was killed, or that is about to close its connections.
BOOST_AUTO_TEST_CASE(an_entry_that_is_suspected_or_draining_is_not_listed)
{
    PresenceTable table;
    BOOST_TEST(table.record(presence("a", "apapa"), now));
    BOOST_TEST(!table.record(presence("a", "apapa"), now));
    BOOST_TEST(table.record(presence("b", "apapa"), now));
    BOOST_TEST(table.record(presence("b", "apapa", false), now));
    BOOST_TEST((addressesFor("apapa", table.ready(now), maxCount, seed) == std::vector<std::string> {"a:80"}));
    BOOST_TEST(table.ready(now + PresenceTable::entrySuspicion.ceiling).empty());
}

// Guards against failed look-ups while all entries drain, and against callers that are sent to one that closes.
BOOST_AUTO_TEST_CASE(draining_entries_are_listed_while_they_accept_connections_and_no_entry_is_ready)
{
    const auto addresses = [](const PresenceTable &table, TimePoint time) {
        return addressesFor("apapa", table.accepting(time), maxCount, seed);
    };
    PresenceTable table;
    Presence draining = presence("a", "apapa", false);
    draining.isAccepting = true;
    table.record(presence("b", "apapa"), now);
    table.record(draining, now);
    BOOST_TEST((addresses(table, now) == std::vector<std::string> {"b:80"}));
    BOOST_TEST(table.record(presence("b", "apapa", false), now));
    BOOST_TEST((addresses(table, now) == std::vector<std::string> {"a:80"}));
    BOOST_TEST(table.ready(now).empty());
    BOOST_TEST(addresses(table, now + PresenceTable::entrySuspicion.ceiling).empty());
    // The listener closes. An older release says nothing about it.
    BOOST_TEST(table.record(presence("a", "apapa", false), now));
    BOOST_TEST(addresses(table, now).empty());
}

// A frozen entry costs callers their whole timeout, so it has to be detected quickly. A directory that was suspended
// itself must not suspect all entries.
BOOST_AUTO_TEST_CASE(an_entry_that_stops_its_heartbeats_while_others_continue_is_not_listed)
{
    constexpr Milliseconds heartbeatInterval {100};
    PresenceTable table;
    TimePoint time = now;
    for (int i = 0; i < 10; ++i, time += heartbeatInterval) {
        for (const std::string vm : {"a", "b", "c"}) {
            table.record(presence(vm, "apapa"), time);
        }
    }
    // Without heartbeats from any entry, none is suspected before the ceiling.
    BOOST_TEST(table.ready(time + Milliseconds(500)).size() == 3U);
    for (int i = 0; i < 3; ++i, time += heartbeatInterval) {
        table.record(presence("a", "apapa"), time);
        table.record(presence("b", "apapa"), time);
    }
    BOOST_TEST((addressesFor("apapa", table.ready(time), maxCount, seed) == std::vector<std::string> {"a:80", "b:80"}));
}

// Guards against a hot entry that its directory takes for an idle or an unknown one.
BOOST_AUTO_TEST_CASE(the_latest_reported_load_of_an_entry_is_listed)
{
    PresenceTable table;
    Presence entry = presence("a", "apapa");
    table.record(entry, now);
    BOOST_TEST(table.ready(now).front().load == 0);
    entry.loadPermille = 750;
    BOOST_TEST(!table.record(entry, now));
    BOOST_TEST(table.ready(now).front().load == 0.75);
}

BOOST_AUTO_TEST_CASE(the_share_of_unreachable_directories_is_counted_per_failure_domain)
{
    const auto directory = [](const std::string &vm, const std::string &domain) {
        return Presence {vm, vm + ":81", domain, false, true};
    };
    PresenceTable table;
    table.record(directory("x", "apapa"), now);
    table.record(directory("y", "apapa"), now + PresenceTable::unreachableAfter);
    table.record(directory("z", "onne"), now + PresenceTable::unreachableAfter);
    const TimePoint later = now + PresenceTable::unreachableAfter;
    BOOST_TEST(table.unreachableShare("apapa", later) == 0.5);
    BOOST_TEST(table.unreachableShare("onne", later) == 0);
    BOOST_TEST(table.unreachableShare("tincan", later) == 0);
    BOOST_TEST(table.unreachableShare("apapa", now + PresenceTable::ignoredAfter) == 1);
    BOOST_TEST(table.ready(now).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_settings)

BOOST_AUTO_TEST_CASE(settings_of_both_roles_are_parsed)
{
    const auto entry
        = parseGatewaySettings("[gateway]\nvm = e\nfailure_domain = apapa\nrole = entry\npeer = 10.0.0.1:7000\n"
                               "front = 10.0.0.1:80\nready = 10.0.0.1:81\n[seed 0]\naddress = 10.0.0.9:90\n");
    BOOST_TEST(entry.errors.empty());
    BOOST_TEST((entry.settings.seedPeers() == std::vector<VmName> {"10.0.0.9:90"}));
    const auto ledger = parseGatewaySettings(
        "[gateway]\nvm = l\nfailure_domain = apapa\nrole = ledger\npeer = 10.0.0.1:7000\n"
        "control = 10.0.0.1:80\ndirectory = 10.0.0.1:81\nbackend_list = 10.0.0.2:1\n"
        "data_folder = /d\nfirst_start = true\nseed_port = 7000\n[seed 0]\naddress = 10.0.0.9:90\n");
    BOOST_TEST(ledger.errors.empty());
    BOOST_TEST(ledger.settings.isFirstStart);
    BOOST_TEST((ledger.settings.seedPeers() == std::vector<VmName> {"10.0.0.9:7000"}));
}

BOOST_AUTO_TEST_CASE(settings_for_uneven_demand_are_parsed_and_off_by_default)
{
    const std::string text = "[gateway]\nvm = e\nfailure_domain = apapa\nrole = entry\npeer = 10.0.0.1:7000\n"
                             "front = 10.0.0.1:80\nready = 10.0.0.1:81\n";
    const std::string seeds = "[seed 0]\naddress = 10.0.0.9:90\n";
    const auto defaults = parseGatewaySettings(text + seeds);
    BOOST_TEST(defaults.errors.empty());
    BOOST_TEST(defaults.settings.processorShare == 1);
    BOOST_TEST(defaults.settings.nearEntriesMin == 0U);
    BOOST_TEST(!defaults.settings.placement.prefersNearEngines);
    const auto set = parseGatewaySettings(
        text + "processor_share = 0.25\nnear_entries_min = 8\nprefer_near_engines = true\n" + seeds);
    BOOST_TEST(set.errors.empty());
    BOOST_TEST(set.settings.processorShare == 0.25);
    BOOST_TEST(set.settings.nearEntriesMin == 8U);
    BOOST_TEST(set.settings.placement.prefersNearEngines);
    BOOST_TEST(parseGatewaySettings(text + "processor_share = 0\n" + seeds).errors.size() == 1U);
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_at_once)
{
    const auto result = parseGatewaySettings("[gateway]\nvm = e\nrole = cook\npeer = nowhere\nfront = x\nbogus = 1\n");
    std::string all;
    for (const ConfigError &error : result.errors) {
        all += error.toString() + "\n";
    }
    for (const std::string key : {"failure_domain", "role", "peer", "bogus", "seed"}) {
        BOOST_TEST(all.find(key) != std::string::npos, key << " is missing in:\n" << all);
    }
}

BOOST_AUTO_TEST_SUITE_END()
