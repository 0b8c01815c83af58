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

std::string faultOf(std::vector<Route> routes)
{
    const Result<void> checked = checkRouteDocument(document(std::move(routes)));
    return checked ? std::string() : checked.error().message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_table)

BOOST_AUTO_TEST_CASE(the_longest_prefix_that_begins_the_path_is_taken)
{
    const RouteTable table(document({route("/a/"), route("/a/b/"), route("/")}));
    BOOST_TEST(table.find("plans.example", "/a/b/c")->prefix == "/a/b/");
    BOOST_TEST(table.find("plans.example", "/a/bc")->prefix == "/a/");
    BOOST_TEST(table.find("plans.example", "/x")->prefix == "/");
}

BOOST_AUTO_TEST_CASE(a_host_is_found_in_any_case_and_with_a_port)
{
    const RouteTable table(document({route("/a/")}));
    BOOST_TEST(table.find("Plans.Example:8080", "/a/1") != nullptr);
    BOOST_TEST(table.find("other.example", "/a/1") == nullptr);
    BOOST_TEST(table.find("plans.example", "/b/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(shares_get_their_part_of_the_points)
{
    Route split = route("/a/");
    split.shares = {{"engines", 90}, {"tools", 10}, {"never", 0}};
    int tools = 0;
    for (std::uint64_t point = 0; point < 1000; ++point) {
        tools += RouteTable::pickService(split, point) == "tools" ? 1 : 0;
    }
    BOOST_TEST(tools == 100);
}

BOOST_AUTO_TEST_CASE(a_sound_document_passes)
{
    BOOST_TEST(faultOf({route("/a/"), route("/b/")}).empty());
}

BOOST_AUTO_TEST_CASE(each_fault_names_its_route)
{
    Route noTime = route("/a/");
    noTime.timeout = Milliseconds(0);
    BOOST_TEST(faultOf({noTime}) == "route 'route /a/': the time-out is 0");
    Route noWeight = route("/a/");
    noWeight.shares = {{"engines", 0}, {"tools", 0}};
    BOOST_TEST(faultOf({noWeight}) == "route 'route /a/': the weights add up to 0");
    BOOST_TEST(faultOf({route("/a/", "nobody")}) == "route 'route /a/': the service 'nobody' is not in the document");
    BOOST_TEST(faultOf({route("/a/"), route("/a/")})
               == "route 'route /a/': another route has the same host and path prefix");
    BOOST_TEST(faultOf({route("/a")}) == "route 'route /a': the path prefix must begin and end with a slash");
}

BOOST_AUTO_TEST_SUITE_END()
