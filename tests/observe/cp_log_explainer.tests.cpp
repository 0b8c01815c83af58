#include <cardamompost/observe/cp_log_explainer.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

BOOST_AUTO_TEST_SUITE(log_explainer)

// A stalled entry reads the request only after the stall, and logs that its caller left after 0 ms; the explanation
// must name the stall.
BOOST_AUTO_TEST_CASE(a_caller_that_left_a_stalled_vm_is_explained_by_the_stall)
{
    LogExplainer explainer;
    explainer.add(R"({"time":"2026-08-22T07:52:21.002Z","vm":"entry-1","event":"process.stalled","ms":6004})");
    explainer.add(R"({"time":"2026-08-22T07:52:21.009Z","vm":"entry-1","event":"request.end","id":"a1","status":0,)"
                  R"("cause":"the caller left","ms":0})");
    explainer.add(R"({"time":"2026-08-22T07:52:21.009Z","vm":"entry-2","event":"request.end","id":"b1","status":0,)"
                  R"("cause":"the caller left","ms":900})");
    const std::string stalled = explainer.explain("a1").cause;
    BOOST_TEST(stalled.find("'entry-1' had stood still for 6004 ms") != std::string::npos);
    BOOST_TEST(explainer.explain("b1").cause.find("stood still") == std::string::npos);
}

// Guards against a refused program whose caller is told only that it can't be served.
BOOST_AUTO_TEST_CASE(a_refused_program_is_explained_by_the_queue_before_it)
{
    LogExplainer explainer;
    explainer.add(R"({"time":"2026-08-22T07:52:21.002Z","vm":"ledger-1","event":"program.refused","id":"a1",)"
                  R"("program":"p1","account":"officers","reason":"too-late","turns_ahead":31,"expected_wait_ms":900,)"
                  R"("slack_ms":500,"retry_after_ms":700,"held_slots":40,"fair_share":12})");
    explainer.add(R"({"time":"2026-08-22T07:52:21.009Z","vm":"entry-1","event":"request.end","id":"a1","status":503,)"
                  R"("cause":"the program can't be served in time","ms":6})");
    const Explanation explanation = explainer.explain("a1");
    BOOST_TEST(explanation.cause
               == "the first turn of the program 'p1' had 31 turns before it and would have waited about 900 ms for a "
                  "place, of at most 500 ms, while the account 'officers' held 40 slots of a fair share of 12; it has "
                  "not run, and was told to come back after 700 ms");
}

// Guards against a refusal that names neither the servers that ended nor the other attempts at the work.
BOOST_AUTO_TEST_CASE(a_quarantined_request_is_explained_by_the_ends_under_all_attempts_at_its_work)
{
    LogExplainer explainer;
    explainer.add(R"({"time":"2026-08-22T07:52:20.002Z","vm":"ledger-1","event":"backend.ended","backend":"i-1",)"
                  R"("id":"a1","fingerprint":"00000000000000f1","ends":1,"quarantined":false})");
    explainer.add(R"({"time":"2026-08-22T07:52:20.003Z","vm":"entry-1","event":"request.end","id":"a1","status":502,)"
                  R"("cause":"unanswered","account":"officers","fingerprint":"00000000000000f1"})");
    explainer.add(R"({"time":"2026-08-22T07:52:20.004Z","vm":"entry-1","event":"request.end","id":"b1","status":502,)"
                  R"("cause":"unanswered","fingerprint":"00000000000000f2"})");
    explainer.add(R"({"time":"2026-08-22T07:52:21.009Z","vm":"entry-2","event":"request.end","id":"a3","status":400,)"
                  R"("cause":"quarantined","fingerprint":"00000000000000f1","detail":"3 servers have ended"})");
    const Explanation explanation = explainer.explain("a3");
    BOOST_TEST(
        explanation.cause
        == "backend servers have ended while they ran this work (3 servers have ended); it is sent to no more of "
           "them, which the lines 'backend.ended' with its fingerprint name");
    BOOST_REQUIRE(explanation.lines.size() == 3U);
    BOOST_TEST(explanation.lines.front().event == "backend.ended");
}

// Guards against a cut at the end of an entry of which the logs do not tell whether the request may have run.
BOOST_AUTO_TEST_CASE(requests_that_meet_the_end_of_their_entry_are_explained)
{
    LogExplainer explainer;
    explainer.add(R"({"time":"2026-08-22T07:52:20.002Z","vm":"entry-1","event":"request.unfinished","id":"a1",)"
                  R"("ms":3741,"backend":"i-1","is_sent":true})");
    explainer.add(R"({"time":"2026-08-22T07:52:20.003Z","vm":"entry-1","event":"request.unfinished","id":"a2",)"
                  R"("ms":12,"backend":"","is_sent":false})");
    explainer.add(R"({"time":"2026-08-22T07:52:20.004Z","vm":"entry-1","event":"request.end","id":"a3","status":504,)"
                  R"("cause":"shutting-down","ms":3000,"backend":"i-1"})");
    explainer.add(R"({"time":"2026-08-22T07:52:20.005Z","vm":"entry-1","event":"request.end","id":"a4","status":503,)"
                  R"("cause":"the entry is shutting down","ms":0})");
    BOOST_TEST(explainer.explain("a1").cause
               == "its entry ended 3741 ms after it arrived, and its caller got no answer; the backend server 'i-1' "
                  "may have run it");
    BOOST_TEST(explainer.explain("a1").missing.empty());
    BOOST_TEST(explainer.explain("a2").cause.ends_with("it has not run"));
    BOOST_TEST(explainer.explain("a3").cause.find("may have run") != std::string::npos);
    BOOST_TEST(explainer.explain("a4").cause.ends_with("it has not run"));
}

BOOST_AUTO_TEST_SUITE_END()
