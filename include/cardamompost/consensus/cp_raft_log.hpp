#ifndef CARDAMOMPOST_CP_RAFT_LOG_HPP_INCLUDED
#define CARDAMOMPOST_CP_RAFT_LOG_HPP_INCLUDED

#include <cardamompost/consensus/cp_raft_message.hpp>

namespace cardamompost
{

//! Snapshot of a group, the entries that follow it, and the membership that they define.
class RaftLog
{
public:
    RaftLog(RaftSnapshot snapshot, std::vector<LogEntry> entries, const Membership &initial);

    [[nodiscard]] LogIndex lastIndex() const
    {
        return snapshot_.index + entries_.size();
    }
    [[nodiscard]] Term lastTerm() const;
    //! The term at an index; empty for an index that is compacted or beyond the end.
    [[nodiscard]] std::optional<Term> termAt(LogIndex index) const;
    [[nodiscard]] const LogEntry &at(LogIndex index) const;
    [[nodiscard]] const RaftSnapshot &snapshot() const
    {
        return snapshot_;
    }
    //! The membership of the latest membership entry, committed or not.
    [[nodiscard]] const Membership &membership() const
    {
        return membership_;
    }
    //! True when a log that ends at this index and term is at least as up to date as this one.
    [[nodiscard]] bool isUpToDate(LogIndex index, Term term) const;

    //! Entries from an index on, up to a total size; at least one if there is any.
    [[nodiscard]] std::vector<LogEntry> slice(LogIndex from, std::size_t maxBytes) const;

    void append(LogEntry entry);
    void truncateFrom(LogIndex index);
    void compact(LogIndex index, std::string state);
    void restore(RaftSnapshot snapshot);

private:
    [[nodiscard]] Membership membershipUpTo(LogIndex index) const;

    RaftSnapshot snapshot_;
    std::vector<LogEntry> entries_;
    Membership membership_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_RAFT_LOG_HPP_INCLUDED
