#include <cardamompost/routing/cp_document_buckets.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace cardamompost;

namespace
{

constexpr std::size_t routeCount = 1400;

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

BOOST_AUTO_TEST_CASE(an_empty_receiver_gets_every_field)
{
    DocumentBuckets leader;
    leader.set(document(20));
    DocumentBuckets entry;
    BOOST_REQUIRE(entry.replaceBuckets(leader.deltaFrom({}).buckets).has_value());
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

// Guards against sending the whole document for a small change, which delays frequent changes at the entries.
BOOST_AUTO_TEST_CASE(a_delta_holds_only_changed_buckets_whatever_the_order_of_routes)
{
    RouteDocument now = document(routeCount);
    DocumentBuckets leader;
    leader.set(now);
    DocumentBuckets entry;
    BOOST_REQUIRE(entry.replaceBuckets(leader.deltaFrom({}).buckets).has_value());
    std::reverse(now.routes.begin(), now.routes.end());
    now.version = 8;
    now.routes.front().timeout = Milliseconds(5000);
    now.routes.pop_back();
    leader.set(now);
    const ContentDelta changed = leader.deltaFrom(entry.digests());
    BOOST_TEST(changed.buckets.size() == 2U);
    BOOST_TEST(bytesOf(changed) * 20 < bytesOf(leader.deltaFrom({})));
    BOOST_REQUIRE(entry.replaceBuckets(changed.buckets).has_value());
    const RouteDocument got = entry.content();
    BOOST_TEST(got.routes.size() == routeCount - 1);
    BOOST_TEST(find(got, "r-1399")->timeout.count() == 5000);
    BOOST_TEST(find(got, "r-0") == nullptr);
}

// The document changes while an entry has received part of it: unchanged buckets are kept, changed ones replaced.
BOOST_AUTO_TEST_CASE(buckets_already_received_are_kept_when_the_document_changes_during_transfer)
{
    constexpr std::size_t maxDeltaBytes = 10'000;
    RouteDocument now = document(routeCount);
    DocumentBuckets leader;
    leader.set(now);
    DocumentBuckets entry;
    const std::size_t totalBuckets = leader.deltaFrom({}).buckets.size();
    for (std::size_t i = 0; i < 3; ++i) {
        const ContentDelta delta = leader.deltaFrom(entry.digests(), maxDeltaBytes);
        BOOST_TEST(bytesOf(delta) <= maxDeltaBytes);
        BOOST_TEST(delta.remainingBuckets > 0U);
        BOOST_REQUIRE(entry.replaceBuckets(delta.buckets).has_value());
    }
    const std::size_t received = totalBuckets - leader.deltaFrom(entry.digests()).buckets.size();
    BOOST_TEST(received >= 3U);
    now.routes[5].timeout = Milliseconds(5000);
    leader.set(now);
    std::size_t remainingBuckets = 0;
    do {
        const ContentDelta delta = leader.deltaFrom(entry.digests(), maxDeltaBytes);
        BOOST_REQUIRE(entry.replaceBuckets(delta.buckets).has_value());
        remainingBuckets = delta.remainingBuckets;
    } while (remainingBuckets > 0);
    BOOST_TEST(entry.checksum() == leader.checksum());
    BOOST_TEST(entry.content().routes.size() == routeCount);
    BOOST_TEST(find(entry.content(), "r-5")->timeout.count() == 5000);
}

BOOST_AUTO_TEST_CASE(rules_shared_by_routes_are_encoded_once_per_bucket)
{
    const RouteDocument sharedRules = document(routeCount);
    RouteDocument distinctRules = sharedRules;
    for (std::size_t i = 0; i < distinctRules.routes.size(); ++i) {
        distinctRules.routes[i].timeout = Milliseconds(1000 + i);
    }
    DocumentBuckets leader;
    leader.set(sharedRules);
    const std::size_t sharedRulesBytes = bytesOf(leader.deltaFrom({}));
    leader.set(distinctRules);
    const ContentDelta all = leader.deltaFrom({});
    BOOST_TEST(sharedRulesBytes * 2 < bytesOf(all));
    DocumentBuckets entry;
    BOOST_REQUIRE(entry.replaceBuckets(all.buckets).has_value());
    BOOST_TEST(find(entry.content(), "r-3")->timeout.count() == 1003);
    BOOST_TEST(find(entry.content(), "r-1399")->timeout.count() == 2399);
}

BOOST_AUTO_TEST_CASE(a_bucket_above_the_size_limit_is_sent_alone)
{
    DocumentBuckets leader;
    leader.set(document(routeCount));
    const ContentDelta delta = leader.deltaFrom({}, 1);
    BOOST_TEST(delta.buckets.size() == 1U);
    BOOST_TEST(delta.remainingBuckets + 1U == leader.deltaFrom({}).buckets.size());
}

BOOST_AUTO_TEST_CASE(malformed_buckets_are_rejected_without_effect)
{
    DocumentBuckets entry;
    entry.set(document(10));
    const std::uint64_t before = entry.checksum();
    BOOST_TEST(!entry.replaceBuckets({{3, "malformed message bytes"}}).has_value());
    BOOST_TEST(!entry.replaceBuckets({{DocumentBuckets::count, {}}}).has_value());
    BOOST_TEST(entry.checksum() == before);
}

BOOST_AUTO_TEST_SUITE_END()
