#include <cardamompost/ledger/cp_ledger_peers.hpp>

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

BOOST_AUTO_TEST_CASE(all_ledger_vms_of_a_small_deployment_are_targets)
{
    for (const std::size_t count : {1U, 3U, 8U}) {
        BOOST_TEST(heartbeatTargets(ledgerVms(count), "entry", "onne").size() == count);
    }
    BOOST_TEST(heartbeatTargets({}, "entry", "onne").empty());
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
