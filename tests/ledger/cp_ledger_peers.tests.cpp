#include <cardamompost/ledger/cp_ledger_peers.hpp>
#include <cardamompost/ledger/cp_serving_peers.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace cardamompost;

namespace
{

const std::vector<std::string> domains {"apapa", "tincan", "onne", "lekki", "ikorodu"};

std::string domainOf(std::size_t number)
{
    return domains[number % domains.size()];
}

std::vector<LedgerPeer> ledgerVms(std::size_t count)
{
    std::vector<LedgerPeer> peers;
    for (std::size_t i = 0; i < count; ++i) {
        peers.push_back({"10.0.0." + std::to_string(i) + ":7380", domainOf(i)});
    }
    return peers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ledger_peers)

// Guards against contacting VMs that were taken away, of which a ledger has had any number over the years.
BOOST_AUTO_TEST_CASE(a_retired_vm_that_has_left_the_group_is_no_longer_contacted)
{
    std::map<VmName, LedgerVm> vms;
    for (const auto &[name, isRetiring] :
         {std::pair("member", false), std::pair("retiring-voter", true), std::pair("retiring-learner", true),
          std::pair("spare", false), std::pair("gone", true)}) {
        vms[name] = {name, std::string(name) + ":1", isRetiring, "apapa"};
    }
    const Membership members {{"member:1", "retiring-voter:1"}, {"retiring-learner:1"}};
    std::set<VmName> contacted;
    for (const LedgerPeer &peer : servingPeers(vms, members)) {
        contacted.insert(peer.peer);
        BOOST_TEST(peer.failureDomain == "apapa");
    }
    const std::set<VmName> expected {"member:1", "retiring-voter:1", "retiring-learner:1", "spare:1"};
    BOOST_TEST(contacted == expected, boost::test_tools::per_element());
    // Another VM at the address of one that is gone.
    vms["newcomer"] = {"newcomer", "gone:1", false, "onne"};
    const std::vector<LedgerPeer> peers = servingPeers(vms, members);
    BOOST_TEST(std::count(peers.begin(), peers.end(), LedgerPeer {"gone:1", "onne"}) == 1);
    BOOST_TEST(peers.size() == expected.size() + 1);
}

// Guards against heartbeats that grow with the product of entries and ledger VMs.
BOOST_AUTO_TEST_CASE(an_entry_sends_its_heartbeats_to_a_bounded_number_of_ledger_vms)
{
    constexpr std::size_t maxTargets = 12;
    for (const std::size_t scale : {1U, 2U}) {
        const std::vector<LedgerPeer> peers = ledgerVms(125 * scale);
        const std::size_t entries = 865 * scale;
        std::map<VmName, std::size_t> localEntries;
        std::size_t localTargets = 0;
        for (std::size_t i = 0; i < entries; ++i) {
            const std::vector<VmName> targets = heartbeatTargets(peers, "entry-" + std::to_string(i), domainOf(i));
            BOOST_TEST(targets.size() <= maxTargets);
            for (const VmName &target : targets) {
                const auto peer = std::find_if(peers.begin(), peers.end(),
                                               [&](const LedgerPeer &other) { return other.peer == target; });
                const std::size_t isLocal = peer->failureDomain == domainOf(i) ? 1 : 0;
                localEntries[target] += isLocal;
                localTargets += isLocal;
            }
        }
        // Each directory can offer a choice of entries in its own failure domain, and hears from few of all entries.
        BOOST_TEST(localEntries.size() == peers.size());
        for (const auto &[peer, count] : localEntries) {
            BOOST_TEST(2 * count * peers.size() >= localTargets);
            BOOST_TEST(count * peers.size() <= 2 * localTargets);
        }
    }
}

BOOST_AUTO_TEST_CASE(all_ledger_vms_of_a_small_deployment_are_targets)
{
    for (const std::size_t count : {1U, 3U, 8U}) {
        BOOST_TEST(heartbeatTargets(ledgerVms(count), "entry", "onne").size() == count);
    }
    BOOST_TEST(heartbeatTargets({}, "entry", "onne").empty());
}

BOOST_AUTO_TEST_CASE(a_ledger_vm_that_leaves_changes_only_the_subsets_that_it_belongs_to)
{
    std::vector<LedgerPeer> peers = ledgerVms(100);
    const std::vector<LedgerPeer> all = peers;
    const VmName gone = peers.back().peer;
    peers.pop_back();
    for (std::size_t i = 0; i < 200; ++i) {
        const std::string entry = "entry-" + std::to_string(i);
        const std::vector<VmName> before = heartbeatTargets(all, entry, domainOf(i));
        const std::vector<VmName> after = heartbeatTargets(peers, entry, domainOf(i));
        if (std::find(before.begin(), before.end(), gone) == before.end()) {
            BOOST_TEST((before == after));
        }
    }
}

BOOST_AUTO_TEST_CASE(the_digest_depends_on_the_set_and_not_on_its_order)
{
    std::vector<LedgerPeer> peers = ledgerVms(10);
    const std::uint64_t digest = LedgerPeers(peers).digest();
    std::reverse(peers.begin(), peers.end());
    BOOST_TEST(LedgerPeers(peers).digest() == digest);
    peers.front().failureDomain = "elsewhere";
    BOOST_TEST(LedgerPeers(peers).digest() != digest);
    BOOST_TEST(LedgerPeers().digest() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
