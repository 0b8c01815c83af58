#include "gateway/cp_request_head.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

namespace http = boost::beast::http;

HeaderNames testNames()
{
    HeaderNames names;
    names.requestId = "X-Id";
    names.program = "X-Program";
    names.session = "X-Session";
    names.programTimeLeft = "X-Left";
    names.tokenBudget = "X-Budget";
    names.tokenUsage = "X-Usage";
    names.previousTurn = "X-Previous";
    names.deadline = "X-Deadline";
    names.expectedInstance = "X-Instance";
    names.notExecuted = "X-Not-Run";
    names.serverLoad = "X-Load";
    names.lastEventId = "Last-Event-ID";
    names.priority = "X-Priority";
    names.reserved = {"X-Hold"};
    return names;
}

CallerRequest parse(const std::string &text)
{
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(text), error);
    BOOST_REQUIRE(!error);
    return parser.release();
}

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_head)

BOOST_AUTO_TEST_CASE(what_the_caller_says_is_read)
{
    const RequestFacts facts
        = readFacts(parse("POST /a/ HTTP/1.1\r\nx-id: 9c\r\nX-Deadline: 4000\r\nX-Usage: 1460,80\r\n"
                          "X-Budget: 2320\r\nX-Left: -50\r\nX-Previous: p\r\n\r\n"),
                    testNames());
    BOOST_TEST(facts.id == "9c");
    BOOST_TEST(facts.callerTimeout->count() == 4000);
    BOOST_TEST(facts.tokensIn == 1460);
    BOOST_TEST(facts.tokensOutAtMost == 80);
    BOOST_TEST(facts.budget == 2320);
    BOOST_TEST(facts.programTimeLeft->count() == -50);
    BOOST_TEST(facts.previousTurn == "p");
}

// A number with something behind it, or none at all, was read as far as it went: a budget "ten" stood for no bound.
BOOST_AUTO_TEST_CASE(a_number_is_read_whole_or_not_at_all)
{
    BOOST_TEST(readNumber("4000").value() == 4000);
    BOOST_TEST(readNumber(" 4000 ").value() == 4000);
    BOOST_TEST(readNumber("-50").value() == -50);
    BOOST_TEST(readNumber("12.75").value() == 12);
    for (const std::string_view text : {"", " ", "ten", "12x", "1.2.3", "0x10", "1e3", "99999999999999999999", "nan"}) {
        BOOST_TEST(!readNumber(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(a_header_that_cannot_be_read_is_named)
{
    const auto faultOf = [](const std::string &header) {
        return readFacts(parse("POST /a/ HTTP/1.1\r\n" + header + "\r\n\r\n"), testNames()).fault;
    };
    BOOST_TEST(faultOf("X-Budget: 10").empty());
    BOOST_TEST(faultOf("X-Budget: ten") == "X-Budget");
    BOOST_TEST(faultOf("X-Budget: -1") == "X-Budget");
    BOOST_TEST(faultOf("X-Usage: 1460") == "X-Usage");
    BOOST_TEST(faultOf("X-Usage: 1460,-80") == "X-Usage");
    BOOST_TEST(faultOf("X-Deadline: soon") == "X-Deadline");
    BOOST_TEST(faultOf("X-Left: -50").empty());
    BOOST_TEST(faultOf("X-Left: late") == "X-Left");
}

// A server reported "-3" running requests, and looked as busy as can be for good: it got no request any more.
BOOST_AUTO_TEST_CASE(a_report_of_load_that_makes_no_sense_is_none)
{
    const std::optional<LoadReport> load = readLoad("3, 1, 8");
    BOOST_REQUIRE(load.has_value());
    BOOST_TEST(load->running == 3U);
    BOOST_TEST(load->waiting == 1U);
    for (const std::string_view text : {"", "3", "-3,0,8", "3,-1,8", "3x,0,8", "5000000000,0,8", "busy,0,8"}) {
        BOOST_TEST(!readLoad(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(a_time_for_which_connections_are_kept_is_never_out_of_bounds)
{
    BOOST_TEST(readKeepAlive("timeout=5, max=100")->count() == 5000);
    BOOST_TEST(readKeepAlive("max=100, timeout=7")->count() == 7000);
    BOOST_TEST(!readKeepAlive("max=100").has_value());
    for (const std::string_view text : {"timeout=-5", "timeout=soon", "timeout=", "timeout=99999999999999999999"}) {
        BOOST_TEST(readKeepAlive(text)->count() == 0, text);
    }
    BOOST_TEST(readKeepAlive("timeout=999999999")->count() == 3'600'000);
}

// A caller sets what only the system may set, by name or through its Connection header, and names a deadline that has
// partly passed: a replica would run the request under another's reservation, or work longer than anybody waits.
BOOST_AUTO_TEST_CASE(headers_that_are_the_systems_or_one_connections_are_not_passed_on)
{
    const CallerRequest request
        = parse("POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nX-Id: 9c\r\nX-Hold: 1\r\nX-Deadline: 4000\r\n"
                "X-Priority: 0\r\nConnection: keep-alive, X-Secret\r\nX-Secret: s\r\n"
                "Transfer-Encoding: chunked\r\nX-Other: o\r\n\r\n0\r\n\r\n");
    SendFacts facts;
    facts.expectedInstance = "i-1";
    facts.timeLeft = Milliseconds(3500);
    facts.priority = 5;
    facts.bodyBytes = 12;
    const std::string head = makeBackendHead(request, testNames(), facts);
    BOOST_TEST(head.starts_with("POST /a/b?c=1 HTTP/1.1\r\n"));
    BOOST_TEST(has(head, "X-Id: 9c\r\n"));
    BOOST_TEST(has(head, "X-Other: o\r\n"));
    BOOST_TEST(has(head, "X-Deadline: 3500\r\n"));
    BOOST_TEST(!has(head, "4000"));
    BOOST_TEST(has(head, "X-Instance: i-1\r\n"));
    BOOST_TEST(has(head, "X-Priority: 5\r\n"));
    BOOST_TEST(!has(head, "X-Priority: 0"));
    BOOST_TEST(has(head, "Content-Length: 12\r\n"));
    BOOST_TEST(!has(head, "X-Hold"));
    BOOST_TEST(!has(head, "X-Secret"));
    BOOST_TEST(!has(head, "chunked"));
    BOOST_TEST(head.ends_with("\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(an_answer_keeps_its_status_and_headers_but_not_its_framing)
{
    http::response<http::empty_body> answer(static_cast<http::status>(500), 11);
    answer.set("X-Signature", "s");
    answer.set("X-Load", "1,0,8");
    answer.set(http::field::connection, "close");
    answer.set(http::field::content_length, "3");
    const std::string whole = makeCallerHead(answer.base(), testNames(), {3, true});
    BOOST_TEST(whole.starts_with("HTTP/1.1 500 "));
    BOOST_TEST(has(whole, "X-Signature: s\r\n"));
    BOOST_TEST(has(whole, "Content-Length: 3\r\n"));
    BOOST_TEST(!has(whole, "X-Load"));
    BOOST_TEST(!has(whole, "close"));
    const std::string streamed = makeCallerHead(answer.base(), testNames(), {std::nullopt, false});
    BOOST_TEST(has(streamed, "Transfer-Encoding: chunked\r\n"));
    BOOST_TEST(has(streamed, "Connection: close\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()
