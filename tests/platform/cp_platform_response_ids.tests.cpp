#include "support/cp_cut_answer_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

std::string response(const std::string &status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

std::string ownResponse(const std::string &id)
{
    return response("200 OK", "Request-Id: " + id + "\r\nServer-Signature: sig-" + id + "\r\n", "done-" + id);
}

//! Responses without the id of any request.
const std::vector<std::string> unidentified {
    response("200 OK", "Instance-Id: i-1\r\nServer-Load: 3,0,16\r\n", {}),
    response("200 OK", "Server-Signature: sig-other\r\n", "of another request"),
    response("400 Bad Request", "Not-Executed: 1\r\n", {}),
    response("503 Service Unavailable", "Not-Executed: 1\r\n", {}),
    response("421 Misdirected Request", {}, {}),
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_response_ids)

// Guards against bytes after a complete response that are taken for the response to the next request.
BOOST_AUTO_TEST_CASE(a_response_without_an_id_does_not_answer_the_next_request_on_its_connection)
{
    CutAnswerCluster test;
    int number = 0;
    for (const std::string &extra : unidentified) {
        const std::string first = "a" + std::to_string(++number);
        const std::string second = "b" + std::to_string(number);
        test.script(first, {{ownResponse(first), ResponseEnd::KeepOpen, {}}});
        test.script(second, {{extra + ownResponse(second), ResponseEnd::KeepOpen, {}}});
        BOOST_TEST(test.request(first, "/tools/1").status == 200U);
        const ReceivedResponse received = test.request(second, "/tools/1");
        BOOST_TEST_CONTEXT(extra)
        {
            BOOST_TEST(received.status == 200U);
            BOOST_TEST(received.body == "done-" + second);
            BOOST_TEST(test.attempts(second).size() == 1U);
        }
    }
}

// Guards against a success that no server signed, and a refusal that sends a request to a second server.
BOOST_AUTO_TEST_CASE(a_response_without_an_id_on_a_new_connection_fails_the_request)
{
    int number = 0;
    for (const std::string &bytes : unidentified) {
        CutAnswerCluster test;
        const std::string id = "c" + std::to_string(++number);
        test.script(id, {{bytes, ResponseEnd::KeepOpen, {}}});
        const ReceivedResponse received = test.request(id, "/tools/1");
        BOOST_TEST_CONTEXT(bytes)
        {
            BOOST_TEST(received.status == 502U);
            BOOST_TEST(test.attempts(id).size() == 1U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
