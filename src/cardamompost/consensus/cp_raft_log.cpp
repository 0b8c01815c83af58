#include <cardamompost/consensus/cp_raft_log.hpp>
#include <cardamompost/core/cp_invariant.hpp>

namespace cardamompost
{

namespace
{

// Approximate size of an entry in a message in addition to its payload.
constexpr std::size_t entryOverheadBytes = 64;

} // namespace

RaftLog::RaftLog(RaftSnapshot snapshot, std::vector<LogEntry> entries, const Membership &initial)
    : snapshot_(std::move(snapshot))
    , entries_(std::move(entries))
{
    if (snapshot_.index == 0) {
        snapshot_.membership = initial;
    }
    membership_ = membershipUpTo(lastIndex());
}

Term RaftLog::lastTerm() const
{
    return entries_.empty() ? snapshot_.term : entries_.back().term;
}

std::optional<Term> RaftLog::termAt(LogIndex index) const
{
    if (index == snapshot_.index) {
        return snapshot_.term;
    }
    if (index < snapshot_.index || index > lastIndex()) {
        return std::nullopt;
    }
    return at(index).term;
}

const LogEntry &RaftLog::at(LogIndex index) const
{
    checkInvariant(index > snapshot_.index && index <= lastIndex(), "log index out of range");
    return entries_[index - snapshot_.index - 1];
}

bool RaftLog::isUpToDate(LogIndex index, Term term) const
{
    return term > lastTerm() || (term == lastTerm() && index >= lastIndex());
}

std::vector<LogEntry> RaftLog::slice(LogIndex from, std::size_t maxBytes) const
{
    std::vector<LogEntry> result;
    std::size_t bytes = 0;
    for (LogIndex index = from; index <= lastIndex(); ++index) {
        const LogEntry &entry = at(index);
        bytes += entry.payload.size() + entryOverheadBytes;
        if (bytes > maxBytes && !result.empty()) {
            break;
        }
        result.push_back(entry);
    }
    return result;
}

void RaftLog::append(LogEntry entry)
{
    checkInvariant(entry.index == lastIndex() + 1, "log indexes are contiguous");
    if (entry.kind == EntryKind::Membership) {
        membership_ = Membership::decode(entry.payload).value_or(membership_);
    }
    entries_.push_back(std::move(entry));
}

void RaftLog::truncateFrom(LogIndex index)
{
    checkInvariant(index > snapshot_.index, "a snapshot is never truncated");
    entries_.resize(index - snapshot_.index - 1);
    membership_ = membershipUpTo(lastIndex());
}

void RaftLog::compact(LogIndex index, std::string state)
{
    const std::optional<Term> term = termAt(index);
    if (!term || index <= snapshot_.index) {
        return;
    }
    Membership membership = membershipUpTo(index);
    const auto count = static_cast<std::ptrdiff_t>(index - snapshot_.index);
    entries_.erase(entries_.begin(), entries_.begin() + count);
    snapshot_ = RaftSnapshot {index, *term, std::move(membership), std::move(state)};
}

void RaftLog::restore(RaftSnapshot snapshot)
{
    snapshot_ = std::move(snapshot);
    entries_.clear();
    membership_ = snapshot_.membership;
}

Membership RaftLog::membershipUpTo(LogIndex index) const
{
    for (LogIndex i = index; i > snapshot_.index; --i) {
        const LogEntry &entry = at(i);
        if (entry.kind != EntryKind::Membership) {
            continue;
        }
        if (auto membership = Membership::decode(entry.payload)) {
            return std::move(*membership);
        }
    }
    return snapshot_.membership;
}

} // namespace cardamompost
