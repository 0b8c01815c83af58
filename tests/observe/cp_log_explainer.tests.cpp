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

BOOST_AUTO_TEST_SUITE_END()
