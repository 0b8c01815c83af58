#include <cardamompost/routing/cp_route_table.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

Route route(std::string prefix, std::string service = "engines")
{
    Route result;
    result.name = "route " + prefix;
    result.host = "plans.example";
    result.prefix = std::move(prefix);
    result.timeout = Milliseconds(1000);
    result.shares = {{std::move(service), 1}};
    return result;
}

BackendService service(std::string name)
{
    BackendService result;
    result.name = std::move(name);
    return result;
}

RouteDocument document(std::vector<Route> routes)
{
    RouteDocument result;
    result.version = 7;
    result.routes = std::move(routes);
    result.services = {service("engines"), service("tools")};
    return result;
}

std::string validationError(std::vector<Route> routes)
{
    const Result<void> checked = checkRouteDocument(document(std::move(routes)));
    return checked ? std::string() : checked.error().message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_table)

BOOST_AUTO_TEST_CASE(the_longest_matching_prefix_wins)
{
    const RouteTable table(document({route("/a/"), route("/a/b/"), route("/")}));
    BOOST_TEST(table.find("plans.example", "/a/b/c")->prefix == "/a/b/");
    BOOST_TEST(table.find("plans.example", "/a/bc")->prefix == "/a/");
    BOOST_TEST(table.find("plans.example", "/x")->prefix == "/");
}

BOOST_AUTO_TEST_CASE(hosts_match_case_insensitively_and_ignoring_the_port)
{
    const RouteTable table(document({route("/a/")}));
    BOOST_TEST(table.find("Plans.Example:8080", "/a/1") != nullptr);
    BOOST_TEST(table.find("other.example", "/a/1") == nullptr);
    BOOST_TEST(table.find("plans.example", "/b/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(requests_are_split_by_weight)
{
    Route split = route("/a/");
    split.shares = {{"engines", 90}, {"tools", 10}, {"never", 0}};
    int tools = 0;
    for (std::uint64_t hash = 0; hash < 1000; ++hash) {
        tools += RouteTable::pickService(split, hash) == "tools" ? 1 : 0;
    }
    BOOST_TEST(tools == 100);
}

BOOST_AUTO_TEST_CASE(a_valid_document_is_accepted)
{
    BOOST_TEST(validationError({route("/a/"), route("/b/")}).empty());
}

BOOST_AUTO_TEST_CASE(validation_errors_name_the_route)
{
    Route zeroTimeout = route("/a/");
    zeroTimeout.timeout = Milliseconds(0);
    BOOST_TEST(validationError({zeroTimeout}) == "route 'route /a/': the timeout must be positive");
    Route zeroWeights = route("/a/");
    zeroWeights.shares = {{"engines", 0}, {"tools", 0}};
    BOOST_TEST(validationError({zeroWeights}) == "route 'route /a/': the weights of the services add up to 0");
    BOOST_TEST(validationError({route("/a/", "nobody")}) == "route 'route /a/': the document has no service 'nobody'");
    BOOST_TEST(validationError({route("/a/"), route("/a/")})
               == "route 'route /a/': another route has the same host and path prefix");
    BOOST_TEST(validationError({route("/a")}) == "route 'route /a': the path prefix must begin and end with a slash");
}

BOOST_AUTO_TEST_SUITE_END()
