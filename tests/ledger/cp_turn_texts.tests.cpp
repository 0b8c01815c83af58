#include <cardamompost/ledger/cp_ledger_state.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr std::size_t cacheBytes = 10;

//! Marks all unstored texts as stored.
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

// Guards against running out of memory as the retained texts grow.
BOOST_AUTO_TEST_CASE(memory_of_stored_texts_is_bounded_by_the_cache_size)
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

BOOST_AUTO_TEST_CASE(unstored_texts_are_not_evicted)
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

BOOST_AUTO_TEST_CASE(least_recently_used_text_is_evicted_first)
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

// Guards against a text that stays on disk forever.
BOOST_AUTO_TEST_CASE(text_that_expires_while_being_written_is_deleted_from_disk)
{
    TurnTexts texts(cacheBytes);
    texts.add(1, "a");
    texts.add(2, "b");
    static_cast<void>(texts.beginStoring());
    texts.remove(1);
    BOOST_TEST(texts.takeObsolete().empty());
    texts.endStoring();
    BOOST_TEST(texts.takeObsolete() == std::vector<LogIndex> {1}, boost::test_tools::per_element());
    BOOST_TEST(texts.takeObsolete().empty());
    texts.remove(2);
    BOOST_TEST(texts.takeObsolete() == std::vector<LogIndex> {2}, boost::test_tools::per_element());
}

// A lagging member fetches only the texts it lacks and deletes those that have expired meanwhile.
BOOST_AUTO_TEST_CASE(after_a_restore_texts_neither_pinned_nor_stored_are_missing)
{
    TurnTexts texts(cacheBytes);
    texts.add(1, "a");
    texts.add(2, "b");
    store(texts);
    texts.add(3, "c");
    texts.add(4, "d");
    texts.retain({{2, 1}, {3, 1}, {5, 1}, {6, 1}});
    BOOST_TEST(missingOf(texts) == (std::vector<LogIndex> {5, 6}), boost::test_tools::per_element());
    BOOST_TEST(texts.takeObsolete() == std::vector<LogIndex> {1}, boost::test_tools::per_element());
    BOOST_TEST(texts.beginStoring() == std::vector<LogIndex> {3}, boost::test_tools::per_element());
    // A fetched text can be read at once but stays missing until it is on disk.
    texts.cache(5, "e");
    BOOST_TEST(*texts.find(5) == "e");
    BOOST_TEST(missingOf(texts).size() == 2U);
    texts.markFetched(5);
    texts.remove(6);
    BOOST_TEST(texts.missing().empty());
    texts.markFetched(6);
    BOOST_TEST(texts.takeObsolete() == std::vector<LogIndex> {6}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(restart_keeps_retained_texts_on_disk_and_deletes_the_rest)
{
    TurnTexts texts(cacheBytes);
    texts.markStored(1);
    texts.markStored(2);
    texts.retain({{2, 1}});
    BOOST_TEST(texts.missing().empty());
    BOOST_TEST(texts.takeObsolete() == std::vector<LogIndex> {1}, boost::test_tools::per_element());
    // Log entries after the snapshot are applied again.
    texts.add(2, "b");
    BOOST_TEST(texts.memoryBytes() == 0U);
}

// Guards against a snapshot that deletes a text which it has just written.
BOOST_AUTO_TEST_CASE(a_text_that_is_applied_again_after_a_restart_is_not_deleted)
{
    TurnTexts texts(cacheBytes);
    // Written for a snapshot that was not completed; the previous one doesn't know the turn yet.
    texts.markStored(5);
    texts.retain({});
    texts.add(5, "a");
    BOOST_TEST(texts.beginStoring() == std::vector<LogIndex> {5}, boost::test_tools::per_element());
    BOOST_TEST(texts.takeObsolete().empty());
}

// Guards against texts of a snapshot under way that are never marked as stored.
BOOST_AUTO_TEST_CASE(texts_added_while_others_are_written_are_stored_with_them)
{
    TurnTexts texts(cacheBytes);
    texts.add(1, "a");
    BOOST_TEST(texts.beginStoring().size() == 1U);
    texts.add(2, "b");
    BOOST_TEST(texts.beginStoring() == std::vector<LogIndex> {2}, boost::test_tools::per_element());
    texts.endStoring();
    BOOST_TEST(texts.isStored(1));
    BOOST_TEST(texts.isStored(2));
}

BOOST_AUTO_TEST_CASE(restored_state_adopts_the_texts_of_the_replaced_state)
{
    constexpr std::int64_t nowMs = 1000;
    LedgerState ahead;
    for (LogIndex index = 1; index <= 3; ++index) {
        TurnFinish finish;
        finish.turn = "t" + std::to_string(index);
        finish.previous = index == 1 ? std::string() : "t" + std::to_string(index - 1);
        finish.ending = TurnEnding::Complete;
        finish.isRetained = true;
        finish.retentionMs = 60'000;
        finish.input = finish.turn;
        ahead.apply({nowMs, finish}, index);
    }
    TurnTexts own(cacheBytes);
    own.add(1, "t1");
    own.add(9, "text of an expired turn");
    LedgerState state = LedgerState::decode(ahead.encode()).value();
    state.adoptTexts(std::move(own));
    BOOST_TEST(state.history("t3").value() == (std::vector<LogIndex> {1, 2, 3}), boost::test_tools::per_element());
    BOOST_TEST(missingOf(state.texts()) == (std::vector<LogIndex> {2, 3}), boost::test_tools::per_element());
    BOOST_TEST(state.turnBytes() == ahead.turnBytes());
    BOOST_TEST(state.texts().memoryBytes() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
