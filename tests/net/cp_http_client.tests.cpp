#include "support/cp_cut_answers.hpp"

#include <cardamompost/net/cp_http_client.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

//! A client on its own thread, and a server that answers each request with the next of the given responses.
class ClientTest
{
public:
    explicit ClientTest(std::vector<ScriptedResponse> responses)
        : responses_(std::move(responses))
        , server_([this](const ScriptedServer::Request & /*request*/) { return responses_.at(requests_++); })
    {
    }

    Result<HttpResponse> request(const std::string &method)
    {
        return run(method, [this](HttpCall call) { return client_.request(std::move(call)); });
    }
    Result<HttpResponse> stream(std::string &received)
    {
        return run("GET", [&](HttpCall call) {
            return client_.stream(std::move(call), [&received](std::string_view bytes) {
                received += bytes;
                return true;
            });
        });
    }

private:
    template<typename Send>
    Result<HttpResponse> run(const std::string &method, Send send)
    {
        HttpCall call;
        call.address = {"127.0.0.1", server_.port()};
        call.method = method;
        call.target = "/";
        call.timeout = Milliseconds(3000);
        boost::asio::io_context io;
        std::optional<Result<HttpResponse>> answer;
        auto store = [&]() -> boost::asio::awaitable<void> { answer = co_await send(std::move(call)); };
        boost::asio::co_spawn(io, store(), boost::asio::detached);
        io.run();
        return *answer;
    }

    std::vector<ScriptedResponse> responses_;
    std::size_t requests_ = 0;
    ScriptedServer server_;
    HttpClient client_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_client)

// Guards against an event stream that its server breaks off inside an event and that is returned as complete.
BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_is_an_error)
{
    for (const CutAnswer &answer : allCuts()) {
        // Without an event, the end of the connection is all there is to go by.
        const bool isEmpty
            = answer.sentBytes == 0 && answer.cut == CutKind::Close && answer.framing == AnswerFraming::Connection;
        const bool isWhole = answer.isWhole() || isEmpty;
        BOOST_TEST_CONTEXT(answer.description())
        {
            ClientTest test({answer.response("r"), answer.response("r")});
            const Result<HttpResponse> response = test.request("GET");
            BOOST_TEST(response.has_value() == isWhole);
            std::string received;
            const Result<HttpResponse> streamed = test.stream(received);
            BOOST_TEST(streamed.has_value() == isWhole);
            if (isWhole) {
                BOOST_TEST(response.value().body == answer.sent());
                BOOST_TEST(received == answer.sent());
            }
        }
    }
}

// Guards against bytes behind a response that are returned as the response to the next request.
BOOST_AUTO_TEST_CASE(a_connection_is_not_reused_after_more_bytes_than_the_response)
{
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    const std::string extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
    const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    constexpr Milliseconds untilAllHasArrived {10};
    for (std::size_t size = 0; size <= extra.size(); ++size) {
        ScriptedResponse spoiled {first + extra, ResponseEnd::KeepOpen, {first.size() + size}};
        ClientTest test({spoiled, {second, ResponseEnd::KeepOpen, {}}});
        BOOST_TEST(test.request("GET").value().body == "first");
        std::this_thread::sleep_for(untilAllHasArrived);
        BOOST_TEST(test.request("GET").value().body == "second", "after " << size << " bytes");
    }
}

// Guards against waiting for the body that a HEAD response announces.
BOOST_AUTO_TEST_CASE(a_response_to_head_has_no_body)
{
    ClientTest test({{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", ResponseEnd::KeepOpen, {}}});
    const Result<HttpResponse> response = test.request("HEAD");
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response.value().body.empty());
    BOOST_TEST(response.value().header("Content-Length") == "5");
}

// Guards against a server that takes the process's memory by what it sends besides the body.
BOOST_AUTO_TEST_CASE(a_response_with_a_very_long_chunk_extension_or_trailer_is_an_error)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(1U << 20U, 'x');
    for (const std::string &rest :
         {"2;" + filler + "\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n0\r\nX-Long: " + filler + "\r\n\r\n"}) {
        ClientTest test({{head + rest, ResponseEnd::KeepOpen, {}}});
        const Result<HttpResponse> answer = test.request("GET");
        BOOST_REQUIRE(!answer.has_value());
        BOOST_TEST((answer.error().kind == ErrorKind::BackendFailed));
    }
}

BOOST_AUTO_TEST_SUITE_END()
