#include <cardamompost/ledger/cp_ledger_state.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

constexpr std::int64_t sweepIntervalMs = 2000;

} // namespace

TurnBeginStatus LedgerState::apply(const LedgerCommand &command, LogIndex index)
{
    advanceTime(command.nowMs, index);
    if (const auto *put = std::get_if<RouteDocumentPut>(&command.action)) {
        applyDocument(*put);
    } else if (const auto *begin = std::get_if<TurnBegin>(&command.action)) {
        return applyBegin(*begin);
    } else if (const auto *finish = std::get_if<TurnFinish>(&command.action)) {
        applyFinish(*finish, index);
    } else if (const auto *stream = std::get_if<StreamVersion>(&command.action)) {
        applyStreamVersion(*stream);
    } else if (const auto *report = std::get_if<UsageReport>(&command.action)) {
        usage_.add(nowMs_, report->usage);
    } else if (const auto *end = std::get_if<BackendEnd>(&command.action)) {
        quarantine_.recordEnd(*end, nowMs_, index);
    } else if (const auto *clearance = std::get_if<SuspectClearance>(&command.action)) {
        quarantine_.clear(*clearance, index);
    } else {
        applyVm(std::get<LedgerVm>(command.action));
    }
    return TurnBeginStatus::Granted;
}

void LedgerState::advanceTime(std::int64_t nowMs, LogIndex index)
{
    // Time is monotonic even if a new leader started its clock before it had applied all earlier commands.
    const std::int64_t before = nowMs_;
    nowMs_ = std::max(nowMs_, nowMs);
    // Sweep times depend on command times only, so members restored from a snapshot expire the same items.
    if (nowMs_ / sweepIntervalMs != before / sweepIntervalMs) {
        expire(index);
    }
}

void LedgerState::expire(LogIndex index)
{
    quarantine_.expire(nowMs_, index);
    std::erase_if(programs_, [&](const auto &item) { return item.second.expiresMs < nowMs_; });
    std::erase_if(streams_, [&](const auto &item) { return item.second.expiresMs < nowMs_; });
    std::erase_if(turns_, [&](const auto &item) {
        const bool isExpired = item.second.expiresMs < nowMs_;
        if (isExpired) {
            turnBytes_ -= item.second.bytes;
            texts_.remove(item.second.index);
        }
        return isExpired;
    });
}

void LedgerState::applyDocument(const RouteDocumentPut &put)
{
    // Equal and older versions are ignored, so the document never reverts.
    if (put.version > document_.version) {
        document_ = put;
    }
}

bool LedgerState::isReserved(const std::string &program, const std::string &turn) const
{
    const auto found = programs_.find(program);
    return found != programs_.end() && found->second.reservations.contains(turn);
}

bool LedgerState::isAdmitted(const TurnBegin &begin) const
{
    const auto program = programs_.find(begin.program);
    if (program == programs_.end()) {
        return false;
    }
    const auto found = program->second.reservations.find(begin.turn);
    return found != program->second.reservations.end() && found->second.admission == begin.admission;
}

TurnBeginStatus LedgerState::check(const TurnBegin &begin, std::int64_t pendingTokens) const
{
    if (!begin.previous.empty() && !turns_.contains(begin.previous)) {
        return TurnBeginStatus::NoSuchTurn;
    }
    // A retry of the same attempt is reserved only once.
    if (begin.budget < 0 || isReserved(begin.program, begin.turn)) {
        return TurnBeginStatus::Granted;
    }
    const std::int64_t taken = pendingTokens + spent(begin.program) + reserved(begin.program);
    return taken + begin.maxTokens <= begin.budget ? TurnBeginStatus::Granted : TurnBeginStatus::BudgetExhausted;
}

TurnBeginStatus LedgerState::applyBegin(const TurnBegin &begin)
{
    const TurnBeginStatus status = check(begin, 0);
    if (status == TurnBeginStatus::Granted && begin.version.isKnown() && begin.streamRetentionMs != 0) {
        applyStreamVersion({begin.turn, begin.version, 0, begin.streamRetentionMs});
    }
    if (begin.program.empty()) {
        return status;
    }
    Program &program = programs_[begin.program];
    extendProgramRetention(program, begin.retentionMs);
    if (status == TurnBeginStatus::Granted) {
        program.reservations.emplace(begin.turn, Program::Reservation {begin.maxTokens, begin.admission});
    }
    return status;
}

void LedgerState::applyFinish(const TurnFinish &finish, LogIndex index)
{
    if (!finish.program.empty()) {
        Program &program = programs_[finish.program];
        extendProgramRetention(program, finish.retentionMs);
        // A repeated finish finds no reservation and is not charged again.
        if (program.reservations.erase(finish.turn) != 0) {
            program.spent += finish.ending == TurnEnding::NotRun ? 0 : finish.tokens;
        }
    }
    if (finish.ending == TurnEnding::Complete && finish.isRetained) {
        retainTurn(finish, index);
    }
}

void LedgerState::retainTurn(const TurnFinish &finish, LogIndex index)
{
    const std::int64_t expiresMs = nowMs_ + finish.retentionMs + expiryMarginMs;
    const auto [turn, isNew] = turns_.try_emplace(finish.turn);
    if (isNew) {
        const std::size_t bytes = finish.input.size() + finish.output.size();
        turn->second = {finish.previous, expiresMs, index, static_cast<std::uint32_t>(bytes)};
        turnBytes_ += bytes;
        texts_.add(index, finish.input + finish.output);
    }
    extendHistoryRetention(finish.turn, expiresMs);
}

void LedgerState::extendHistoryRetention(const std::string &last, std::int64_t expiresMs)
{
    auto turn = turns_.find(last);
    for (std::size_t steps = 0; turn != turns_.end() && steps < maxHistoryTurns; ++steps) {
        turn->second.expiresMs = std::max(turn->second.expiresMs, expiresMs);
        turn = turn->second.previous.empty() ? turns_.end() : turns_.find(turn->second.previous);
    }
}

void LedgerState::extendProgramRetention(Program &program, std::uint32_t retentionMs)
{
    program.expiresMs = std::max(program.expiresMs, nowMs_ + retentionMs + expiryMarginMs);
}

void LedgerState::applyVm(const LedgerVm &vm)
{
    vms_[vm.vm] = vm;
}

void LedgerState::applyStreamVersion(const StreamVersion &record)
{
    // Of equal attempts the first counts, since an entry may have relied on it.
    const auto [stream, isNew] = streams_.try_emplace(record.stream);
    if (isNew || record.attempt > stream->second.attempt) {
        stream->second = {record.version, record.attempt, nowMs_ + record.retentionMs + expiryMarginMs};
    }
}

const ServerVersion *LedgerState::streamVersion(const std::string &stream) const
{
    const auto found = streams_.find(stream);
    return found == streams_.end() ? nullptr : &found->second.version;
}

std::int64_t LedgerState::retainedUntilMs(const std::string &turn) const
{
    // Each extension covers all predecessors, so none of them expires before the turn.
    const auto found = turns_.find(turn);
    return found == turns_.end() ? 0 : found->second.expiresMs;
}

std::optional<std::vector<LogIndex>> LedgerState::history(const std::string &turn) const
{
    std::vector<LogIndex> indexes;
    for (const std::string *next = &turn; !next->empty();) {
        const auto found = turns_.find(*next);
        if (found == turns_.end() || indexes.size() == maxHistoryTurns) {
            return std::nullopt;
        }
        indexes.push_back(found->second.index);
        next = &found->second.previous;
    }
    std::reverse(indexes.begin(), indexes.end());
    return indexes;
}

std::size_t LedgerState::historyBytes(const std::string &turn) const
{
    std::size_t bytes = 0;
    for (auto found = turns_.find(turn); found != turns_.end(); found = turns_.find(found->second.previous)) {
        bytes += found->second.bytes;
    }
    return bytes;
}

void LedgerState::adoptTexts(TurnTexts &&texts)
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
        for (const auto &[turn, reservation] : found->second.reservations) {
            sum += reservation.tokens;
        }
    }
    return sum;
}

} // namespace cardamompost
