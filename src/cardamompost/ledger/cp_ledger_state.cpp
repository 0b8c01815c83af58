#include <cardamompost/ledger/cp_ledger_state.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

// Guards against a turn that a caller may still continue: its answer may have reached the caller later than its end was
// made durable, and steady clocks differ. What is kept outlives its retention by this much, in milliseconds.
constexpr std::int64_t expiryMarginMs = 15'000;
constexpr std::int64_t sweepIntervalMs = 2000;
// Longest history that is followed; far above any real one, and an end for a damaged one.
constexpr std::size_t maxHistoryTurns = 10'000;

} // namespace

TurnBeginStatus LedgerState::apply(const LedgerCommand &command, LogIndex index)
{
    advanceTime(command.nowMs);
    if (const auto *put = std::get_if<RouteDocumentPut>(&command.action)) {
        applyDocument(*put);
    } else if (const auto *begin = std::get_if<TurnBegin>(&command.action)) {
        return applyBegin(*begin);
    } else if (const auto *finish = std::get_if<TurnFinish>(&command.action)) {
        applyFinish(*finish, index);
    } else if (const auto *report = std::get_if<UsageReport>(&command.action)) {
        usage_.add(nowMs_, report->usage);
    } else {
        applyVm(std::get<LedgerVm>(command.action));
    }
    return TurnBeginStatus::Granted;
}

void LedgerState::advanceTime(std::int64_t nowMs)
{
    // A new leader may not have applied all commands of the last one when it takes its time over; it never goes back.
    const std::int64_t before = nowMs_;
    nowMs_ = std::max(nowMs_, nowMs);
    // The sweeps' times follow from the commands alone, so that members that began with a snapshot sweep with the rest.
    if (nowMs_ / sweepIntervalMs != before / sweepIntervalMs) {
        expire();
    }
}

void LedgerState::expire()
{
    std::erase_if(programs_, [&](const auto &item) { return item.second.expiresMs < nowMs_; });
    std::erase_if(turns_, [&](const auto &item) {
        const bool isOver = item.second.expiresMs < nowMs_;
        if (isOver) {
            turnBytes_ -= item.second.bytes;
            texts_.forget(item.second.index);
        }
        return isOver;
    });
}

void LedgerState::applyDocument(const RouteDocumentPut &put)
{
    // Equal versions with other content, and versions that come late, change nothing: what is in force never reverts.
    if (put.version > document_.version) {
        document_ = put;
    }
}

bool LedgerState::isReserved(const std::string &program, const std::string &turn) const
{
    const auto found = programs_.find(program);
    return found != programs_.end() && found->second.reservations.contains(turn);
}

TurnBeginStatus LedgerState::check(const TurnBegin &begin, std::int64_t pendingTokens) const
{
    if (!begin.previous.empty() && !turns_.contains(begin.previous)) {
        return TurnBeginStatus::NoSuchTurn;
    }
    // An entry that lost the answer asks again; the same attempt is reserved once.
    if (begin.budget < 0 || isReserved(begin.program, begin.turn)) {
        return TurnBeginStatus::Granted;
    }
    const std::int64_t taken = pendingTokens + spent(begin.program) + reserved(begin.program);
    return taken + begin.tokensAtMost <= begin.budget ? TurnBeginStatus::Granted : TurnBeginStatus::BudgetExhausted;
}

TurnBeginStatus LedgerState::applyBegin(const TurnBegin &begin)
{
    const TurnBeginStatus status = check(begin, 0);
    if (begin.program.empty()) {
        return status;
    }
    Program &program = programs_[begin.program];
    touchProgram(program, begin.retentionMs);
    if (status == TurnBeginStatus::Granted) {
        program.reservations.emplace(begin.turn, begin.tokensAtMost);
    }
    return status;
}

void LedgerState::applyFinish(const TurnFinish &finish, LogIndex index)
{
    if (!finish.program.empty()) {
        Program &program = programs_[finish.program];
        touchProgram(program, finish.retentionMs);
        // A finish that is sent again finds no reservation and settles nothing twice.
        if (program.reservations.erase(finish.turn) != 0) {
            program.spent += finish.ending == TurnEnding::NotRun ? 0 : finish.tokens;
        }
    }
    if (finish.ending == TurnEnding::Complete && finish.isKept) {
        keepTurn(finish, index);
    }
}

void LedgerState::keepTurn(const TurnFinish &finish, LogIndex index)
{
    const std::int64_t expiresMs = nowMs_ + finish.retentionMs + expiryMarginMs;
    const auto [turn, isNew] = turns_.try_emplace(finish.turn);
    if (isNew) {
        const std::size_t bytes = finish.input.size() + finish.output.size();
        turn->second = {finish.previous, expiresMs, index, static_cast<std::uint32_t>(bytes)};
        turnBytes_ += bytes;
        texts_.add(index, finish.input + finish.output);
    }
    extendHistory(finish.turn, expiresMs);
}

void LedgerState::extendHistory(const std::string &last, std::int64_t expiresMs)
{
    auto turn = turns_.find(last);
    for (std::size_t steps = 0; turn != turns_.end() && steps < maxHistoryTurns; ++steps) {
        turn->second.expiresMs = std::max(turn->second.expiresMs, expiresMs);
        turn = turn->second.previous.empty() ? turns_.end() : turns_.find(turn->second.previous);
    }
}

void LedgerState::touchProgram(Program &program, std::uint32_t retentionMs)
{
    program.expiresMs = std::max(program.expiresMs, nowMs_ + retentionMs + expiryMarginMs);
}

void LedgerState::applyVm(const LedgerVm &vm)
{
    vms_[vm.vm] = vm;
}

std::vector<LogIndex> LedgerState::history(const std::string &turn) const
{
    std::vector<LogIndex> indexes;
    auto found = turns_.find(turn);
    while (found != turns_.end() && indexes.size() < maxHistoryTurns) {
        indexes.push_back(found->second.index);
        found = found->second.previous.empty() ? turns_.end() : turns_.find(found->second.previous);
    }
    std::reverse(indexes.begin(), indexes.end());
    return indexes;
}

void LedgerState::takeTexts(TurnTexts &&texts)
{
    texts_ = std::move(texts);
    std::map<LogIndex, std::size_t> sizes;
    for (const auto &[name, turn] : turns_) {
        sizes.emplace(turn.index, turn.bytes);
    }
    texts_.retain(sizes);
}

std::int64_t LedgerState::spent(const std::string &program) const
{
    const auto found = programs_.find(program);
    return found == programs_.end() ? 0 : found->second.spent;
}

std::int64_t LedgerState::reserved(const std::string &program) const
{
    std::int64_t sum = 0;
    if (const auto found = programs_.find(program); found != programs_.end()) {
        for (const auto &[turn, tokens] : found->second.reservations) {
            sum += tokens;
        }
    }
    return sum;
}

} // namespace cardamompost
