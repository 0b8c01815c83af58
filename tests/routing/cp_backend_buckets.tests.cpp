#include <cardamompost/routing/cp_backend_buckets.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace cardamompost;

namespace
{

constexpr std::size_t manyServers = 3000;

std::vector<BackendServer> servers(std::size_t count)
{
    std::vector<BackendServer> list;
    for (std::size_t i = 0; i < count; ++i) {
        BackendServer server;
        server.id = "i-" + std::to_string(i);
        server.service = i % 3 == 0 ? "tools" : "engines";
        server.address.host = "10.0.0.1";
        server.address.port = 8000;
        list.push_back(std::move(server));
    }
    return list;
}

std::size_t bytesOf(const ContentDelta &delta)
{
    std::size_t bytes = 0;
    for (const ContentBucket &bucket : delta.buckets) {
        bytes += bucket.bytes.size();
    }
    return bytes;
}

void sort(std::vector<BackendServer> &list)
{
    std::sort(list.begin(), list.end(), [](const auto &left, const auto &right) { return left.id < right.id; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(backend_buckets)

BOOST_AUTO_TEST_CASE(whoever_holds_nothing_gets_everything)
{
    BackendBuckets leader;
    leader.set(servers(manyServers));
    BackendBuckets entry;
    BOOST_REQUIRE(entry.take(leader.differing({}).buckets).has_value());
    std::vector<BackendServer> got = entry.content();
    std::vector<BackendServer> sent = servers(manyServers);
    sort(got);
    sort(sent);
    BOOST_TEST((got == sent));
    BOOST_TEST(entry.digests() == leader.digests(), boost::test_tools::per_element());
}

// Three hundred VMs before three thousand servers: each change of the list, and each new leader, sent all of it to
// every entry at once, which took more memory than the leader had. It was ended, and so was the next one.
BOOST_AUTO_TEST_CASE(a_change_costs_a_small_part_of_the_list_and_a_new_leader_with_the_same_list_nothing)
{
    std::vector<BackendServer> list = servers(manyServers);
    BackendBuckets first;
    first.set(list);
    BackendBuckets entry;
    BOOST_REQUIRE(entry.take(first.differing(entry.digests()).buckets).has_value());
    std::reverse(list.begin(), list.end());
    BackendBuckets second;
    second.set(list);
    BOOST_TEST(second.differing(entry.digests()).buckets.empty());
    list.front().isLeaving = true;
    list.pop_back();
    second.set(list);
    const ContentDelta changed = second.differing(entry.digests());
    BOOST_TEST(changed.buckets.size() <= 2U);
    BOOST_TEST(bytesOf(changed) * 10 < bytesOf(second.differing({})));
    BOOST_REQUIRE(entry.take(changed.buckets).has_value());
    std::vector<BackendServer> got = entry.content();
    sort(got);
    sort(list);
    BOOST_TEST((got == list));
}

BOOST_AUTO_TEST_CASE(a_bucket_whose_servers_are_all_gone_is_emptied)
{
    BackendBuckets leader;
    leader.set(servers(1));
    BackendBuckets entry;
    BOOST_REQUIRE(entry.take(leader.differing(entry.digests()).buckets).has_value());
    leader.set({});
    BOOST_REQUIRE(entry.take(leader.differing(entry.digests()).buckets).has_value());
    BOOST_TEST(entry.content().empty());
}

BOOST_AUTO_TEST_CASE(other_bytes_change_nothing)
{
    BackendBuckets entry;
    BackendBuckets leader;
    leader.set(servers(10));
    BOOST_REQUIRE(entry.take(leader.differing({}).buckets).has_value());
    BOOST_TEST(!entry.take({{3, "nonsense that is no message"}}).has_value());
    BOOST_TEST(!entry.take({{BackendBuckets::count, {}}}).has_value());
    BOOST_TEST(entry.content().size() == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
