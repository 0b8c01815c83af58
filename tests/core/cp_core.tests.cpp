#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/observe/cp_metrics.hpp>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cardamompost;

BOOST_AUTO_TEST_SUITE(core)

BOOST_AUTO_TEST_CASE(every_error_kind_has_a_unique_name_that_can_be_parsed)
{
    std::set<std::string_view> names;
    for (int i = 0; i <= static_cast<int>(ErrorKind::Internal); ++i) {
        const auto kind = static_cast<ErrorKind>(i);
        const ErrorAnswer &answer = answerFor(kind);
        BOOST_TEST(names.insert(answer.name).second);
        BOOST_TEST(answer.status >= 400U);
        BOOST_TEST((errorKindFromName(answer.name) == kind));
    }
    BOOST_TEST(!errorKindFromName("no-such-kind").has_value());
}

BOOST_AUTO_TEST_CASE(a_recorded_outcome_overrides_that_of_the_error_kind)
{
    Error error = makeError(ErrorKind::BackendFailed, "x");
    BOOST_TEST((error.effectiveOutcome() == Outcome::Unknown));
    error.outcome = Outcome::NotRun;
    BOOST_TEST((error.effectiveOutcome() == Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(program_ids_of_keys_are_stable_and_distinct_per_caller)
{
    BOOST_TEST(isProgramId(makeProgramId()));
    BOOST_TEST(programIdForKey("a", "key") == programIdForKey("a", "key"));
    BOOST_TEST(programIdForKey("a", "bkey") != programIdForKey("ab", "key"));
    BOOST_TEST(!isProgramId("ABC"));
}

BOOST_AUTO_TEST_CASE(partitions_of_programs_are_stable_between_releases)
{
    BOOST_TEST(partitionOf("00000000000000000000000000000000", 1024)
               == stableHash("00000000000000000000000000000000") % 1024);
    BOOST_TEST(stableHash("cardamompost") == 8482053186632235786ULL);
}

BOOST_AUTO_TEST_CASE(metrics_are_written_in_the_prometheus_text_format)
{
    MetricRegistry registry;
    registry.counter("calls_total", {{"caller", "a\"b"}}).add(3);
    registry.histogram("call_seconds", {{"class", "plan"}}).observe(0.003);
    registry.gauge("programs", {}, [] { return 7.0; });
    const std::string text = registry.text();
    BOOST_TEST(text.find("calls_total{caller=\"a\\\"b\"} 3\n") != std::string::npos);
    BOOST_TEST(text.find("call_seconds_bucket{class=\"plan\",le=\"0.002\"} 0\n") != std::string::npos);
    BOOST_TEST(text.find("call_seconds_bucket{class=\"plan\",le=\"0.005\"} 1\n") != std::string::npos);
    BOOST_TEST(text.find("call_seconds_count{class=\"plan\"} 1\n") != std::string::npos);
    BOOST_TEST(text.find("programs 7\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
