#include <cardamompost/routing/cp_backend_buckets.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace cardamompost;

namespace
{

constexpr std::size_t serverCount = 3000;

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

BOOST_AUTO_TEST_CASE(an_empty_receiver_gets_all_servers)
{
    BackendBuckets leader;
    leader.set(servers(serverCount));
    BackendBuckets entry;
    BOOST_REQUIRE(entry.replaceBuckets(leader.deltaFrom({}).buckets).has_value());
    std::vector<BackendServer> got = entry.content();
    std::vector<BackendServer> sent = servers(serverCount);
    sort(got);
    sort(sent);
    BOOST_TEST((got == sent));
    BOOST_TEST(entry.digests() == leader.digests(), boost::test_tools::per_element());
}

// Guards against sending the whole list to every entry on each change and each change of leader, which can exhaust the
// leader's memory.
BOOST_AUTO_TEST_CASE(a_delta_holds_only_changed_buckets_and_is_empty_for_an_equal_list)
{
    std::vector<BackendServer> list = servers(serverCount);
    BackendBuckets first;
    first.set(list);
    BackendBuckets entry;
    BOOST_REQUIRE(entry.replaceBuckets(first.deltaFrom(entry.digests()).buckets).has_value());
    std::reverse(list.begin(), list.end());
    BackendBuckets second;
    second.set(list);
    BOOST_TEST(second.deltaFrom(entry.digests()).buckets.empty());
    list.front().isLeaving = true;
    list.pop_back();
    second.set(list);
    const ContentDelta changed = second.deltaFrom(entry.digests());
    BOOST_TEST(changed.buckets.size() <= 2U);
    BOOST_TEST(bytesOf(changed) * 10 < bytesOf(second.deltaFrom({})));
    BOOST_REQUIRE(entry.replaceBuckets(changed.buckets).has_value());
    std::vector<BackendServer> got = entry.content();
    sort(got);
    sort(list);
    BOOST_TEST((got == list));
}

BOOST_AUTO_TEST_CASE(a_bucket_is_emptied_when_its_last_server_is_removed)
{
    BackendBuckets leader;
    leader.set(servers(1));
    BackendBuckets entry;
    BOOST_REQUIRE(entry.replaceBuckets(leader.deltaFrom(entry.digests()).buckets).has_value());
    leader.set({});
    BOOST_REQUIRE(entry.replaceBuckets(leader.deltaFrom(entry.digests()).buckets).has_value());
    BOOST_TEST(entry.content().empty());
}

BOOST_AUTO_TEST_CASE(malformed_buckets_are_rejected_without_effect)
{
    BackendBuckets entry;
    BackendBuckets leader;
    leader.set(servers(10));
    BOOST_REQUIRE(entry.replaceBuckets(leader.deltaFrom({}).buckets).has_value());
    BOOST_TEST(!entry.replaceBuckets({{3, "malformed message bytes"}}).has_value());
    BOOST_TEST(!entry.replaceBuckets({{BackendBuckets::count, {}}}).has_value());
    BOOST_TEST(entry.content().size() == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
