#include "support/cp_cut_answer_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

ScriptedResponse answer(const std::string &status, const std::string &id, const std::string &headers = {})
{
    return {"HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\nServer-Signature: sig\r\n" + headers
                + "Content-Length: 6\r\n\r\nfailed",
            ResponseEnd::KeepOpen,
            {}};
}

const std::vector<std::string> promises {"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout"};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_promises)

// Guards against telling a caller that its request has not run, in the words of a server that may have run it.
BOOST_AUTO_TEST_CASE(a_promise_of_a_server_that_may_have_run_the_request_is_not_handed_out)
{
    CutAnswerCluster test;
    int number = 0;
    std::vector<std::string> statuses = promises;
    statuses.emplace_back("402 Payment Required");
    for (const std::string &status : statuses) {
        for (const std::string path : {"/tools/1", "/drafts/1", "/plans/1"}) {
            const bool isTurn = path == "/plans/1";
            if (status.starts_with("402") && !isTurn) {
                continue;
            }
            const std::string id = "p" + std::to_string(++number);
            test.script(id, {answer(status, id)});
            const ReceivedResponse received = test.request(id, path, isTurn);
            BOOST_TEST_CONTEXT(status << " on " << path)
            {
                BOOST_TEST(received.status == 502U);
                BOOST_TEST(received.isComplete);
                BOOST_TEST(!received.headers.contains("Server-Signature"));
                BOOST_TEST(test.attempts(id).size() == 1U);
            }
        }
    }
}

// Guards against a promise that is withheld from callers although the server keeps it, or that is of no consequence.
BOOST_AUTO_TEST_CASE(a_promise_is_handed_out_if_the_server_states_it_or_the_request_may_be_repeated)
{
    CutAnswerCluster test;
    int number = 0;
    for (const std::string &status : promises) {
        const std::string stated = "s" + std::to_string(++number);
        test.script(stated, {answer(status, stated, "Not-Executed: 1\r\n")});
        const ReceivedResponse refused = test.request(stated, "/tools/1");
        BOOST_TEST(refused.status == 503U);
        BOOST_TEST(refused.headers.contains("Retry-After"));
        const std::string safe = "r" + std::to_string(number);
        test.script(safe, {answer(status, safe)});
        const ReceivedResponse handedOut = test.request(safe, "/reads/1");
        BOOST_TEST(handedOut.status == static_cast<unsigned>(std::stoi(status)));
        BOOST_TEST(handedOut.body == "failed");
        BOOST_TEST(handedOut.headers.contains("Server-Signature"));
    }
    // A status that promises nothing stays as it is.
    test.script("own", {answer("500 Internal Server Error", "own")});
    BOOST_TEST(test.request("own", "/tools/1").status == 500U);
}

BOOST_AUTO_TEST_SUITE_END()
