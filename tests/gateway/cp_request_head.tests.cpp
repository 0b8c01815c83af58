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
    names.promptSource = "X-Source";
    names.reserved = {"X-Hold", "X-Source"};
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

BOOST_AUTO_TEST_CASE(request_metadata_is_parsed_from_headers)
{
    const RequestMetadata metadata
        = parseRequestMetadata(parse("POST /a/ HTTP/1.1\r\nx-id: 9c\r\nX-Deadline: 4000\r\nX-Usage: 1460,80\r\n"
                                     "X-Budget: 2320\r\nX-Left: -50\r\nX-Previous: p\r\n\r\n"),
                               testNames());
    BOOST_TEST(metadata.id == "9c");
    BOOST_TEST(metadata.callerTimeout->count() == 4000);
    BOOST_TEST(metadata.tokensIn == 1460);
    BOOST_TEST(metadata.maxOutputTokens == 80);
    BOOST_TEST(metadata.budget == 2320);
    BOOST_TEST(metadata.programTimeLeft->count() == -50);
    BOOST_TEST(metadata.previousTurn == "p");
}

// A malformed number must not be parsed up to its first invalid character: a budget of "ten" would mean no budget.
BOOST_AUTO_TEST_CASE(a_number_is_parsed_completely_or_rejected)
{
    BOOST_TEST(readNumber("4000").value() == 4000);
    BOOST_TEST(readNumber(" 4000 ").value() == 4000);
    BOOST_TEST(readNumber("-50").value() == -50);
    BOOST_TEST(readNumber("12.75").value() == 12);
    for (const std::string_view text : {"", " ", "ten", "12x", "1.2.3", "0x10", "1e3", "99999999999999999999", "nan"}) {
        BOOST_TEST(!readNumber(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(a_malformed_header_is_reported_by_name)
{
    const auto malformedHeaderOf = [](const std::string &header) {
        return parseRequestMetadata(parse("POST /a/ HTTP/1.1\r\n" + header + "\r\n\r\n"), testNames()).malformedHeader;
    };
    BOOST_TEST(malformedHeaderOf("X-Budget: 10").empty());
    BOOST_TEST(malformedHeaderOf("X-Budget: ten") == "X-Budget");
    BOOST_TEST(malformedHeaderOf("X-Budget: -1") == "X-Budget");
    BOOST_TEST(malformedHeaderOf("X-Usage: 1460") == "X-Usage");
    BOOST_TEST(malformedHeaderOf("X-Usage: 1460,-80") == "X-Usage");
    BOOST_TEST(malformedHeaderOf("X-Deadline: soon") == "X-Deadline");
    BOOST_TEST(malformedHeaderOf("X-Left: -50").empty());
    BOOST_TEST(malformedHeaderOf("X-Left: late") == "X-Left");
}

// A negative count would wrap to a huge load, and the server would get no more requests.
BOOST_AUTO_TEST_CASE(an_invalid_load_report_is_rejected)
{
    const std::optional<LoadReport> load = readLoad("3, 1, 8");
    BOOST_REQUIRE(load.has_value());
    BOOST_TEST(load->running == 3U);
    BOOST_TEST(load->waiting == 1U);
    for (const std::string_view text : {"", "3", "-3,0,8", "3,-1,8", "3x,0,8", "5000000000,0,8", "busy,0,8"}) {
        BOOST_TEST(!readLoad(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(a_keep_alive_timeout_is_clamped_to_its_bounds)
{
    BOOST_TEST(readKeepAlive("timeout=5, max=100")->count() == 5000);
    BOOST_TEST(readKeepAlive("max=100, timeout=7")->count() == 7000);
    BOOST_TEST(!readKeepAlive("max=100").has_value());
    for (const std::string_view text : {"timeout=-5", "timeout=soon", "timeout=", "timeout=99999999999999999999"}) {
        BOOST_TEST(readKeepAlive(text)->count() == 0, text);
    }
    BOOST_TEST(readKeepAlive("timeout=999999999")->count() == 3'600'000);
}

// Forwarding a caller's reserved headers could run a request under another's reservation, and forwarding its original
// deadline could run it for longer than the caller waits.
BOOST_AUTO_TEST_CASE(reserved_and_hop_by_hop_headers_are_not_forwarded)
{
    const CallerRequest request
        = parse("POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nX-Id: 9c\r\nX-Hold: 1\r\nX-Deadline: 4000\r\n"
                "X-Priority: 0\r\nConnection: keep-alive, X-Secret\r\nX-Secret: s\r\n"
                "Transfer-Encoding: chunked\r\nX-Other: o\r\n\r\n0\r\n\r\n");
    BackendHeadOptions options;
    options.expectedInstance = "i-1";
    options.timeLeft = Milliseconds(3500);
    options.priority = 5;
    options.bodyBytes = 12;
    const std::string head = makeBackendHead(request, testNames(), options);
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

// Guards against callers that make an engine connect to an address of theirs.
BOOST_AUTO_TEST_CASE(the_source_of_a_prompt_is_set_by_the_gateway_only)
{
    const CallerRequest request
        = parse("POST /a/ HTTP/1.1\r\nX-Id: 9c\r\nx-source: 10.9.9.9:1\r\nX-Source: 10.9.9.9:2\r\n\r\n");
    BackendHeadOptions options;
    BOOST_TEST(!has(makeBackendHead(request, testNames(), options), "ource"));
    options.promptSource = "10.0.0.1:8080";
    const std::string head = makeBackendHead(request, testNames(), options);
    const std::size_t position = head.find("X-Source: 10.0.0.1:8080\r\n");
    BOOST_REQUIRE(position != std::string::npos);
    BOOST_TEST(!has(head, "10.9.9.9"));
    BOOST_TEST(head.find("X-Source", position + 1) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_response_keeps_its_status_and_headers_but_not_its_framing)
{
    http::response<http::empty_body> response(static_cast<http::status>(500), 11);
    response.set("X-Signature", "s");
    response.set("X-Load", "1,0,8");
    response.set(http::field::connection, "close");
    response.set(http::field::content_length, "3");
    const std::string fixedLength = makeCallerHead(response.base(), testNames(), {3, true, true});
    BOOST_TEST(fixedLength.starts_with("HTTP/1.1 500 "));
    BOOST_TEST(has(fixedLength, "X-Signature: s\r\n"));
    BOOST_TEST(has(fixedLength, "Content-Length: 3\r\n"));
    BOOST_TEST(!has(fixedLength, "X-Load"));
    BOOST_TEST(!has(fixedLength, "close"));
    const std::string chunked = makeCallerHead(response.base(), testNames(), {std::nullopt, false, true});
    BOOST_TEST(has(chunked, "Transfer-Encoding: chunked\r\n"));
    BOOST_TEST(has(chunked, "Connection: close\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()
