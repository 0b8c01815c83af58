#include "gateway/cp_presence_table.hpp"

#include "gateway/cp_gateway_settings.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

const TimePoint now = TimePoint() + std::chrono::hours(1);
constexpr std::size_t many = 64;

Presence presence(const std::string &vm, const std::string &domain, bool isReady = true)
{
    return {vm, vm + ":80", domain, isReady};
}

} // namespace

BOOST_AUTO_TEST_SUITE(presence_table)

BOOST_AUTO_TEST_CASE(entries_of_the_callers_failure_domain_come_first)
{
    PresenceTable table;
    table.note(presence("a", "apapa"), now);
    table.note(presence("b", "onne"), now);
    const std::vector<EntryPlace> entries = table.ready(now);
    BOOST_TEST((addressesFor("onne", entries, many) == std::vector<std::string> {"b:80", "a:80"}));
    BOOST_TEST(addressesFor("onne", entries, 1).size() == 1U);
}

// An entry is killed without a word, another says that it drains. Callers who ask now would connect to nothing, or have
// their connection closed soon.
BOOST_AUTO_TEST_CASE(an_entry_that_is_silent_or_draining_is_left_out)
{
    PresenceTable table;
    BOOST_TEST(table.note(presence("a", "apapa"), now));
    BOOST_TEST(!table.note(presence("a", "apapa"), now));
    BOOST_TEST(table.note(presence("b", "apapa"), now));
    BOOST_TEST(table.note(presence("b", "apapa", false), now));
    BOOST_TEST((addressesFor("apapa", table.ready(now), many) == std::vector<std::string> {"a:80"}));
    BOOST_TEST(table.ready(now + PresenceTable::entrySilence.ceiling).empty());
}

// One entry of three is frozen. Callers that are sent there lose their whole patience, so it has to be out of the
// answers within some tenths of a second, while a directory that stood still itself must not take all for silent.
BOOST_AUTO_TEST_CASE(an_entry_that_falls_silent_among_others_is_left_out_within_a_quarter_of_a_second)
{
    constexpr Milliseconds pace {100};
    PresenceTable table;
    TimePoint time = now;
    for (int i = 0; i < 10; ++i, time += pace) {
        for (const std::string vm : {"a", "b", "c"}) {
            table.note(presence(vm, "apapa"), time);
        }
    }
    // The directory stood still for a while: nobody was heard, which says nothing of any of them.
    BOOST_TEST(table.ready(time + Milliseconds(500)).size() == 3U);
    for (int i = 0; i < 3; ++i, time += pace) {
        table.note(presence("a", "apapa"), time);
        table.note(presence("b", "apapa"), time);
    }
    BOOST_TEST((addressesFor("apapa", table.ready(time), many) == std::vector<std::string> {"a:80", "b:80"}));
}

BOOST_AUTO_TEST_CASE(the_share_of_dark_directories_is_that_of_their_failure_domain)
{
    const auto directory = [](const std::string &vm, const std::string &domain) {
        return Presence {vm, vm + ":81", domain, false, true};
    };
    PresenceTable table;
    table.note(directory("x", "apapa"), now);
    table.note(directory("y", "apapa"), now + PresenceTable::unreachableAfter);
    table.note(directory("z", "onne"), now + PresenceTable::unreachableAfter);
    const TimePoint later = now + PresenceTable::unreachableAfter;
    BOOST_TEST(table.unreachableShare("apapa", later) == 0.5);
    BOOST_TEST(table.unreachableShare("onne", later) == 0);
    BOOST_TEST(table.unreachableShare("tincan", later) == 0);
    BOOST_TEST(table.unreachableShare("apapa", now + PresenceTable::goneAfter) == 1);
    BOOST_TEST(table.ready(now).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_settings)

BOOST_AUTO_TEST_CASE(settings_of_both_roles_are_read)
{
    const auto entry
        = parseGatewaySettings("[gateway]\nvm = e\nfailure_domain = apapa\nrole = entry\npeer = 10.0.0.1:7000\n"
                               "front = 10.0.0.1:80\nready = 10.0.0.1:81\n[seed 0]\naddress = 10.0.0.9:90\n");
    BOOST_TEST(entry.faults.empty());
    BOOST_TEST((entry.settings.seedPeers() == std::vector<VmName> {"10.0.0.9:90"}));
    const auto ledger = parseGatewaySettings(
        "[gateway]\nvm = l\nfailure_domain = apapa\nrole = ledger\npeer = 10.0.0.1:7000\n"
        "control = 10.0.0.1:80\ndirectory = 10.0.0.1:81\nbackend_list = 10.0.0.2:1\n"
        "data_folder = /d\nfirst_start = true\nseed_port = 7000\n[seed 0]\naddress = 10.0.0.9:90\n");
    BOOST_TEST(ledger.faults.empty());
    BOOST_TEST(ledger.settings.isFirstStart);
    BOOST_TEST((ledger.settings.seedPeers() == std::vector<VmName> {"10.0.0.9:7000"}));
}

BOOST_AUTO_TEST_CASE(all_faults_are_named_at_once)
{
    const auto result = parseGatewaySettings("[gateway]\nvm = e\nrole = cook\npeer = nowhere\nfront = x\nbogus = 1\n");
    std::string all;
    for (const ConfigFault &fault : result.faults) {
        all += fault.toString() + "\n";
    }
    for (const std::string key : {"failure_domain", "role", "peer", "bogus", "seed"}) {
        BOOST_TEST(all.find(key) != std::string::npos, key << " is missing in:\n" << all);
    }
}

BOOST_AUTO_TEST_SUITE_END()
