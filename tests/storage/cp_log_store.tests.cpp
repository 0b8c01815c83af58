#include "support/cp_memory_files.hpp"
#include "support/cp_raft_cluster.hpp"

#include <cardamompost/storage/cp_log_store.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr GroupId group = 5;

LogEntry entry(LogIndex index, Term term, std::string payload = "payload")
{
    return {index, term, EntryKind::Command, std::move(payload)};
}

void put(LogStore &store, const LogEntry &item)
{
    LogBatch batch;
    batch.putEntry(group, item);
    BOOST_REQUIRE(store.write(batch).has_value());
}

MemoryFiles::Content &onlyFile(MemoryFiles &files)
{
    for (auto &[name, content] : files.contents) {
        if (content->bytes.size() > 100) {
            return *content;
        }
    }
    throw Violation("no file holds anything");
}

} // namespace

BOOST_AUTO_TEST_SUITE(log_store)

BOOST_AUTO_TEST_CASE(what_was_written_is_read_after_a_restart)
{
    MemoryFiles files;
    {
        LogStore store = LogStore::open(files).value();
        LogBatch batch;
        batch.putHardState(group, {3, "vm-1"});
        batch.putEntry(group, entry(1, 2, "a"));
        batch.putEntry(group, entry(2, 3, "b"));
        BOOST_REQUIRE(store.write(batch).has_value());
    }
    LogStore store = LogStore::open(files).value();
    const RaftStoredState state = store.loadRaft(group).value();
    BOOST_TEST((state.hard == RaftHardState {3, "vm-1"}));
    BOOST_REQUIRE(state.entries.size() == 2U);
    BOOST_TEST(state.entries[1].payload == "b");
}

// What turns said is stored by itself, in any order: an old text that another member sent must not void newer ones.
BOOST_AUTO_TEST_CASE(a_loose_entry_voids_nothing_and_many_are_forgotten_at_once)
{
    MemoryFiles files;
    {
        LogStore store = LogStore::open(files).value();
        LogBatch batch;
        for (const LogIndex index : {7U, 3U, 9U, 5U}) {
            batch.putUnorderedEntry(group, index, "text " + std::to_string(index));
        }
        BOOST_REQUIRE(store.write(batch).has_value());
        const std::uint64_t live = store.liveBytes();
        LogBatch forget;
        forget.forget(group, {9, 1, 5});
        BOOST_REQUIRE(store.write(forget).has_value());
        BOOST_TEST(store.liveBytes() < live);
    }
    LogStore store = LogStore::open(files).value();
    const StoredGroup &stored = store.group(group);
    BOOST_REQUIRE(stored.entries.size() == 2U);
    BOOST_TEST(store.read(group, *stored.find(3)).value().payload == "text 3");
    BOOST_TEST(store.read(group, *stored.find(7)).value().payload == "text 7");
    BOOST_TEST((stored.find(5) == nullptr));
}

BOOST_AUTO_TEST_CASE(an_entry_voids_those_at_and_behind_its_index)
{
    MemoryFiles files;
    LogStore store = LogStore::open(files).value();
    put(store, entry(1, 1));
    put(store, entry(2, 1));
    put(store, entry(3, 1));
    put(store, entry(2, 2));
    BOOST_TEST(store.group(group).lastIndex() == 2U);
    BOOST_TEST(store.group(group).lastTerm() == 2U);
}

// A VM loses power while it writes. The batch was not synced, so nobody was told of it; what is left of it must not
// keep the keeper from starting.
BOOST_AUTO_TEST_CASE(a_torn_tail_is_cut_off)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        MemoryFiles files;
        {
            LogStore store = LogStore::open(files).value();
            put(store, entry(1, 1));
            put(store, entry(2, 1));
            files.lieAboutSync = true;
            LogBatch batch;
            batch.putEntry(group, entry(3, 1, std::string(100, 'x')));
            batch.putEntry(group, entry(4, 1, std::string(100, 'y')));
            BOOST_REQUIRE(store.write(batch).has_value());
            files.lieAboutSync = false;
        }
        files.crash(random);
        Result<LogStore> opened = LogStore::open(files);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_REQUIRE(opened.has_value());
            BOOST_TEST(opened.value().group(group).lastIndex() >= 2U);
            put(opened.value(), entry(opened.value().group(group).lastIndex() + 1, 2));
            BOOST_TEST(LogStore::open(files).has_value());
        }
    }
}

// A sector of synced data has gone bad. The keeper once confirmed what was there; it must not start as if it had not,
// because a quorum could then form without the entry.
BOOST_AUTO_TEST_CASE(damage_before_synced_data_keeps_the_store_closed)
{
    MemoryFiles files;
    {
        LogStore store = LogStore::open(files).value();
        for (LogIndex index = 1; index <= 10; ++index) {
            put(store, entry(index, 1));
        }
    }
    onlyFile(files).bytes[200] ^= 0x01;
    const Result<LogStore> opened = LogStore::open(files);
    BOOST_REQUIRE(opened.has_error());
    BOOST_TEST((opened.error().kind == ErrorKind::StorageCorrupt));
    BOOST_TEST(opened.error().message.find("offset") != std::string::npos);
}

// After a failed sync the kernel may take the pages for clean, and the next sync succeeds without them.
BOOST_AUTO_TEST_CASE(after_a_failed_sync_nothing_more_is_accepted)
{
    MemoryFiles files;
    LogStore store = LogStore::open(files).value();
    files.failSyncs = true;
    LogBatch batch;
    batch.putEntry(group, entry(1, 1));
    BOOST_TEST(store.write(batch).has_error());
    files.failSyncs = false;
    BOOST_TEST(store.write(batch).has_error());
    BOOST_TEST(store.group(group).lastIndex() == 0U);
}

BOOST_AUTO_TEST_CASE(a_full_disk_is_reported_and_nothing_that_was_synced_is_lost)
{
    MemoryFiles files;
    {
        LogStore store = LogStore::open(files).value();
        put(store, entry(1, 1));
        files.writesUntilFull = 0;
        LogBatch batch;
        batch.putEntry(group, entry(2, 1));
        const Result<void> written = store.write(batch);
        BOOST_REQUIRE(written.has_error());
        BOOST_TEST((written.error().kind == ErrorKind::StorageFailed));
    }
    files.writesUntilFull = -1;
    BOOST_TEST(LogStore::open(files).value().group(group).lastIndex() == 1U);
}

// Segments are removed oldest first. If a later one went before, the entries that it voids would be there again after
// a restart, and a program that was forgotten would come back.
BOOST_AUTO_TEST_CASE(forgotten_entries_do_not_come_back_after_cleaning_and_a_restart)
{
    MemoryFiles files;
    const LogStoreOptions options {2000, 0.5};
    std::mt19937_64 random(7);
    std::set<LogIndex> expected;
    LogIndex next = 1;
    for (int round = 0; round < 30; ++round) {
        LogStore store = LogStore::open(files, options).value();
        const StoredGroup &stored = store.group(group);
        std::set<LogIndex> found;
        for (const StoredEntry &item : stored.entries) {
            found.insert(item.index);
        }
        BOOST_TEST(found == expected, boost::test_tools::per_element());
        for (int i = 0; i < 40; ++i) {
            put(store, entry(next, 1, std::string(random() % 100, 'x')));
            expected.insert(next++);
            if (expected.size() > 20) {
                const LogIndex gone = *std::next(expected.begin(), static_cast<std::ptrdiff_t>(random() % 19));
                LogBatch batch;
                batch.forget(group, {gone});
                BOOST_REQUIRE(store.write(batch).has_value());
                expected.erase(gone);
            }
            BOOST_REQUIRE(store.clean().has_value());
        }
        BOOST_TEST(store.totalBytes() < 16'000U);
    }
}

BOOST_AUTO_TEST_CASE(a_snapshot_replaces_the_entries_up_to_its_index)
{
    MemoryFiles files;
    {
        LogStore store = LogStore::open(files).value();
        for (LogIndex index = 1; index <= 5; ++index) {
            put(store, entry(index, 1));
        }
        LogBatch batch;
        RaftSnapshot snapshot {3, 1, {}, "state"};
        snapshot.membership.voters = {"vm-1", "vm-2"};
        batch.putSnapshot(group, snapshot);
        BOOST_REQUIRE(store.write(batch).has_value());
    }
    LogStore store = LogStore::open(files).value();
    const RaftStoredState state = store.loadRaft(group).value();
    BOOST_TEST(state.snapshot.index == 3U);
    BOOST_TEST(state.snapshot.state == "state");
    BOOST_TEST(state.snapshot.membership.voters.size() == 2U);
    BOOST_REQUIRE(state.entries.size() == 2U);
    BOOST_TEST(state.entries[0].index == 4U);
}

// A ledger VM's process is killed between writing a batch and syncing it, and is back at once: the batch is still
// there. It goes on, syncs much more, and some seconds later the machine loses its power. Only now the first batch is
// gone, from below all that was synced after it, and the VM could not start any more.
BOOST_AUTO_TEST_CASE(what_a_killed_process_left_unsynced_lasts_once_it_was_read)
{
    MemoryFiles files;
    {
        LogStore store = LogStore::open(files).value();
        put(store, entry(1, 1, "synced"));
        files.failSyncs = true;
        LogBatch batch;
        batch.putEntry(group, entry(2, 1, "written only"));
        BOOST_REQUIRE(!store.write(batch).has_value());
    }
    files.failSyncs = false;
    {
        LogStore store = LogStore::open(files).value();
        BOOST_REQUIRE(store.loadRaft(group).value().entries.size() == 2U);
        put(store, entry(3, 1, "after"));
    }
    files.losePower();
    Result<LogStore> store = LogStore::open(files);
    BOOST_REQUIRE(store.has_value());
    BOOST_TEST(store.value().loadRaft(group).value().entries.size() == 3U);
}

// What turns said since the last snapshot is megabytes; in one write, every append waits for all of it.
BOOST_AUTO_TEST_CASE(a_large_batch_is_split_in_order_and_nothing_is_left_out)
{
    constexpr std::size_t partBytes = 1000;
    constexpr LogIndex count = 40;
    LogBatch whole;
    for (LogIndex index = 1; index <= count; ++index) {
        whole.putUnorderedEntry(textGroup, index, std::string(300, 'x'));
    }
    const std::deque<LogBatch> parts = splitBatch(std::move(whole), partBytes);
    LogIndex next = 1;
    for (const LogBatch &part : parts) {
        BOOST_TEST(part.records().size() <= 4U);
        for (const LogBatch::Record &record : part.records()) {
            BOOST_TEST(record.index == next++);
        }
    }
    BOOST_TEST(next == count + 1);
    BOOST_TEST(splitBatch(LogBatch {}, partBytes).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
