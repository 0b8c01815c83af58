#include "gateway/cp_entry_replica.hpp"

#include "platform/cp_platform_adapter.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

//! An entry's replica without its sockets; updates are passed in as replies of a leader.
struct Entry {
    boost::asio::io_context io;
    GatewaySettings settings;
    PlatformAdapter adapter;
    EventLog log {"entry-0", {}, "error"};
    MetricRegistry metrics;
    PeerTraffic traffic;
    PeerClients peers {io.get_executor(), traffic};
    LedgerClient ledger {{io, settings, peers, log, metrics}};
    BackendPool pool {"entry-0", "apapa", metrics};
    Forwarder forwarder {{io, adapter, settings, pool, ledger, log, metrics}};
    EntryReplica replica {{forwarder, pool, ledger, log}};

    void apply(std::uint64_t version, ContentDelta delta)
    {
        UpdateReply reply;
        reply.isLeader = true;
        reply.documentVersion = version;
        reply.documentDelta = std::move(delta);
        replica.apply(reply);
    }
    [[nodiscard]] std::uint64_t version() const
    {
        return forwarder.table() ? forwarder.table()->version() : 0;
    }
};

DocumentBuckets bucketsOf(std::size_t routes, Milliseconds timeout = Milliseconds(4000))
{
    RouteDocument document;
    document.services.push_back({"engines", 10, false, {}});
    for (std::size_t i = 0; i < routes; ++i) {
        Route route;
        route.name = "r-" + std::to_string(i);
        route.host = "h.example";
        route.prefix = "/" + route.name + "/";
        route.timeout = timeout;
        route.shares = {{"engines", 1}};
        document.routes.push_back(std::move(route));
    }
    DocumentBuckets buckets;
    buckets.set(document);
    return buckets;
}

constexpr std::size_t routeCount = 500;
constexpr std::size_t maxReplyBytes = 5000;

} // namespace

BOOST_AUTO_TEST_SUITE(entry_replica)

// A long document is sent in several replies. Applying only the first would reject requests for the routes in the
// others.
BOOST_AUTO_TEST_CASE(a_document_is_applied_once_it_is_complete)
{
    Entry entry;
    const DocumentBuckets leader = bucketsOf(routeCount);
    DocumentBuckets received;
    for (ContentDelta delta = leader.deltaFrom({}, maxReplyBytes); delta.remainingBuckets > 0;
         delta = leader.deltaFrom(received.digests(), maxReplyBytes)) {
        BOOST_REQUIRE(received.replaceBuckets(delta.buckets).has_value());
        entry.apply(5, std::move(delta));
        BOOST_TEST(entry.version() == 0U);
    }
    entry.apply(5, leader.deltaFrom(received.digests(), maxReplyBytes));
    BOOST_TEST(entry.version() == 5U);
    BOOST_TEST(entry.forwarder.table()->hasRoute("r-0"));
    BOOST_TEST(entry.forwarder.table()->hasRoute("r-499"));
}

// If two different buckets share a digest, the leader omits one from its delta. Without the checksum, the entry would
// apply a mixture of two documents.
BOOST_AUTO_TEST_CASE(buckets_that_do_not_match_the_checksum_are_not_applied)
{
    Entry entry;
    entry.apply(5, bucketsOf(routeCount).deltaFrom({}));
    const DocumentBuckets next = bucketsOf(routeCount, Milliseconds(5000));
    ContentDelta incomplete = next.deltaFrom(bucketsOf(routeCount).digests());
    BOOST_REQUIRE(incomplete.buckets.size() > 1U);
    incomplete.buckets.pop_back();
    entry.apply(6, incomplete);
    BOOST_TEST(entry.version() == 5U);
    entry.apply(6, next.deltaFrom({}));
    BOOST_TEST(entry.version() == 6U);
}

// A deposed leader may still reply with an older document.
BOOST_AUTO_TEST_CASE(an_older_document_does_not_replace_a_newer_one)
{
    Entry entry;
    entry.apply(6, bucketsOf(2).deltaFrom({}));
    entry.apply(5, bucketsOf(1).deltaFrom({}));
    BOOST_TEST(entry.version() == 6U);
    BOOST_TEST(entry.forwarder.table()->hasRoute("r-1"));
}

BOOST_AUTO_TEST_CASE(a_malformed_bucket_leaves_the_current_document_in_place)
{
    Entry entry;
    entry.apply(5, bucketsOf(2).deltaFrom({}));
    entry.apply(6, {{{0, "nonsense"}}, 0, 0});
    BOOST_TEST(entry.version() == 5U);
    entry.apply(6, bucketsOf(3).deltaFrom({}));
    BOOST_TEST(entry.version() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()
