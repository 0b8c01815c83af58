#include "../support/cp_ledger_member.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

//! More than the limit of any compaction slot, with the size below.
constexpr LogIndex turnsUntilCompaction = 195;
constexpr std::size_t textBytes = 64U << 10U;
constexpr LogIndex firstTurn = LedgerMember::foundingIndex + 1;

LogEntry turn(LogIndex index, std::size_t bytes)
{
    TurnFinish finish;
    finish.turn = "t" + std::to_string(index);
    finish.ending = TurnEnding::Complete;
    finish.isRetained = true;
    finish.retentionMs = 60'000;
    finish.input = std::string(bytes, 'i');
    return {index, LedgerMember::term, EntryKind::Command, encodeLedgerCommand({1000, std::move(finish)})};
}

std::vector<LogEntry> turns(LogIndex first, LogIndex last, std::size_t bytes)
{
    std::vector<LogEntry> entries;
    for (LogIndex index = first; index <= last; ++index) {
        entries.push_back(turn(index, bytes));
    }
    return entries;
}

//! The leader's state after all entries.
std::string stateAfter(const std::vector<LogEntry> &entries)
{
    LedgerState state;
    for (const LogEntry &entry : entries) {
        static_cast<void>(state.apply(decodeLedgerCommand(entry.payload).value(), entry.index));
    }
    return state.encode();
}

std::set<LogIndex> missingFrom(const std::set<LogIndex> &held, LogIndex last)
{
    std::set<LogIndex> missing;
    for (LogIndex index = firstTurn; index <= last; ++index) {
        if (!held.contains(index)) {
            missing.insert(index);
        }
    }
    return missing;
}

//! Turns that a follower applies, and those that it knows only from the leader's snapshot.
struct Scenario {
    LogIndex lastApplied = 0;
    LogIndex lastInSnapshot = 0;
};

//! A follower applies turns and receives a snapshot; its process ends after some writes.
//! \returns the texts of applied turns that a restart would not find, or nothing once all writes were done
std::optional<std::set<LogIndex>> loseProcessAfter(int writes, const Scenario &scenario, bool mustStoreOwnSnapshot)
{
    MemoryFiles files;
    const std::vector<LogEntry> all = turns(firstTurn, scenario.lastInSnapshot, textBytes);
    const std::string state = stateAfter(all);
    bool isComplete = false;
    {
        LedgerMember member(files);
        member.append(turns(firstTurn, scenario.lastApplied, textBytes));
        BOOST_REQUIRE(member.runUntilApplied(scenario.lastApplied));
        BOOST_REQUIRE(member.isStoringSnapshot() == mustStoreOwnSnapshot);
        files.writesUntilFull = writes;
        member.receiveSnapshot(scenario.lastInSnapshot, state);
        isComplete = member.runUntilApplied(scenario.lastInSnapshot);
    }
    const std::set<LogIndex> lost = missingFrom(durableTexts(files), scenario.lastApplied);
    return isComplete && lost.empty() ? std::nullopt : std::optional(lost);
}

//! Ends the process after each write in turn. \returns the number of writes
int checkEachWrite(const Scenario &scenario, bool mustStoreOwnSnapshot)
{
    constexpr int maxWrites = 200;
    for (int writes = 0; writes < maxWrites; ++writes) {
        const std::optional<std::set<LogIndex>> lost = loseProcessAfter(writes, scenario, mustStoreOwnSnapshot);
        if (!lost) {
            return writes;
        }
        BOOST_TEST(lost->size() == 0U, "after " << writes << " writes, " << lost->size() << " texts are lost");
        if (!lost->empty()) {
            break;
        }
    }
    return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(consensus_driver)

// Guards against texts that are in memory alone once a received snapshot has replaced the log that held them.
BOOST_AUTO_TEST_CASE(a_received_snapshot_discards_the_log_only_once_its_texts_are_stored)
{
    BOOST_TEST(checkEachWrite({20, 30}, false) > 1);
}

// Guards against a received snapshot that overtakes the texts of the member's own one.
BOOST_AUTO_TEST_CASE(a_received_snapshot_waits_for_the_texts_of_a_snapshot_under_way)
{
    BOOST_TEST(checkEachWrite({turnsUntilCompaction, turnsUntilCompaction + 5}, true) > 1);
}

// Guards against a snapshot that deletes texts which a process wrote before it ended.
BOOST_AUTO_TEST_CASE(texts_that_were_stored_before_a_restart_outlast_the_next_snapshot)
{
    MemoryFiles files;
    {
        LedgerMember member(files);
        member.append(turns(firstTurn, turnsUntilCompaction, textBytes));
        BOOST_REQUIRE(member.runUntilApplied(turnsUntilCompaction));
        BOOST_REQUIRE(member.isStoringSnapshot());
        constexpr int writesOfPartsBeforeTheEnd = 5;
        files.writesUntilFull = writesOfPartsBeforeTheEnd;
        member.runUntilStored();
    }
    BOOST_TEST(missingFrom(durableTexts(files), turnsUntilCompaction).empty());
    {
        LedgerMember member(files);
        member.append(turns(turnsUntilCompaction + 1, turnsUntilCompaction + 1, textBytes));
        BOOST_REQUIRE(member.runUntilApplied(turnsUntilCompaction + 1));
        BOOST_REQUIRE(member.isStoringSnapshot());
        member.runUntilStored();
    }
    BOOST_TEST(missingFrom(durableTexts(files), turnsUntilCompaction + 1).size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
