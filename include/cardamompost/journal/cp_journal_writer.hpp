#ifndef CARDAMOMPOST_CP_JOURNAL_WRITER_HPP_INCLUDED
#define CARDAMOMPOST_CP_JOURNAL_WRITER_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/journal/cp_journal_message.hpp>

#include <deque>
#include <map>
#include <optional>
#include <variant>

namespace cardamompost
{

enum class JournalPhase {
    //! Waiting for a quorum of keepers to promise the epoch.
    Sealing,
    //! Reading the entries of earlier epochs.
    Recovering,
    //! Waiting until the first entry of this epoch is committed.
    CommittingBarrier,
    //! Entries may be appended.
    Open,
    //! A keeper has promised a higher epoch; final.
    Deposed,
};

struct JournalWriterOptions {
    PartitionId partition = 0;
    Epoch epoch = 0;
    VmName self;
    std::vector<VmName> keepers;
    std::size_t maxAppendBytes = 1U << 20U;
    //! Size limit of the entries kept in memory. Above it, committed entries are dropped even if a keeper lags; that
    //! keeper is then sent the entries that another one has stored.
    std::size_t windowBytes = 4U << 20U;
    Milliseconds requestTimeout {1000};
    Milliseconds retryInterval {50};
};

//! A request to send to a keeper. The caller passes its outcome to onReply() or onFailure().
struct JournalRequest {
    VmName keeper;
    std::uint64_t id = 0;
    std::variant<SealRequest, JournalAppend, JournalRead> body;
};

using JournalReplyBody = std::variant<SealReply, JournalAppendReply, JournalReadReply>;

//! The only writer of one partition's journal during one epoch: a state machine without I/O or clock.
//!
//! Sealing a quorum fences every earlier owner: none of them can get a quorum for an append, even while it still
//! considers its lease valid. The sealed replica with the highest (term, index) holds all committed entries (the leader
//! completeness property of Raft) and is read before anything is appended.
//! Each keeper has at most one request in flight; entries appended meanwhile share the next one (group commit).
//! Not thread-safe; guarded by the partition's lock.
class JournalWriter
{
public:
    explicit JournalWriter(JournalWriterOptions options);

    void tick(TimePoint now);
    //! Appends an entry; only in phase Open. \returns its index
    LogIndex append(std::string payload);

    [[nodiscard]] std::vector<JournalRequest> takeRequests(TimePoint now);
    void onReply(TimePoint now, const VmName &keeper, std::uint64_t id, const JournalReplyBody &reply);
    //! The keeper is unreachable, or the request has timed out.
    void onFailure(TimePoint now, const VmName &keeper, std::uint64_t id);

    //! True if the journal is open, no request is in flight and no keeper lags: tick() may pause until the next append.
    [[nodiscard]] bool isIdle() const;
    //! Determines the match index of a keeper again; for a keeper that restarted and may have lost its disk.
    void invalidateMatchIndex(const VmName &keeper);

    [[nodiscard]] JournalPhase phase() const
    {
        return phase_;
    }
    [[nodiscard]] LogIndex commitIndex() const
    {
        return commitIndex_;
    }
    [[nodiscard]] LogIndex lastIndex() const
    {
        return lastIndex_;
    }
    [[nodiscard]] Epoch epoch() const
    {
        return options_.epoch;
    }
    //! Entries of earlier epochs, in order, that were read since the last takeRecovered(). A new generation restarts at
    //! the first entry; the entries of earlier generations are to be discarded.
    struct Recovered {
        std::uint64_t generation = 0;
        std::vector<LogEntry> entries;
    };
    [[nodiscard]] Recovered takeRecovered();
    //! Number of keepers that match up to the commit index.
    [[nodiscard]] std::size_t upToDateKeeperCount() const;
    //! Match index of a keeper; 0 if unknown.
    [[nodiscard]] LogIndex matchIndexOf(const VmName &keeper) const;

private:
    struct Keeper {
        //! Empty while the keeper has to be sealed.
        std::optional<SealReply> sealReply;
        bool isMatchKnown = false;
        LogIndex matchIndex = 0;
        LogIndex nextIndex = 0;
        //! Request in flight; 0 if there is none.
        std::uint64_t pendingId = 0;
        TimePoint sentAt {};
        TimePoint retryAt {};
        //! Consecutive failed requests, up to the limit of the backoff.
        int failures = 0;
        //! The lagging keeper that the pending read is for; empty for a read of the recovery.
        VmName readForLaggingKeeper;
        //! Last index of that read.
        LogIndex readTo = 0;
        bool isReadPending = false;
    };
    struct Position {
        LogIndex index = 0;
        Term term = 0;
    };

    void send(const VmName &name, Keeper &keeper, std::variant<SealRequest, JournalAppend, JournalRead> body);
    void prepareRequests(TimePoint now);
    void prepareSeals(TimePoint now);
    void prepareRecoveryRead(TimePoint now);
    void prepareAppend(const VmName &name, Keeper &keeper, TimePoint now);
    void appendFromWindow(const VmName &name, Keeper &keeper);
    void startCatchUp(const VmName &lagging, TimePoint now);
    void onSeal(Keeper &keeper, const SealReply &reply);
    void onAppend(Keeper &keeper, const JournalAppendReply &reply);
    void onRead(const VmName &name, Keeper &keeper, const JournalReadReply &reply);
    void onCatchUpRead(const VmName &laggingName, LogIndex readTo, const JournalReadReply &reply);
    void onReadSourceLost(const VmName &name, Keeper &keeper);
    void startRecovery();
    void finishRecovery();
    void appendEntry(EntryKind kind, std::string payload);
    void advanceCommit();
    void trimWindow();
    void depose(Epoch promised);
    [[nodiscard]] std::size_t quorum() const;
    [[nodiscard]] bool canSend(const Keeper &keeper, TimePoint now) const;
    void addFromWindow(JournalAppend &request, LogIndex from) const;

    JournalWriterOptions options_;
    JournalPhase phase_ = JournalPhase::Sealing;
    std::map<VmName, Keeper> keepers_;
    std::vector<JournalRequest> outbox_;
    std::uint64_t nextId_ = 1;
    TimePoint now_ {};
    //! Entries of this epoch that are still in memory, and the position before the first of them.
    std::deque<LogEntry> window_;
    Position beforeWindow_;
    std::size_t windowBytes_ = 0;
    LogIndex lastIndex_ = 0;
    LogIndex commitIndex_ = 0;
    LogIndex barrierIndex_ = 0;
    //! Recovery: the keeper that entries are read from, its last entry, and the first index that is not read yet.
    VmName readSource_;
    Position sourceEnd_;
    LogIndex readFrom_ = 1;
    Recovered recovered_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_JOURNAL_WRITER_HPP_INCLUDED
