#include <cardamompost/ledger/cp_ledger_clock.hpp>
#include <cardamompost/ledger/cp_ledger_state.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

constexpr std::int64_t startMs = 1'000'000;
constexpr std::uint32_t retentionMs = 60'000;

TurnBegin begin(std::string turn, std::int64_t maxTokens = 100, std::int64_t budget = 250, std::string previous = {})
{
    return {std::move(turn), "program", std::move(previous), maxTokens, budget, retentionMs};
}

TurnFinish finish(std::string turn, std::int64_t tokens, TurnEnding ending = TurnEnding::Complete,
                  std::string previous = {})
{
    TurnFinish result;
    result.turn = std::move(turn);
    result.program = "program";
    result.previous = std::move(previous);
    result.ending = ending;
    result.tokens = tokens;
    result.retentionMs = retentionMs;
    result.isRetained = ending == TurnEnding::Complete;
    result.input = "in-" + result.turn + ";";
    result.output = "out-" + result.turn + "\n";
    return result;
}

template<typename Action>
TurnBeginStatus apply(LedgerState &state, Action action, std::int64_t nowMs = startMs)
{
    static LogIndex index = 0;
    return state.apply({nowMs, std::move(action)}, ++index);
}

std::string historyOf(LedgerState &state, const std::string &turn)
{
    const std::optional<std::vector<LogIndex>> indexes = state.history(turn);
    return indexes ? state.texts().join(*indexes).value_or("not in memory") : "incomplete";
}

bool isStatus(TurnBeginStatus left, TurnBeginStatus right)
{
    return left == right;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ledger_state)

// Two concurrent turns of one program must not exceed its budget together, even if each alone fits.
BOOST_AUTO_TEST_CASE(reservation_counts_towards_the_budget_until_the_turn_finishes)
{
    LedgerState state;
    BOOST_TEST(isStatus(apply(state, begin("a", 150)), TurnBeginStatus::Granted));
    BOOST_TEST(isStatus(apply(state, begin("b", 150)), TurnBeginStatus::BudgetExhausted));
    apply(state, finish("a", 40));
    BOOST_TEST(state.spent("program") == 40);
    BOOST_TEST(isStatus(apply(state, begin("c", 150)), TurnBeginStatus::Granted));
}

BOOST_AUTO_TEST_CASE(proposed_reservations_count_towards_the_budget)
{
    const LedgerState state;
    BOOST_TEST(isStatus(state.check(begin("a", 150), 150), TurnBeginStatus::BudgetExhausted));
    BOOST_TEST(isStatus(state.check(begin("a", 150), 100), TurnBeginStatus::Granted));
}

// An entry retries a begin at the next leader when the reply was lost in a leader change.
BOOST_AUTO_TEST_CASE(retried_begin_is_reserved_once)
{
    LedgerState state;
    apply(state, begin("a", 200));
    BOOST_TEST(isStatus(apply(state, begin("a", 200)), TurnBeginStatus::Granted));
    apply(state, finish("a", 50));
    BOOST_TEST(state.spent("program") == 50);
}

BOOST_AUTO_TEST_CASE(repeated_finish_is_charged_once)
{
    LedgerState state;
    apply(state, begin("a"));
    apply(state, finish("a", 70));
    apply(state, finish("a", 70));
    BOOST_TEST(state.spent("program") == 70);
    BOOST_TEST(state.turnCount() == 1U);
}

BOOST_AUTO_TEST_CASE(turn_that_did_not_run_is_free_and_interrupted_turn_is_charged_for_returned_tokens)
{
    LedgerState state;
    apply(state, begin("a", 200));
    apply(state, finish("a", 0, TurnEnding::NotRun));
    BOOST_TEST(state.spent("program") == 0);
    apply(state, begin("b", 200));
    apply(state, finish("b", 30, TurnEnding::Interrupted));
    BOOST_TEST(state.spent("program") == 30);
    BOOST_TEST(!state.hasTurn("b"));
}

BOOST_AUTO_TEST_CASE(history_contains_all_previous_turns_oldest_first)
{
    LedgerState state;
    apply(state, finish("a", 1));
    apply(state, finish("b", 1, TurnEnding::Complete, "a"));
    apply(state, finish("other", 1, TurnEnding::Complete, "a"));
    BOOST_TEST(historyOf(state, "b") == "in-a;out-a\nin-b;out-b\n");
    BOOST_TEST(isStatus(apply(state, begin("c", 1, -1, "nobody")), TurnBeginStatus::NoSuchTurn));
    BOOST_TEST(isStatus(apply(state, begin("c", 1, -1, "b")), TurnBeginStatus::Granted));
}

BOOST_AUTO_TEST_CASE(history_is_retained_as_long_as_its_last_turn)
{
    LedgerState state;
    apply(state, finish("a", 1), startMs);
    apply(state, finish("b", 1, TurnEnding::Complete, "a"), startMs + 50'000);
    apply(state, finish("x", 1), startMs + 100'000);
    BOOST_TEST(historyOf(state, "b") == "in-a;out-a\nin-b;out-b\n");
    apply(state, finish("y", 1), startMs + 150'000);
    BOOST_TEST(!state.hasTurn("a"));
    BOOST_TEST(!state.hasTurn("b"));
    BOOST_TEST(state.turnBytes() == (std::string("in-x;out-x\n") + "in-y;out-y\n").size());
}

// Guards against a part of a history that is taken for a complete one.
BOOST_AUTO_TEST_CASE(a_history_that_lacks_a_turn_is_incomplete)
{
    LedgerState state;
    apply(state, finish("b", 1, TurnEnding::Complete, "a"));
    apply(state, finish("c", 1, TurnEnding::Complete, "b"));
    BOOST_TEST(!state.history("b"));
    BOOST_TEST(!state.history("c"));
    BOOST_TEST(!state.history("nobody"));
    BOOST_TEST(state.history("").value().empty());
}

// Guards against a history whose oldest turns are left out because there are too many.
BOOST_AUTO_TEST_CASE(a_history_with_too_many_turns_is_incomplete)
{
    LedgerState state;
    const auto name = [](std::size_t number) { return number == 0 ? std::string() : "t" + std::to_string(number); };
    // Added last turn first, since each finish visits the predecessors that are known.
    for (std::size_t i = LedgerState::maxHistoryTurns + 1; i > 0; --i) {
        apply(state, finish(name(i), 1, TurnEnding::Complete, name(i - 1)));
    }
    BOOST_TEST(state.history(name(LedgerState::maxHistoryTurns)).value().size() == LedgerState::maxHistoryTurns);
    BOOST_TEST(!state.history(name(LedgerState::maxHistoryTurns + 1)));
}

// Guards against early or late expiry after a leader change between VMs with different clocks.
BOOST_AUTO_TEST_CASE(leader_change_neither_shortens_nor_restarts_the_retention_time)
{
    LedgerState state;
    const TimePoint start {};
    LedgerClock first;
    first.resumeFrom(state.nowMs(), start);
    apply(state, finish("a", 1), first.nowMs(start + Milliseconds(5000)));
    // Steady clocks of different machines are unrelated.
    const TimePoint elsewhere = start + std::chrono::hours(1000);
    LedgerClock second;
    second.resumeFrom(state.nowMs(), elsewhere);
    apply(state, finish("b", 1, TurnEnding::Complete, "a"), second.nowMs(elsewhere + Milliseconds(59'000)));
    BOOST_TEST(state.hasTurn("a"));
    // The leader change does not restart the retention time.
    apply(state, finish("c", 1), second.nowMs(elsewhere + Milliseconds(180'000)));
    BOOST_TEST(!state.hasTurn("a"));
    BOOST_TEST(!state.hasTurn("b"));
}

BOOST_AUTO_TEST_CASE(spent_tokens_are_retained_as_long_as_the_turns_of_the_program)
{
    LedgerState state;
    apply(state, begin("a", 250));
    apply(state, finish("a", 250));
    BOOST_TEST(isStatus(apply(state, begin("b", 10), startMs + 55'000), TurnBeginStatus::BudgetExhausted));
}

BOOST_AUTO_TEST_CASE(document_with_the_highest_version_wins)
{
    LedgerState state;
    apply(state, RouteDocumentPut {5, "five"});
    apply(state, RouteDocumentPut {5, "other"});
    apply(state, RouteDocumentPut {3, "three"});
    BOOST_TEST(state.documentVersion() == 5U);
    BOOST_TEST(state.document() == "five");
    apply(state, RouteDocumentPut {9, "nine"});
    BOOST_TEST(state.document() == "nine");
}

// Guards against members that diverge because they expire items at different times.
BOOST_AUTO_TEST_CASE(member_restored_from_a_snapshot_stays_identical_to_the_others)
{
    LedgerState one;
    apply(one, begin("r", 30));
    apply(one, finish("a", 1));
    apply(one, RouteDocumentPut {5, "five"});
    apply(one, LedgerVm {"vm-1", "127.0.0.1:7001", true});
    LedgerState two = LedgerState::decode(one.encode()).value();
    BOOST_TEST(two.isReserved("program", "r"));
    BOOST_TEST(two.vms().at("vm-1").isRetiring);
    for (std::int64_t step = 0; step < 200; ++step) {
        const std::string turn = "t" + std::to_string(step);
        apply(one, finish(turn, 1), startMs + step * 900);
        apply(two, finish(turn, 1), startMs + step * 900);
        BOOST_TEST(one.turnCount() == two.turnCount());
        BOOST_TEST(one.turnBytes() == two.turnBytes());
    }
}

BOOST_AUTO_TEST_CASE(commands_round_trip_and_invalid_bytes_are_rejected)
{
    const LedgerCommand command {startMs, finish("a", 12, TurnEnding::Interrupted, "p")};
    const LedgerCommand read = decodeLedgerCommand(encodeLedgerCommand(command)).value();
    BOOST_TEST(read.nowMs == startMs);
    const auto &end = std::get<TurnFinish>(read.action);
    BOOST_TEST(end.turn == "a");
    BOOST_TEST(end.tokens == 12);
    BOOST_TEST((end.ending == TurnEnding::Interrupted));
    BOOST_TEST(!decodeLedgerCommand("nonsense").has_value());
    BOOST_TEST(!LedgerState::decode("nonsense, but longer than a word").has_value());
}

// Account limits must survive leader changes and restores.
BOOST_AUTO_TEST_CASE(recent_account_usage_round_trips_through_log_and_snapshot)
{
    LedgerState state;
    LogIndex index = 0;
    const auto report = [&](std::int64_t nowMs, std::vector<AccountUsage> usage) {
        const std::string bytes = encodeLedgerCommand({nowMs, UsageReport {std::move(usage)}});
        state.apply(decodeLedgerCommand(bytes).value(), ++index);
    };
    report(1000, {{"officers", 3}, {"foremen", 1}});
    report(2000, {{"officers", 4}});
    const UsageLog::Items items = LedgerState::decode(state.encode()).value().usage().items();
    BOOST_TEST((items == state.usage().items()));
    BOOST_TEST((items.at("officers") == std::deque<UsageLog::Item> {{1000, 3}, {2000, 4}}));
    report(2000 + UsageLog::retentionMs, {{"foremen", 2}});
    BOOST_TEST(state.usage().items().at("officers").size() == 1U);
    BOOST_TEST(state.usage().items().at("foremen").size() == 1U);
}

// Guards against a late copy of a record that replaces the version at which the stream's events were delivered.
BOOST_AUTO_TEST_CASE(a_stream_keeps_the_version_of_its_latest_attempt_until_it_expires)
{
    const ServerVersion first {"engines", "v1"};
    const ServerVersion second {"engines", "v2"};
    LedgerState state;
    constexpr std::uint32_t retentionMs = 4000;
    TurnBegin begin;
    begin.turn = "s";
    begin.version = first;
    begin.streamRetentionMs = retentionMs;
    state.apply({0, begin}, 1);
    begin.version = second;
    state.apply({0, begin}, 2);
    BOOST_TEST((*state.streamVersion("s") == first));
    state.apply({0, StreamVersion {"s", second, 2, retentionMs}}, 3);
    state.apply({0, StreamVersion {"s", first, 1, retentionMs}}, 4);
    state.apply({0, begin}, 5);
    BOOST_TEST((*state.streamVersion("s") == second));
    BOOST_TEST((*LedgerState::decode(state.encode()).value().streamVersion("s") == second));
    BOOST_TEST(state.streamVersion("other") == nullptr);
    state.apply({retentionMs, StreamVersion {"other", first, 1, retentionMs}}, 6);
    BOOST_TEST(state.streamVersion("s") != nullptr);
    constexpr std::int64_t farLaterMs = 60'000;
    state.apply({farLaterMs, StreamVersion {"last", first, 1, retentionMs}}, 7);
    BOOST_TEST(state.streamVersion("s") == nullptr);
    BOOST_TEST(state.streamCount() == 1U);
}

// Guards against a refused or short-lived turn that leaves a record, and against records of streams that can't be
// resumed.
BOOST_AUTO_TEST_CASE(a_begin_records_a_version_only_for_a_granted_turn_that_can_be_resumed)
{
    LedgerState state;
    TurnBegin begin;
    begin.turn = "plain";
    begin.version = {"engines", "v1"};
    state.apply({0, begin}, 1);
    begin.turn = "refused";
    begin.program = "p";
    begin.streamRetentionMs = 4000;
    begin.maxTokens = 50;
    begin.budget = 10;
    BOOST_TEST((state.apply({0, begin}, 2) == TurnBeginStatus::BudgetExhausted));
    BOOST_TEST(state.streamCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
