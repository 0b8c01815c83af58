#include "platform/cp_platform_dialect.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

const std::string wholeDocument = R"({"version":7,"routes":[
 {"name":"r1","host":"h.example","path-prefix":"/a/","kind":"streaming","timeout-ms":4000,"target-latency-ms":250,
  "priority":1,"traffic-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max-attempts":1,
  "retains-context":true,"retention-s":60.0,"sticky-sessions":true,"resumable":false,"target-gap-ms":200},
 {"name":"r2","host":"h.example","path-prefix":"/b/","kind":"safe","timeout-ms":1500,"service":"s2","max-attempts":3}],
 "services":[{"name":"s1","max-connections":180,"engine":{"slots":16,"key-value-tokens":1000,"stride":10}},
 {"name":"s2","max-connections":110}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

} // namespace

BOOST_AUTO_TEST_SUITE(platform_dialect)

BOOST_AUTO_TEST_CASE(a_whole_document_is_read)
{
    const RouteDocument document = PlatformDialect().readDocument(wholeDocument).value();
    BOOST_TEST(document.version == 7U);
    BOOST_REQUIRE(document.routes.size() == 2U);
    const Route &route = document.routes[0];
    BOOST_TEST((route.kind == RouteKind::Streaming));
    BOOST_TEST(route.keepsHistory);
    BOOST_TEST(route.retention.count() == 60'000);
    BOOST_TEST(route.shares.size() == 2U);
    BOOST_TEST(document.routes[1].maxAttempts == 3U);
    BOOST_TEST(document.services[0].engine.tokensPerEvent == 10U);
    BOOST_TEST(!document.services[1].isEngine);
    BOOST_TEST(document.bounds.idleTimeout.count() == 15'000);
    BOOST_TEST(checkRouteDocument(document).has_value());
}

// An operator's transfer breaks off, or a script writes half a document. Taken as it is, it would drop routes in use.
BOOST_AUTO_TEST_CASE(a_document_that_is_cut_short_anywhere_is_refused)
{
    const PlatformDialect dialect;
    for (std::size_t size = 0; size < wholeDocument.size(); ++size) {
        BOOST_TEST(!dialect.readDocument(std::string_view(wholeDocument).substr(0, size)).has_value());
    }
    BOOST_TEST(!dialect.readDocument(R"({"version":7,"routes":[]})").has_value());
    BOOST_TEST(
        !dialect.readDocument(R"({"version":7,"services":[],"routes":[{"name":"r","kind":"odd"}]})").has_value());
}

BOOST_AUTO_TEST_CASE(a_page_of_the_list_is_read)
{
    const PlatformDialect dialect;
    const BackendPage page
        = dialect
              .readBackends(R"({"instances":[{"service":"s","address":"10.0.0.9:80","zone":"z","slots":16,
                "state":"ready","id":"i-1"},{"service":"s","address":"10.0.0.8:80","zone":"z","slots":16,
                "state":"draining","id":"i-2"}],"next":"p-50"})")
              .value();
    BOOST_REQUIRE(page.servers.size() == 2U);
    BOOST_TEST(!page.servers[0].isLeaving);
    BOOST_TEST(page.servers[1].isLeaving);
    BOOST_TEST(dialect.backendsTarget(page.next) == "/instances?page-token=p-50");
    BOOST_TEST(!dialect.readBackends("{}").has_value());
    BOOST_TEST(dialect.readBackends(R"({"instances":[],"next":null})").value().next.empty());
}

BOOST_AUTO_TEST_CASE(answers_are_written)
{
    const PlatformDialect dialect;
    BOOST_TEST(dialect.writeDirectory({"10.0.0.1:80"}, Milliseconds(2000))
               == R"({"addresses":["10.0.0.1:80"],"ttl-s":2E0})");
    BOOST_TEST(dialect.writeRetirement(true) == R"({"state":"completed"})");
}

BOOST_AUTO_TEST_SUITE_END()
