#include <cardamompost/ledger/cp_ledger_state.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr std::size_t cacheBytes = 10;

//! Stores all that waits, as a snapshot does.
void store(TurnTexts &texts)
{
    static_cast<void>(texts.beginStoring());
    texts.endStoring();
}

std::vector<LogIndex> missingOf(const TurnTexts &texts)
{
    std::vector<LogIndex> indexes;
    for (const auto &[index, bytes] : texts.missing()) {
        indexes.push_back(index);
    }
    return indexes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(turn_texts)

// A ledger VM of 120 MB held all that programs had said in memory: after a minute of a grown day it was ended for that,
// one VM after the other, and nobody was served any more.
BOOST_AUTO_TEST_CASE(what_is_on_the_disk_takes_no_more_memory_than_the_cache)
{
    TurnTexts texts(cacheBytes);
    for (LogIndex index = 1; index <= 100; ++index) {
        texts.add(index, "12345");
        store(texts);
        BOOST_TEST(texts.memoryBytes() <= cacheBytes);
        BOOST_TEST(texts.isStored(index));
    }
    BOOST_TEST(texts.find(100) != nullptr);
    BOOST_TEST(texts.find(1) == nullptr);
}

BOOST_AUTO_TEST_CASE(what_is_not_on_the_disk_yet_stays_in_memory)
{
    TurnTexts texts(cacheBytes);
    for (LogIndex index = 1; index <= 10; ++index) {
        texts.add(index, "12345");
    }
    BOOST_TEST(texts.beginStoring().size() == 10U);
    texts.add(11, "12345");
    BOOST_TEST(texts.memoryBytes() == 55U);
    BOOST_TEST(*texts.join({1, 11}) == "1234512345");
    texts.endStoring();
    BOOST_TEST(texts.memoryBytes() == cacheBytes + 5);
    BOOST_TEST(texts.beginStoring() == std::vector<LogIndex> {11}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_texts_used_last_stay)
{
    TurnTexts texts(cacheBytes);
    texts.add(1, "12345");
    texts.add(2, "12345");
    store(texts);
    BOOST_TEST(texts.find(1) != nullptr);
    texts.cache(3, "12345");
    BOOST_TEST(texts.find(1) != nullptr);
    BOOST_TEST(texts.find(2) == nullptr);
}

// A turn expires in the moment in which its text is being written. Without being told, the store would keep the text
// for good.
BOOST_AUTO_TEST_CASE(a_text_that_expires_while_it_is_written_is_forgotten_on_the_disk_too)
{
    TurnTexts texts(cacheBytes);
    texts.add(1, "a");
    texts.add(2, "b");
    static_cast<void>(texts.beginStoring());
    texts.forget(1);
    BOOST_TEST(texts.takeForgotten().empty());
    texts.endStoring();
    BOOST_TEST(texts.takeForgotten() == std::vector<LogIndex> {1}, boost::test_tools::per_element());
    BOOST_TEST(texts.takeForgotten().empty());
    texts.forget(2);
    BOOST_TEST(texts.takeForgotten() == std::vector<LogIndex> {2}, boost::test_tools::per_element());
}

// A member that was away too long gets a snapshot. It must ask for just those texts that it lacks, and void what the
// others have forgotten meanwhile.
BOOST_AUTO_TEST_CASE(after_a_snapshot_just_what_is_lacking_is_missing)
{
    TurnTexts texts(cacheBytes);
    texts.add(1, "a");
    texts.add(2, "b");
    store(texts);
    texts.add(3, "c");
    texts.add(4, "d");
    texts.retain({{2, 1}, {3, 1}, {5, 1}, {6, 1}});
    BOOST_TEST(missingOf(texts) == (std::vector<LogIndex> {5, 6}), boost::test_tools::per_element());
    BOOST_TEST(texts.takeForgotten() == std::vector<LogIndex> {1}, boost::test_tools::per_element());
    BOOST_TEST(texts.beginStoring() == std::vector<LogIndex> {3}, boost::test_tools::per_element());
    // What was fetched counts only once it is on the disk, though it may be read before.
    texts.cache(5, "e");
    BOOST_TEST(*texts.find(5) == "e");
    BOOST_TEST(missingOf(texts).size() == 2U);
    texts.noteFetched(5);
    texts.forget(6);
    BOOST_TEST(texts.missing().empty());
    texts.noteFetched(6);
    BOOST_TEST(texts.takeForgotten() == std::vector<LogIndex> {6}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_restart_finds_what_the_disk_holds_and_voids_the_rest)
{
    TurnTexts texts(cacheBytes);
    texts.noteFound(1);
    texts.noteFound(2);
    texts.retain({{2, 1}});
    BOOST_TEST(texts.missing().empty());
    BOOST_TEST(texts.takeForgotten() == std::vector<LogIndex> {1}, boost::test_tools::per_element());
    // The log's entries behind the snapshot are applied again.
    texts.add(2, "b");
    BOOST_TEST(texts.memoryBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(a_state_from_a_snapshot_takes_over_what_the_member_had)
{
    constexpr std::int64_t nowMs = 1000;
    LedgerState ahead;
    for (LogIndex index = 1; index <= 3; ++index) {
        TurnFinish finish;
        finish.turn = "t" + std::to_string(index);
        finish.previous = index == 1 ? std::string() : "t" + std::to_string(index - 1);
        finish.ending = TurnEnding::Complete;
        finish.isKept = true;
        finish.retentionMs = 60'000;
        finish.input = finish.turn;
        ahead.apply({nowMs, finish}, index);
    }
    TurnTexts own(cacheBytes);
    own.add(1, "t1");
    own.add(9, "of a turn that is gone");
    LedgerState state = LedgerState::decode(ahead.encode()).value();
    state.takeTexts(std::move(own));
    BOOST_TEST(state.history("t3") == (std::vector<LogIndex> {1, 2, 3}), boost::test_tools::per_element());
    BOOST_TEST(missingOf(state.texts()) == (std::vector<LogIndex> {2, 3}), boost::test_tools::per_element());
    BOOST_TEST(state.turnBytes() == ahead.turnBytes());
    BOOST_TEST(state.texts().memoryBytes() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
