#include <cardamompost/ledger/cp_ledger_state.hpp>
#include <cardamompost/quarantine/cp_recent_answers.hpp>
#include <cardamompost/quarantine/cp_suspect_runs.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr RequestFingerprint fatal = 7;
constexpr RequestFingerprint other = 8;

BackendEnd endAt(const std::string &backend, const std::string &version = "v1", RequestFingerprint request = fatal)
{
    return {request, backend, 0, version};
}

Quarantine quarantineAfter(std::size_t ends)
{
    Quarantine quarantine;
    for (std::size_t i = 0; i < ends; ++i) {
        quarantine.recordEnd(endAt("i-" + std::to_string(i)), 0, i + 1);
    }
    return quarantine;
}

TimePoint at(int ms)
{
    return TimePoint() + Milliseconds(ms);
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(a_request_is_quarantined_once_three_servers_have_ended_under_it)
{
    BOOST_TEST(quarantineAfter(2).mayRun(fatal, "v1", 0));
    BOOST_TEST(!quarantineAfter(3).mayRun(fatal, "v1", 0));
    BOOST_TEST(quarantineAfter(3).mayRun(other, "v1", 0));
}

// Guards against a report of an end that is sent again and counts twice.
BOOST_AUTO_TEST_CASE(a_repeated_report_of_an_end_counts_once)
{
    Quarantine quarantine;
    for (std::uint64_t index = 1; index <= 5; ++index) {
        quarantine.recordEnd(endAt("i-1"), 0, index);
    }
    BOOST_TEST(quarantine.ends(fatal) == 1U);
    BackendEnd restarted = endAt("i-1");
    restarted.incarnation = 99;
    quarantine.recordEnd(restarted, 0, 6);
    BOOST_TEST(quarantine.ends(fatal) == 2U);
}

BOOST_AUTO_TEST_CASE(a_request_that_is_answered_is_no_longer_suspect)
{
    Quarantine quarantine = quarantineAfter(2);
    BOOST_TEST(quarantine.suspects().contains(fatal));
    quarantine.clear({fatal, "v1"}, 5);
    BOOST_TEST(!quarantine.suspects().contains(fatal));
    BOOST_TEST(quarantine.ends(fatal) == 0U);
}

// Guards against ends under two versions of which each is counted alone during a release.
BOOST_AUTO_TEST_CASE(ends_under_several_software_versions_add_up)
{
    Quarantine quarantine = quarantineAfter(2);
    quarantine.recordEnd(endAt("i-8", "v2"), 0, 9);
    BOOST_TEST(!quarantine.mayRun(fatal, "v1", Quarantine::newVersionDelayMs));
    BOOST_TEST(!quarantine.mayRun(fatal, "v2", Quarantine::newVersionDelayMs));
}

BOOST_AUTO_TEST_CASE(a_quarantined_request_may_run_once_at_a_new_software_version)
{
    Quarantine quarantine = quarantineAfter(3);
    BOOST_TEST(!quarantine.mayRun(fatal, "v2", Quarantine::newVersionDelayMs - 1));
    BOOST_TEST(quarantine.mayRun(fatal, "v2", Quarantine::newVersionDelayMs));
    BOOST_TEST(!quarantine.mayRun(fatal, "v1", Quarantine::newVersionDelayMs));
    quarantine.clear({fatal, "v2"}, 10);
    BOOST_TEST(quarantine.mayRun(fatal, "v2", Quarantine::newVersionDelayMs));
    BOOST_TEST(!quarantine.mayRun(fatal, "v1", Quarantine::newVersionDelayMs));
    quarantine.recordEnd(endAt("i-9", "v2"), Quarantine::newVersionDelayMs, 11);
    BOOST_TEST(!quarantine.mayRun(fatal, "v2", 10 * Quarantine::newVersionDelayMs));
}

BOOST_AUTO_TEST_CASE(ends_are_forgotten_after_their_retention_and_beyond_the_limit)
{
    Quarantine quarantine = quarantineAfter(3);
    quarantine.expire(Quarantine::retentionMs, 20);
    BOOST_TEST(quarantine.ends(fatal) == 3U);
    quarantine.expire(Quarantine::retentionMs + 1, 21);
    BOOST_TEST(quarantine.ends(fatal) == 0U);
    for (std::size_t i = 0; i <= Quarantine::maxRequests; ++i) {
        quarantine.recordEnd(endAt("i-1", "v1", i), static_cast<std::int64_t>(i), 30 + i);
    }
    BOOST_TEST(quarantine.records().size() == Quarantine::maxRequests);
    BOOST_TEST(quarantine.suspects().size() == Quarantine::maxRequests);
    BOOST_TEST(quarantine.ends(0) == 0U);
}

// Guards against ends that are lost with a snapshot, and against copies of the list that keep what it lacks.
BOOST_AUTO_TEST_CASE(the_quarantine_is_part_of_the_ledger_and_its_snapshots)
{
    LedgerState state;
    LogIndex index = 1;
    for (const char *backend : {"i-1", "i-2", "i-3"}) {
        const Result<LedgerCommand> decoded = decodeLedgerCommand(encodeLedgerCommand({5, endAt(backend)}));
        BOOST_REQUIRE(decoded.has_value());
        state.apply(decoded.value(), ++index);
    }
    state.apply({5, endAt("i-4", "v1", other)}, ++index);
    SuspectList copy;
    copy.apply(state.quarantine().suspects().changesSince(0));
    const Result<LedgerCommand> clearance
        = decodeLedgerCommand(encodeLedgerCommand({6, SuspectClearance {other, "v1"}}));
    BOOST_REQUIRE(clearance.has_value());
    state.apply(clearance.value(), ++index);

    const Result<LedgerState> restored = LedgerState::decode(state.encode());
    BOOST_REQUIRE(restored.has_value());
    const Quarantine &quarantine = restored.value().quarantine();
    BOOST_TEST(quarantine.ends(fatal) == 3U);
    BOOST_TEST(!quarantine.mayRun(fatal, "v1", 6));
    copy.apply(quarantine.suspects().changesSince(copy.version()));
    BOOST_TEST(copy.contains(fatal));
    BOOST_TEST(!copy.contains(other));
    BOOST_TEST(copy.version() == quarantine.suspects().version());
}

BOOST_AUTO_TEST_CASE(copies_of_the_suspect_list_follow_it_by_its_changes)
{
    SuspectList list;
    list.add(1, 10);
    list.add(2, 11);
    SuspectList copy;
    copy.apply(list.changesSince(copy.version()));
    list.remove(1, 12);
    list.add(3, 13);
    list.remove(3, 14);
    list.add(4, 15);
    const SuspectChanges changes = list.changesSince(copy.version());
    BOOST_TEST(changes.since == 11U);
    BOOST_TEST(changes.added.size() == 1U);
    copy.apply(changes);
    BOOST_TEST(!copy.contains(1));
    BOOST_TEST(copy.contains(2));
    BOOST_TEST(!copy.contains(3));
    BOOST_TEST(copy.contains(4));
    BOOST_TEST(copy.version() == 15U);
    // An earlier reply that arrives late.
    copy.apply({0, 12, {1}, {}});
    BOOST_TEST(!copy.contains(1));
}

// Guards against a history of changes that is cut and looks complete.
BOOST_AUTO_TEST_CASE(a_copy_of_the_suspect_list_that_is_far_behind_gets_all_of_it)
{
    SuspectList list;
    list.add(1, 1);
    SuspectList copy;
    copy.apply(list.changesSince(0));
    list.remove(1, 2);
    for (std::uint64_t version = 3; version < 10'000; ++version) {
        list.add(version, version);
    }
    const SuspectChanges changes = list.changesSince(copy.version());
    BOOST_TEST(changes.since == 0U);
    copy.apply(changes);
    BOOST_TEST(!copy.contains(1));
    BOOST_TEST(copy.size() == list.size());
}

BOOST_AUTO_TEST_CASE(no_more_runs_of_a_suspect_are_in_progress_than_servers_may_still_end)
{
    SuspectRuns runs;
    BOOST_TEST(runs.start({1, fatal, "i-1", 1, at(100)}, 2, at(0)));
    BOOST_TEST(runs.start({2, fatal, "i-2", 1, at(100)}, 2, at(0)));
    BOOST_TEST(!runs.start({3, fatal, "i-3", 1, at(100)}, 2, at(0)));
    // A start that is sent again.
    BOOST_TEST(runs.start({2, fatal, "i-2", 1, at(100)}, 2, at(0)));
    runs.end(1);
    BOOST_TEST(runs.start({3, fatal, "i-3", 1, at(100)}, 2, at(0)));
    // The entry of a run may be lost.
    BOOST_TEST(!runs.start({4, fatal, "i-4", 1, at(200)}, 2, at(99)));
    BOOST_TEST(runs.start({4, fatal, "i-4", 1, at(200)}, 2, at(100)));
}

// Guards against a bystander that shares the servers of a request that ends them, and is taken for it.
BOOST_AUTO_TEST_CASE(a_request_with_two_ends_shares_its_server_with_no_other_suspect)
{
    SuspectRuns runs;
    BOOST_TEST(runs.start({1, fatal, "i-1", 2, at(100)}, 1, at(0)));
    BOOST_TEST(!runs.start({2, other, "i-1", 1, at(100)}, 2, at(0)));
    BOOST_TEST(runs.start({2, other, "i-2", 1, at(100)}, 2, at(0)));
    runs.end(1);
    BOOST_TEST(!runs.start({1, fatal, "i-2", 2, at(100)}, 1, at(0)));
    BOOST_TEST(runs.start({3, 9, "i-2", 1, at(100)}, 2, at(0)));
}

BOOST_AUTO_TEST_CASE(recent_answers_are_remembered_by_software_version_and_for_a_while)
{
    const int retention = static_cast<int>(RecentAnswers::retention.count());
    const TimePoint start = at(5 * retention);
    RecentAnswers answers;
    answers.record(other, "v1", start);
    BOOST_TEST(answers.contains(other, "v1", start));
    BOOST_TEST(!answers.contains(other, "v2", start));
    BOOST_TEST(!answers.contains(fatal, "v1", start));
    const TimePoint later = start + RecentAnswers::retention;
    answers.record(fatal, "v1", later);
    BOOST_TEST(answers.contains(other, "v1", later));
    BOOST_TEST(!answers.contains(other, "v1", later + RecentAnswers::retention));
    BOOST_TEST(answers.contains(fatal, "v1", later + RecentAnswers::retention));
    BOOST_TEST(!answers.contains(fatal, "v1", later + 2 * RecentAnswers::retention));
}

// Guards against an entry whose memory grows with the requests that it serves.
BOOST_AUTO_TEST_CASE(recent_answers_are_bounded_in_number)
{
    RecentAnswers answers;
    const TimePoint start = at(static_cast<int>(RecentAnswers::retention.count()));
    for (RequestFingerprint request = 0; request < 3 * RecentAnswers::maxRequests; ++request) {
        answers.record(request, "v1", start);
    }
    BOOST_TEST(!answers.contains(0, "v1", start));
    BOOST_TEST(answers.contains(3 * RecentAnswers::maxRequests - 1, "v1", start));
}

BOOST_AUTO_TEST_SUITE_END()
