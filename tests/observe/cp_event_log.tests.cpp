#include <cardamompost/observe/cp_event_log.hpp>

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace cardamompost;

namespace
{

//! Parses each line of a log file; fails the test for a line that is not JSON.
std::vector<boost::json::object> readLines(const std::string &file)
{
    std::vector<boost::json::object> lines;
    std::ifstream input(file);
    for (std::string line; std::getline(input, line);) {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(line, error);
        BOOST_REQUIRE(!error);
        lines.push_back(value.as_object());
    }
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_log)

// Ids and error texts are untrusted: a quote or a line feed in one must not produce a line that a log collector drops.
BOOST_AUTO_TEST_CASE(every_line_is_one_json_object_for_any_field_value)
{
    const std::string file
        = (std::filesystem::temp_directory_path() / ("cardamompost-log-" + std::to_string(::getpid()))).string();
    const std::vector<std::string> texts {"plain",
                                          "a \"quoted\" one",
                                          "line\nfeed",
                                          "back\\slash",
                                          "tab\t",
                                          "Dakar \u00e9",
                                          std::string("nul\0end", 7),
                                          "\x7f",
                                          ""};
    {
        EventLog log("vm \"1\"", file, "info");
        for (const std::string &item : texts) {
            log.info("request.end", {{"id", item}, {"key \"odd\"", 1}});
        }
        log.warn("numbers",
                 {{"negative", -5},
                  {"large", std::uint64_t(18'446'744'073'709'551'615U)},
                  {"half", 0.5},
                  {"yes", true},
                  {"none", nullptr},
                  {"list", boost::json::array {1, "two"}}});
        log.debug("left.out");
    }
    const std::vector<boost::json::object> lines = readLines(file);
    std::filesystem::remove(file);
    BOOST_REQUIRE(lines.size() == texts.size() + 1);
    for (std::size_t i = 0; i < texts.size(); ++i) {
        BOOST_TEST(std::string(lines[i].at("id").as_string()) == texts[i]);
        BOOST_TEST(lines[i].at("key \"odd\"").as_int64() == 1);
        BOOST_TEST(std::string(lines[i].at("vm").as_string()) == "vm \"1\"");
        BOOST_TEST(std::string(lines[i].at("event").as_string()) == "request.end");
        BOOST_TEST(lines[i].at("time").as_string().size() == std::string_view("2026-12-02T00:00:00.000Z").size());
    }
    const boost::json::object &numbers = lines.back();
    BOOST_TEST(std::string(numbers.at("level").as_string()) == "warning");
    BOOST_TEST(numbers.at("negative").as_int64() == -5);
    BOOST_TEST(numbers.at("large").as_uint64() == 18'446'744'073'709'551'615U);
    BOOST_TEST(numbers.at("half").as_double() == 0.5);
    BOOST_TEST(numbers.at("yes").as_bool());
    BOOST_TEST(numbers.at("none").is_null());
    BOOST_TEST(numbers.at("list").as_array().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
