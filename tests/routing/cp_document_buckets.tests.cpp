#include <cardamompost/routing/cp_document_buckets.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace cardamompost;

namespace
{

constexpr std::size_t manyRoutes = 1400;

Route route(std::size_t number)
{
    Route route;
    route.name = "r-" + std::to_string(number);
    route.host = "h.example";
    route.prefix = "/" + route.name + "/";
    route.kind = number % 2 == 0 ? RouteKind::Streaming : RouteKind::Safe;
    route.timeout = Milliseconds(4000);
    route.targetLatency = Milliseconds(250);
    route.rank = 2;
    route.shares = {{"engines", 90}, {"others", 10}};
    route.maxAttempts = 3;
    route.keepsHistory = true;
    route.retention = Milliseconds(60'000);
    route.isSticky = true;
    route.isResumable = true;
    return route;
}

RouteDocument document(std::size_t routes)
{
    RouteDocument document;
    document.version = 7;
    for (std::size_t i = 0; i < routes; ++i) {
        document.routes.push_back(route(i));
    }
    document.services = {{"engines", 100, true, {16, 1000, 10}}, {"others", 50, false, {}}};
    document.bounds = {1000, 2000, Milliseconds(3000), Milliseconds(4000)};
    return document;
}

std::size_t bytesOf(const ContentDelta &delta)
{
    std::size_t bytes = 0;
    for (const ContentBucket &bucket : delta.buckets) {
        bytes += bucket.bytes.size();
    }
    return bytes;
}

const Route *find(const RouteDocument &document, std::string_view name)
{
    const auto found = std::find_if(document.routes.begin(), document.routes.end(),
                                    [&](const Route &candidate) { return candidate.name == name; });
    return found == document.routes.end() ? nullptr : &*found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(document_buckets)

BOOST_AUTO_TEST_CASE(whoever_holds_nothing_gets_every_field)
{
    DocumentBuckets leader;
    leader.set(document(20));
    DocumentBuckets entry;
    BOOST_REQUIRE(entry.take(leader.differing({}).buckets).has_value());
    BOOST_TEST(entry.checksum() == leader.checksum());
    const RouteDocument got = entry.content();
    BOOST_TEST(got.routes.size() == 20U);
    const Route *last = find(got, "r-19");
    BOOST_REQUIRE(last != nullptr);
    BOOST_TEST(last->host == "h.example");
    BOOST_TEST(last->prefix == "/r-19/");
    BOOST_TEST((last->kind == RouteKind::Safe));
    BOOST_TEST(last->timeout.count() == 4000);
    BOOST_TEST(last->targetLatency.count() == 250);
    BOOST_TEST(last->rank == 2U);
    BOOST_REQUIRE(last->shares.size() == 2U);
    BOOST_TEST(last->shares[1].service == "others");
    BOOST_TEST(last->shares[1].weight == 10U);
    BOOST_TEST(last->maxAttempts == 3U);
    BOOST_TEST((last->keepsHistory && last->isSticky && last->isResumable));
    BOOST_TEST(last->retention.count() == 60'000);
    BOOST_REQUIRE(got.services.size() == 2U);
    const BackendService &engines = got.services[0].name == "engines" ? got.services[0] : got.services[1];
    BOOST_TEST(engines.maxConnections == 100U);
    BOOST_TEST(engines.isEngine);
    BOOST_TEST(engines.engine.slots == 16U);
    BOOST_TEST(engines.engine.cacheTokens == 1000U);
    BOOST_TEST(engines.engine.tokensPerEvent == 10U);
    BOOST_TEST(got.bounds.headerBytes == 1000U);
    BOOST_TEST(got.bounds.bodyBytes == 2000U);
    BOOST_TEST(got.bounds.headerTimeout.count() == 3000);
    BOOST_TEST(got.bounds.idleTimeout.count() == 4000);
}

// Operators changed one time-out among 2,800 routes every third of a second, and each change sent the whole document to
// 67 entries: more than their way carried, so some went by an old one for seconds.
BOOST_AUTO_TEST_CASE(a_change_costs_a_small_part_of_the_document_whatever_the_order_of_its_routes)
{
    RouteDocument now = document(manyRoutes);
    DocumentBuckets leader;
    leader.set(now);
    DocumentBuckets entry;
    BOOST_REQUIRE(entry.take(leader.differing({}).buckets).has_value());
    std::reverse(now.routes.begin(), now.routes.end());
    now.version = 8;
    now.routes.front().timeout = Milliseconds(5000);
    now.routes.pop_back();
    leader.set(now);
    const ContentDelta changed = leader.differing(entry.digests());
    BOOST_TEST(changed.buckets.size() == 2U);
    BOOST_TEST(bytesOf(changed) * 20 < bytesOf(leader.differing({})));
    BOOST_REQUIRE(entry.take(changed.buckets).has_value());
    const RouteDocument got = entry.content();
    BOOST_TEST(got.routes.size() == manyRoutes - 1);
    BOOST_TEST(find(got, "r-1399")->timeout.count() == 5000);
    BOOST_TEST(find(got, "r-0") == nullptr);
}

// A document too long for one answer comes in several. Another one takes its place while half of it is there: what is
// the same in both stays, and nothing of the first one is left in the second.
BOOST_AUTO_TEST_CASE(a_long_document_comes_in_parts_that_are_kept_when_another_one_takes_its_place)
{
    constexpr std::size_t mostBytes = 10'000;
    RouteDocument now = document(manyRoutes);
    DocumentBuckets leader;
    leader.set(now);
    DocumentBuckets entry;
    const std::size_t whole = leader.differing({}).buckets.size();
    for (std::size_t i = 0; i < 3; ++i) {
        const ContentDelta delta = leader.differing(entry.digests(), mostBytes);
        BOOST_TEST(bytesOf(delta) <= mostBytes);
        BOOST_TEST(delta.rest > 0U);
        BOOST_REQUIRE(entry.take(delta.buckets).has_value());
    }
    const std::size_t come = whole - leader.differing(entry.digests()).buckets.size();
    BOOST_TEST(come >= 3U);
    now.routes[5].timeout = Milliseconds(5000);
    leader.set(now);
    std::size_t rest = 0;
    do {
        const ContentDelta delta = leader.differing(entry.digests(), mostBytes);
        BOOST_REQUIRE(entry.take(delta.buckets).has_value());
        rest = delta.rest;
    } while (rest > 0);
    BOOST_TEST(entry.checksum() == leader.checksum());
    BOOST_TEST(entry.content().routes.size() == manyRoutes);
    BOOST_TEST(find(entry.content(), "r-5")->timeout.count() == 5000);
}

BOOST_AUTO_TEST_CASE(what_many_routes_have_in_common_is_told_once_a_bucket)
{
    const RouteDocument alike = document(manyRoutes);
    RouteDocument unlike = alike;
    for (std::size_t i = 0; i < unlike.routes.size(); ++i) {
        unlike.routes[i].timeout = Milliseconds(1000 + i);
    }
    DocumentBuckets leader;
    leader.set(alike);
    const std::size_t bytesAlike = bytesOf(leader.differing({}));
    leader.set(unlike);
    const ContentDelta all = leader.differing({});
    BOOST_TEST(bytesAlike * 2 < bytesOf(all));
    DocumentBuckets entry;
    BOOST_REQUIRE(entry.take(all.buckets).has_value());
    BOOST_TEST(find(entry.content(), "r-3")->timeout.count() == 1003);
    BOOST_TEST(find(entry.content(), "r-1399")->timeout.count() == 2399);
}

BOOST_AUTO_TEST_CASE(a_bucket_larger_than_an_answer_may_be_comes_alone)
{
    DocumentBuckets leader;
    leader.set(document(manyRoutes));
    const ContentDelta delta = leader.differing({}, 1);
    BOOST_TEST(delta.buckets.size() == 1U);
    BOOST_TEST(delta.rest + 1U == leader.differing({}).buckets.size());
}

BOOST_AUTO_TEST_CASE(other_bytes_than_a_bucket_change_nothing)
{
    DocumentBuckets entry;
    entry.set(document(10));
    const std::uint64_t before = entry.checksum();
    BOOST_TEST(!entry.take({{3, "nonsense that is no message"}}).has_value());
    BOOST_TEST(!entry.take({{DocumentBuckets::count, {}}}).has_value());
    BOOST_TEST(entry.checksum() == before);
}

BOOST_AUTO_TEST_SUITE_END()
