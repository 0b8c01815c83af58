#include "platform/cp_platform_adapter.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

const std::string completeDocument = R"({"version":7,"routes":[
 {"name":"r1","host":"h.example","path-prefix":"/a/","kind":"streaming","timeout-ms":4000,"target-latency-ms":250,
  "priority":1,"traffic-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max-attempts":1,
  "retains-context":true,"retention-s":60.0,"sticky-sessions":true,"resumable":false,"target-gap-ms":200},
 {"name":"r2","host":"h.example","path-prefix":"/b/","kind":"safe","timeout-ms":1500,"service":"s2","max-attempts":3}],
 "services":[{"name":"s1","max-connections":180,"engine":{"slots":16,"key-value-tokens":1000,"stride":10}},
 {"name":"s2","max-connections":110}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

} // namespace

BOOST_AUTO_TEST_SUITE(platform_adapter)

BOOST_AUTO_TEST_CASE(a_complete_document_is_read)
{
    const RouteDocument document = PlatformAdapter().readDocument(completeDocument).value();
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

// Guards against a partial upload that would drop routes in use.
BOOST_AUTO_TEST_CASE(a_truncated_document_is_rejected)
{
    const PlatformAdapter adapter;
    for (std::size_t size = 0; size < completeDocument.size(); ++size) {
        BOOST_TEST(!adapter.readDocument(std::string_view(completeDocument).substr(0, size)).has_value());
    }
    BOOST_TEST(!adapter.readDocument(R"({"version":7,"routes":[]})").has_value());
    BOOST_TEST(
        !adapter.readDocument(R"({"version":7,"services":[],"routes":[{"name":"r","kind":"odd"}]})").has_value());
}

BOOST_AUTO_TEST_CASE(a_page_of_the_backend_list_is_read)
{
    const PlatformAdapter adapter;
    const BackendPage page
        = adapter
              .readBackends(R"({"instances":[{"service":"s","address":"10.0.0.9:80","zone":"z","slots":16,
                "state":"ready","id":"i-1"},{"service":"s","address":"10.0.0.8:80","zone":"z","slots":16,
                "state":"draining","id":"i-2"}],"next":"p-50"})")
              .value();
    BOOST_REQUIRE(page.servers.size() == 2U);
    BOOST_TEST(!page.servers[0].isLeaving);
    BOOST_TEST(page.servers[1].isLeaving);
    BOOST_TEST(adapter.backendsTarget({}, page.next) == "/instances?page-token=p-50");
    BOOST_TEST(adapter.backendsTarget("apapa", {}) == "/instances?zone=apapa");
    BOOST_TEST(adapter.backendsTarget("apapa", page.next) == "/instances?zone=apapa&page-token=p-50");
    BOOST_TEST(!adapter.readBackends("{}").has_value());
    BOOST_TEST(adapter.readBackends(R"({"instances":[],"next":null})").value().next.empty());
}

BOOST_AUTO_TEST_CASE(responses_are_written)
{
    const PlatformAdapter adapter;
    BOOST_TEST(adapter.writeDirectory({"10.0.0.1:80"}, Milliseconds(2000))
               == R"({"addresses":["10.0.0.1:80"],"ttl-s":2E0})");
    BOOST_TEST(adapter.writeRetirement(true) == R"({"state":"completed"})");
}

// Guards against silent defaults: a timeout of "4 s" must not become no timeout.
BOOST_AUTO_TEST_CASE(a_field_of_a_wrong_type_or_out_of_range_is_rejected_by_name)
{
    const PlatformAdapter adapter;
    const auto errorAfterReplacing = [&](const std::string &from, const std::string &to) {
        std::string bytes = completeDocument;
        const std::size_t at = bytes.find(from);
        BOOST_REQUIRE(at != std::string::npos);
        bytes.replace(at, from.size(), to);
        const auto document = adapter.readDocument(bytes);
        return document ? std::string() : document.error().message;
    };
    const auto checkErrorNamesField = [&](const std::string &from, const std::string &to, const std::string &field) {
        const std::string message = errorAfterReplacing(from, to);
        BOOST_TEST(message.find("'" + field + "'") != std::string::npos, to << " gives: " << message);
    };
    checkErrorNamesField(R"("timeout-ms":4000)", R"("timeout-ms":"4 s")", "timeout-ms");
    checkErrorNamesField(R"("timeout-ms":4000)", R"("timeout-ms":-1)", "timeout-ms");
    checkErrorNamesField(R"("timeout-ms":4000)", R"("timeout-ms":1e300)", "timeout-ms");
    checkErrorNamesField(R"("priority":1)", R"("priority":0.5)", "priority");
    checkErrorNamesField(R"("max-attempts":1)", R"("max-attempts":5000000000)", "max-attempts");
    checkErrorNamesField(R"("weight":90)", R"("weight":-90)", "weight");
    checkErrorNamesField(R"("weight":90)", R"("weight":[90])", "weight");
    checkErrorNamesField(R"("retains-context":true)", R"("retains-context":"yes")", "retains-context");
    checkErrorNamesField(R"("host":"h.example")", R"("host":7)", "host");
    checkErrorNamesField(R"("version":7)", R"("version":7.5)", "version");
    checkErrorNamesField(R"("max-connections":180)", R"("max-connections":true)", "max-connections");
    checkErrorNamesField(R"("stride":10)", R"("stride":-10)", "stride");
    checkErrorNamesField(R"("idle-timeout-ms":15000)", R"("idle-timeout-ms":{})", "idle-timeout-ms");
    BOOST_TEST(errorAfterReplacing(R"("retention-s":60.0)", R"("retention-s":60.25)").empty());
    BOOST_TEST(errorAfterReplacing(R"("traffic-split":[)", R"("service":null,"traffic-split":[)").empty());
}

// Guards against a start that is taken from another place of a server's report, or read as a number that it is not.
BOOST_AUTO_TEST_CASE(the_incarnation_in_a_report_is_read_at_its_top_level_only)
{
    const PlatformAdapter adapter;
    const auto read = adapter.readReportedIncarnation(R"({"stage":"both","seq":2,"born":1765000000123,"handles":0})");
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value() == 1765000000123U);
    for (const std::string malformed :
         {"", "null", "[]", "7", "{", R"({"stage":"both"})", R"({"born":null})", R"({"born":0})", R"({"born":-1})",
          R"({"born":1.5})", R"({"born":"1765000000123"})", R"({"models":[{"born":1765000000123}]})",
          R"({"born":1765000000123}{})", R"({"born":1765000000)"}) {
        const auto unreadable = adapter.readReportedIncarnation(malformed);
        BOOST_TEST(!unreadable.has_value(), malformed);
        BOOST_TEST((unreadable.has_value() || unreadable.error().kind == ErrorKind::BackendFailed));
    }
}

namespace
{

const std::string validEntry
    = R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":16,"state":"ready","id":"i-1",
 "models":[{"name":"m","version":3,"adapters":[]}],"version":"v1.2","born":1765000000123})";

std::string pageWith(const std::string &entries)
{
    return R"({"instances":[)" + entries + R"(],"next":"p-50"})";
}

} // namespace

// Guards against requests to an address that is no backend server, and against losing the valid entries of the page.
BOOST_AUTO_TEST_CASE(a_malformed_list_entry_is_skipped_and_the_others_are_kept)
{
    const PlatformAdapter adapter;
    const auto replaced = [](const std::string &from, const std::string &to) {
        std::string entry = validEntry;
        entry.replace(entry.find(from), from.size(), to);
        return entry;
    };
    const std::vector<std::string> malformed {
        replaced(R"("id":"i-1")", R"("id":7)"),
        replaced(R"("id":"i-1")", R"("id":"")"),
        replaced(R"("id":"i-1",)", ""),
        replaced(R"("state":"ready")", R"("state":"asleep")"),
        replaced(R"("state":"ready",)", ""),
        replaced(R"("slots":16)", R"("slots":-16)"),
        replaced(R"("slots":16)", R"("slots":"16")"),
        replaced(R"("address":"10.0.0.9:80")", R"("address":"nowhere")"),
        replaced(R"("service":"s")", R"("service":{})"),
        replaced(R"("zone":"z")", R"("zone":[])"),
        replaced("1765000000123", "1765000000123.5"),
        replaced("1765000000123", "\"today\""),
        "null",
        "[]",
        R"("i-1")",
        // Invalid JSON: truncated, unquoted, and with invalid UTF-8.
        validEntry.substr(0, validEntry.size() / 2) + "}",
        R"({"id":"i-1","state":ready})",
        "{\"id\":\"\xff\xfe\",\"models\":[{\"a\":1},{\"b\":}]}",
    };
    for (const std::string &entry : malformed) {
        const std::string page = pageWith(validEntry + "," + entry + "," + validEntry);
        const auto read = adapter.readBackends(page);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read.value().servers.size() == 2U, entry);
        BOOST_TEST(read.value().skipped >= 1U, entry);
        BOOST_TEST(!read.value().reason.empty());
        BOOST_TEST(read.value().next == "p-50");
    }
    const auto valid = adapter.readBackends(pageWith(validEntry)).value();
    BOOST_TEST(valid.skipped == 0U);
    BOOST_TEST(valid.servers.front().incarnation == 1'765'000'000'123U);
    BOOST_TEST(valid.servers.front().softwareVersion == "v1.2");
}

// Guards against a list that ends early, which would count all later servers as gone.
BOOST_AUTO_TEST_CASE(a_page_without_a_readable_next_page_is_rejected)
{
    const PlatformAdapter adapter;
    const std::string page = pageWith(validEntry + ",{\"id\":}");
    BOOST_TEST(adapter.readBackends(page).has_value());
    BOOST_TEST(!adapter.readBackends(page.substr(0, page.find("\"next\""))).has_value());
    BOOST_TEST(!adapter.readBackends(R"({"instances":[],"next":7})").has_value());
}

// Guards against a list that was cut off on its way and removes the servers that it lacks.
BOOST_AUTO_TEST_CASE(a_list_that_is_cut_off_is_rejected)
{
    const std::string list
        = R"("instances":[{"id":"i-1","service":"s","address":"127.0.0.1:1","zone":"z","slots":1,)"
          R"("state":"ready","models":[{"name":"m","adapters":[]}]},)"
          R"({"id":"i-2","service":"s","address":"127.0.0.1:2","zone":"z","slots":1,"state":"ready"}])";
    const std::string next = R"("next":null)";
    const PlatformAdapter adapter;
    for (const std::string &page : {"{" + list + "," + next + "}", "{" + next + "," + list + "}"}) {
        BOOST_TEST(adapter.readBackends(page).value().servers.size() == 2U);
        std::string spoiled = page;
        spoiled.replace(spoiled.find("\"i-1\""), 5, "-oops");
        BOOST_TEST(adapter.readBackends(spoiled).value().servers.size() == 1U);
        for (std::size_t size = 0; size + 1 < page.size(); ++size) {
            const Result<BackendPage> read = adapter.readBackends(std::string_view(page).substr(0, size));
            // Behind the last entry nothing is missing.
            BOOST_TEST((!read || read.value().servers.size() == 2U), page.substr(0, size));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
