#include "support/cp_cut_answer_cluster.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <random>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

//! Checks that the caller takes the answer for complete only if it is whole, that a whole one arrives unchanged, and
//! that a caller who got nothing gets a status.
void checkReceived(const ReceivedResponse &received, const CutAnswer &answer)
{
    BOOST_TEST_CONTEXT(answer.description())
    {
        if (answer.isWhole()) {
            BOOST_TEST(received.status == answer.status);
            BOOST_TEST(received.isComplete);
            BOOST_TEST(received.body == answer.sent());
        } else if (received.isComplete) {
            BOOST_TEST(received.status == 502U);
        } else {
            BOOST_TEST(received.status == answer.status);
            BOOST_TEST(!received.body.empty());
            BOOST_TEST(answer.body().starts_with(received.body));
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_cut_answers)

// Guards against a stream that its server breaks off and that looks complete to its caller.
BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_does_not_look_complete)
{
    CutAnswerCluster test;
    std::size_t number = 0;
    std::size_t whole = 0;
    for (const std::string path : {"/drafts/1", "/resumes/1"}) {
        for (const CutAnswer &answer : allCuts()) {
            const std::string id = "c" + std::to_string(++number);
            test.script(id, {answer.response(id)});
            checkReceived(test.request(id, path), answer);
            whole += answer.isWhole() ? 1 : 0;
        }
    }
    BOOST_TEST(GatewayCluster::eventually([&] { return test.cluster.logCount("request.end") >= number; }));
    BOOST_TEST(test.cluster.matchingLogCount("request.end", R"("cause":"answered")") == whole);
}

// Guards against a turn that its server breaks off and that is stored as the turn to continue from.
BOOST_AUTO_TEST_CASE(a_turn_that_ends_inside_an_event_is_not_stored)
{
    struct Turn {
        ReceivedResponse received;
        //! Status of a turn that continues from it.
        unsigned nextStatus = 0;
    };
    constexpr std::size_t turnsAtOnce = 16;
    CutAnswerCluster test;
    const auto run = [&test](const CutAnswer &answer, const std::string &id) {
        CutAnswer whole {twoEvents("\n"), AnswerFraming::Length, CutKind::Framed};
        whole.sentBytes = whole.body().size();
        const std::string next = id + "-next";
        test.script(id, {answer.response(id)});
        test.script(next, {whole.response(next)});
        Turn turn;
        turn.received = test.request(id, "/plans/1", true);
        HttpHeaders headers = CutAnswerCluster::headers(next, true);
        headers["Previous-Turn"] = id;
        turn.nextStatus = RawCaller(test.entry).call("POST", "/plans/1", headers, "in").status;
        return turn;
    };
    const std::vector<CutAnswer> answers = allCuts();
    for (std::size_t first = 0; first < answers.size(); first += turnsAtOnce) {
        std::vector<std::future<Turn>> turns;
        for (std::size_t i = first; i < std::min(first + turnsAtOnce, answers.size()); ++i) {
            turns.push_back(std::async(std::launch::async, run, answers[i], "t" + std::to_string(i)));
        }
        for (std::size_t i = 0; i < turns.size(); ++i) {
            const Turn turn = turns[i].get();
            const CutAnswer &answer = answers[first + i];
            checkReceived(turn.received, answer);
            BOOST_TEST(turn.nextStatus == (answer.isWhole() ? 200U : 404U));
        }
    }
}

// Guards against a failure, or another body, that is passed on as the rest of a stream.
BOOST_AUTO_TEST_CASE(a_stream_is_continued_only_with_events)
{
    CutAnswerCluster test(2);
    CutAnswer cut {twoEvents("\n"), AnswerFraming::Connection, CutKind::Close};
    cut.sentBytes = cut.events.front().size() + 4;
    int number = 0;
    for (const unsigned status : {500U, 404U, 200U}) {
        for (const AnswerFraming framing : {AnswerFraming::Length, AnswerFraming::Chunks, AnswerFraming::Connection}) {
            CutAnswer other {{"{\"error\":\"x\"}"}, framing};
            other.status = status;
            other.isEventStream = false;
            other.sentBytes = other.body().size();
            other.cut = framing == AnswerFraming::Connection ? CutKind::Close : CutKind::Framed;
            const std::string id = "f" + std::to_string(++number);
            test.script(id, {cut.response(id), other.response(id)});
            const ReceivedResponse received = test.request(id, "/resumes/1");
            BOOST_TEST((test.attempts(id) == std::vector<std::string> {"", "1"}));
            BOOST_TEST(!received.isComplete);
            BOOST_TEST(received.body == cut.events.front());
        }
    }
}

// Guards against a large response that ends at its first read without body bytes.
BOOST_AUTO_TEST_CASE(a_large_response_in_small_chunks_arrives_whole)
{
    constexpr std::size_t bodyBytes = 1U << 20U;
    CutAnswerCluster test;
    for (const std::string path : {"/tools/1", "/reads/1", "/resumes/1"}) {
        CutAnswer whole {{std::string(bodyBytes, 'x')}, AnswerFraming::Chunks, CutKind::Framed};
        whole.isEventStream = false;
        whole.sentBytes = bodyBytes;
        const std::string id = "l" + path;
        test.script(id, {whole.response(id)});
        const ReceivedResponse received = test.request(id, path);
        BOOST_TEST(received.status == 200U);
        BOOST_TEST(received.isComplete);
        BOOST_TEST(received.body.size() == bodyBytes);
    }
}

// Guards against a response that breaks off after its first part was sent, and is sent again from its start behind it.
BOOST_AUTO_TEST_CASE(a_body_that_has_begun_is_not_sent_twice)
{
    constexpr std::size_t bodyBytes = 1U << 20U;
    CutAnswerCluster test(2);
    int number = 0;
    for (const std::string path : {"/reads/1", "/resumes/1"}) {
        for (const AnswerFraming framing : {AnswerFraming::Length, AnswerFraming::Chunks, AnswerFraming::Connection}) {
            CutAnswer whole {{std::string(bodyBytes, 'x')}, framing, CutKind::Framed};
            whole.isEventStream = false;
            whole.sentBytes = bodyBytes;
            CutAnswer cut = whole;
            cut.sentBytes = bodyBytes - 1;
            cut.cut = CutKind::Close;
            if (framing == AnswerFraming::Connection) {
                cut.cut = CutKind::Reset;
                whole.cut = CutKind::Close;
            }
            const std::string id = "b" + std::to_string(++number);
            test.script(id, {cut.response(id), whole.response(id)});
            const ReceivedResponse received = test.request(id, path);
            BOOST_TEST(whole.body().starts_with(received.body));
            // A reset may overtake the body. The response has then not begun, and is sent again.
            const bool maySendAgain = cut.cut == CutKind::Reset && received.body.size() == bodyBytes;
            BOOST_TEST(received.isComplete == maySendAgain);
            BOOST_TEST(test.attempts(id).size() == (maySendAgain ? 2U : 1U));
        }
    }
}

// Guards against events that arrive twice because none of them names the place from which to continue.
BOOST_AUTO_TEST_CASE(a_stream_without_event_ids_is_not_continued)
{
    CutAnswerCluster test(2);
    const std::vector<std::vector<std::string>> streams {{"data: a\n\n", "data: b\n\n"},
                                                         {"id: 1\ndata: a\n\n", "data: b\n\n", "data: c\n\n"}};
    for (std::size_t i = 0; i < streams.size(); ++i) {
        CutAnswer whole {streams[i], AnswerFraming::Chunks, CutKind::Framed};
        whole.sentBytes = whole.body().size();
        CutAnswer cut {streams[i], AnswerFraming::Connection, CutKind::Close};
        cut.sentBytes = whole.sentBytes - streams[i].back().size() + 1;
        const std::string id = "n" + std::to_string(i);
        test.script(id, {cut.response(id), whole.response(id)});
        const ReceivedResponse received = test.request(id, "/resumes/1");
        BOOST_TEST(test.attempts(id).size() == 1U);
        BOOST_TEST(!received.isComplete);
        BOOST_TEST(received.body == cut.sent().substr(0, cut.sentBytes - 1));
    }
}

// Guards against a body, or the length of one, in a response that has none: the caller takes it for the next response.
BOOST_AUTO_TEST_CASE(a_response_without_a_body_is_passed_on_without_one)
{
    struct Bodyless {
        std::string method;
        std::string status;
    };
    CutAnswerCluster test;
    int number = 0;
    for (const Bodyless &kind : {Bodyless {"HEAD", "200"}, Bodyless {"HEAD", "404"}, Bodyless {"POST", "204"}}) {
        for (const std::string path : {"/tools/1", "/reads/1", "/drafts/1", "/resumes/1", "/plans/1"}) {
            for (const std::string framing : {"Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
                if (kind.status == "204" && !framing.empty()) {
                    continue;
                }
                const std::string id = "h" + std::to_string(++number);
                const std::string head = "HTTP/1.1 " + kind.status + " Some\r\nRequest-Id: " + id
                    + "\r\nServer-Signature: sig\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n";
                test.script(id, {{head, ResponseEnd::KeepOpen, {}}});
                CutAnswer whole {twoEvents("\n"), AnswerFraming::Length, CutKind::Framed};
                whole.sentBytes = whole.body().size();
                test.script(id + "-next", {whole.response(id + "-next")});
                RawCaller caller(test.entry);
                const bool isTurn = path == "/plans/1";
                ReceivedResponse received = caller.call(kind.method, path, CutAnswerCluster::headers(id, isTurn), "");
                BOOST_TEST_CONTEXT(kind.method << " " << path << " " << head)
                {
                    BOOST_TEST(std::to_string(received.status) == kind.status);
                    BOOST_TEST(received.isComplete);
                    const std::string stated = framing.starts_with("Content-Length") ? "12" : "";
                    BOOST_TEST(received.headers["Content-Length"] == stated);
                    const ReceivedResponse next
                        = caller.call("POST", "/tools/1", CutAnswerCluster::headers(id + "-next", false), "in");
                    BOOST_TEST(next.status == 200U);
                    BOOST_TEST(next.body == whole.body());
                }
            }
        }
    }
}

// Guards against a reset that only the request's writer notices: its reader then sees an ordinary end of the response.
BOOST_AUTO_TEST_CASE(a_response_that_is_reset_while_its_request_is_written_does_not_look_complete)
{
    constexpr std::size_t requestBytes = 16U << 20U;
    constexpr int requests = 40;
    CutAnswerCluster test;
    std::string large = document(4);
    const std::string limit = R"("max-body-bytes":100000)";
    large.replace(large.find(limit), limit.size(), R"("max-body-bytes":33554432)");
    test.cluster.put(large);
    BOOST_REQUIRE(GatewayCluster::eventually([&] {
        const std::string body(limit.size() + 200'000, 'x');
        test.script("probe",
                    {{"HTTP/1.1 200 OK\r\nRequest-Id: probe\r\nContent-Length: 0\r\n\r\n", ResponseEnd::KeepOpen, {}}});
        return RawCaller(test.entry).call("POST", "/tools/1", CutAnswerCluster::headers("probe", false), body).status
            == 200;
    }));
    const std::string body(requestBytes, 'x');
    for (int i = 0; i < requests; ++i) {
        CutAnswer cut {{"a part of it"}, AnswerFraming::Connection, CutKind::Reset};
        cut.isEventStream = false;
        cut.sentBytes = cut.body().size();
        const std::string id = "w" + std::to_string(i);
        ScriptedResponse response = cut.response(id);
        response.readsBody = false;
        response.pauses = {1};
        test.script(id, {response});
        const ReceivedResponse received
            = RawCaller(test.entry).call("POST", "/tools/1", CutAnswerCluster::headers(id, false), body);
        BOOST_TEST((received.status == 502U || !received.isComplete));
    }
}

// Guards against an answer that is read differently depending on how its bytes are split.
BOOST_AUTO_TEST_CASE(randomly_split_answers_look_complete_only_if_they_are_whole)
{
    constexpr unsigned seed = 58;
    constexpr int answers = 600;
    CutAnswerCluster test;
    std::mt19937 random(seed);
    const auto draw = [&random](std::size_t limit) { return random() % limit; };
    const std::array<std::string, 3> lineEnds {"\n", "\r\n", "\r"};
    const std::array<std::string, 5> paths {"/drafts/1", "/resumes/1", "/plans/1", "/reads/1", "/tools/1"};
    for (int i = 0; i < answers; ++i) {
        const std::string &lineEnd = lineEnds.at(draw(lineEnds.size()));
        const std::string &path = paths.at(draw(paths.size()));
        CutAnswer answer;
        for (std::size_t event = 1; event <= 1 + draw(4); ++event) {
            answer.events.push_back("id: " + std::to_string(event) + lineEnd + "data: " + std::string(draw(40), 'x')
                                    + lineEnd + lineEnd);
        }
        answer.framing = AnswerFraming(draw(3));
        answer.cut = CutKind(draw(answer.framing == AnswerFraming::Connection ? 2 : 3));
        const std::size_t size = answer.body().size();
        answer.sentBytes = draw(2) == 0 ? size : draw(size + 1);
        answer.status = draw(5) == 0 ? 500 : 200;
        // Only a stream is read as events.
        const bool isStreamRoute = path != "/reads/1" && path != "/tools/1";
        answer.isEventStream = isStreamRoute && answer.status == 200;
        const std::string id = "s" + std::to_string(i);
        ScriptedResponse response = answer.response(id);
        for (std::size_t pause = draw(6); pause > 0; --pause) {
            response.pauses.insert(1 + draw(response.bytes.size() - 1));
        }
        test.script(id, {response});
        checkReceived(test.request(id, path, path == "/plans/1"), answer);
    }
}

// Guards against a response that is cut off in its head and relayed as an answer.
BOOST_AUTO_TEST_CASE(a_response_that_ends_in_its_head_becomes_a_failure)
{
    CutAnswerCluster test;
    int number = 0;
    for (const std::string path : {"/drafts/1", "/tools/1"}) {
        for (const AnswerFraming framing : {AnswerFraming::Length, AnswerFraming::Chunks, AnswerFraming::Connection}) {
            const CutAnswer answer {twoEvents("\n"), framing, CutKind::Close};
            const std::string head = answer.response("id").bytes;
            for (const ResponseEnd end : {ResponseEnd::Close, ResponseEnd::Reset}) {
                for (std::size_t size = 0; size < head.size(); size += 3) {
                    const std::string id = "e" + std::to_string(++number);
                    test.script(id, {{head.substr(0, size), end, {}}});
                    const ReceivedResponse received = test.request(id, path);
                    BOOST_TEST(received.status == 502U);
                    BOOST_TEST(received.isComplete);
                }
            }
        }
    }
}

// Guards against a resumed stream that is cut off and looks complete, and against one with nothing left that does not.
BOOST_AUTO_TEST_CASE(a_stream_that_its_caller_resumes_is_complete_only_at_its_end)
{
    CutAnswerCluster test;
    CutAnswer begun {twoEvents("\n"), AnswerFraming::Connection, CutKind::Close};
    begun.sentBytes = begun.body().size() - 1;
    test.script("begun", {begun.response("begun")});
    BOOST_TEST(!test.request("begun", "/resumes/1").isComplete);
    int number = 0;
    for (const bool hasRest : {true, false}) {
        for (const AnswerFraming framing : {AnswerFraming::Length, AnswerFraming::Chunks, AnswerFraming::Connection}) {
            CutAnswer rest {{begun.events.back()}, framing, CutKind::Framed};
            rest.cut = framing == AnswerFraming::Connection ? CutKind::Close : CutKind::Framed;
            const std::size_t size = rest.body().size();
            for (rest.sentBytes = hasRest ? 1 : 0; rest.sentBytes <= (hasRest ? size : 0); ++rest.sentBytes) {
                const std::string id = "r" + std::to_string(++number);
                test.script(id, {rest.response(id)});
                HttpHeaders headers = CutAnswerCluster::headers(id, false);
                headers["Resumes"] = "begun";
                headers["Last-Event-Id"] = "1";
                const ReceivedResponse received = RawCaller(test.entry).call("POST", "/resumes/1", headers, "in");
                const bool isWhole = rest.sentBytes == (hasRest ? size : 0);
                BOOST_TEST_CONTEXT(rest.description())
                {
                    BOOST_TEST(received.status == (isWhole ? 200U : 502U));
                    BOOST_TEST(received.isComplete);
                    BOOST_TEST((!isWhole || received.body == rest.sent()));
                }
            }
        }
    }
}

// Guards against events of a turn that are held until its stream is complete, for a server that sends chunks.
BOOST_AUTO_TEST_CASE(events_of_a_turn_are_forwarded_as_they_arrive)
{
    CutAnswerCluster test;
    for (const std::string framing : {"chunks", "connection", "length"}) {
        const std::string event = "id: 1\ndata: a\n\n";
        const std::string id = "silent-" + framing;
        std::string bytes = "HTTP/1.1 200 OK\r\nRequest-Id: " + id
            + "\r\nServer-Signature: sig\r\nContent-Type: text/event-stream\r\n";
        if (framing == "chunks") {
            bytes += fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n", event.size(), event);
        } else {
            bytes += (framing == "length" ? "Content-Length: 1000\r\n\r\n" : "\r\n") + event;
        }
        // The server says nothing more, and keeps the connection open.
        test.script(id, {{bytes, ResponseEnd::KeepOpen, {}}});
        HttpHeaders headers = CutAnswerCluster::headers(id, true);
        headers["Deadline-Milliseconds"] = "1000";
        const ReceivedResponse received = RawCaller(test.entry).call("POST", "/plans/1", headers, "in");
        BOOST_TEST_CONTEXT(framing)
        {
            BOOST_TEST(received.status == 200U);
            BOOST_TEST(received.body == event);
            BOOST_TEST(!received.isComplete);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
