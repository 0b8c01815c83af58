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

//! How far an owner has come with its journal.
enum class JournalPhase {
    //! Waiting for a quorum of keepers to promise the epoch.
    Sealing,
    //! Reading what earlier owners left.
    Reading,
    //! Waiting for the first entry of the own epoch to be committed.
    Confirming,
    //! Entries may be appended.
    Open,
    //! A higher epoch exists; nothing can be written any more.
    Deposed,
};

struct JournalWriterOptions {
    PartitionId partition = 0;
    Epoch epoch = 0;
    VmName self;
    std::vector<VmName> keepers;
    std::size_t maxAppendBytes = 1U << 20U;
    //! Entries kept for keepers that lag; what is older is read back from another keeper.
    std::size_t windowBytes = 4U << 20U;
    Milliseconds requestTimeout {1000};
    Milliseconds retryInterval {50};
};

//! A request that the driver sends to a keeper and whose reply, or failure, it hands back.
struct JournalRequest {
    VmName keeper;
    std::uint64_t id = 0;
    std::variant<SealRequest, JournalAppend, JournalRead> body;
};

using JournalReplyBody = std::variant<SealReply, JournalAppendReply, JournalReadReply>;

//! The only writer of one partition's journal during one epoch: a state machine without sockets or clock.
//!
//! Sealing a quorum stops every earlier owner: it can't get a quorum for an append any more, whatever it believes
//! about its lease. The best sealed copy then holds all that was ever committed (the leader-completeness argument
//! of Raft), and is read before anything is appended.
//! Each keeper has one request under way, so entries that arrive meanwhile go together in the next: group commit.
//! Thread-safety: none; the partition's lock guards it.
class JournalWriter
{
public:
    explicit JournalWriter(JournalWriterOptions options);

    void tick(TimePoint now);
    //! Stores an entry behind the others. Only in phase Open. \returns its index
    LogIndex append(std::string payload);

    //! Requests that are due now.
    [[nodiscard]] std::vector<JournalRequest> takeRequests(TimePoint now);
    void onReply(TimePoint now, const VmName &keeper, std::uint64_t id, const JournalReplyBody &reply);
    //! The keeper can't be reached, or did not answer in time.
    void onFailure(TimePoint now, const VmName &keeper, std::uint64_t id);

    //! True when nothing is under way and no keeper lags, so that tick() has nothing to do until the next append.
    [[nodiscard]] bool isQuiet() const;
    //! A keeper's process was started anew, perhaps without its disk: finds out what it holds.
    void recheck(const VmName &keeper);

    [[nodiscard]] JournalPhase phase() const
    {
        return phase_;
    }
    [[nodiscard]] LogIndex commitIndex() const
    {
        return commit_;
    }
    [[nodiscard]] LogIndex lastIndex() const
    {
        return lastIndex_;
    }
    [[nodiscard]] Epoch epoch() const
    {
        return options_.epoch;
    }
    //! Entries read from the keepers, in order. A changed generation means that reading began again at the first.
    struct Recovered {
        std::uint64_t generation = 0;
        std::vector<LogEntry> entries;
    };
    [[nodiscard]] Recovered takeRecovered();
    //! Keepers whose copy is whole up to the commit index.
    [[nodiscard]] std::size_t upToDateKeepers() const;
    //! Highest index that a keeper is known to hold of this journal.
    [[nodiscard]] LogIndex matchOf(const VmName &keeper) const;

private:
    struct Keeper {
        std::optional<SealReply> sealed;
        bool isKnown = false;
        LogIndex match = 0;
        LogIndex next = 0;
        std::uint64_t pendingId = 0;
        TimePoint sentAt {};
        TimePoint retryAt {};
        int failures = 0;
        //! Set while this keeper is read to bring another one up to date.
        VmName readFor;
        //! The last index that was asked for.
        LogIndex readTo = 0;
        bool isReading = false;
    };
    struct Position {
        LogIndex index = 0;
        Term term = 0;
    };

    void send(const VmName &name, Keeper &keeper, std::variant<SealRequest, JournalAppend, JournalRead> body);
    void pump(TimePoint now);
    void pumpSealing(TimePoint now);
    void pumpReading(TimePoint now);
    void pumpAppending(const VmName &name, Keeper &keeper, TimePoint now);
    void appendFromWindow(const VmName &name, Keeper &keeper);
    void startCopy(const VmName &laggard, TimePoint now);
    void onSeal(Keeper &keeper, const SealReply &reply);
    void onAppend(Keeper &keeper, const JournalAppendReply &reply);
    void onRead(const VmName &name, Keeper &keeper, const JournalReadReply &reply);
    void onCopyRead(const VmName &laggingKeeperName, LogIndex readTo, const JournalReadReply &reply);
    void onSourceLost(const VmName &name, Keeper &keeper);
    void startReading();
    void finishReading();
    void push(EntryKind kind, std::string payload);
    void advanceCommit();
    void trimWindow();
    void depose(Epoch promised);
    [[nodiscard]] std::size_t quorum() const;
    [[nodiscard]] bool isFree(const Keeper &keeper, TimePoint now) const;
    void addFromWindow(JournalAppend &request, LogIndex from) const;

    JournalWriterOptions options_;
    JournalPhase phase_ = JournalPhase::Sealing;
    std::map<VmName, Keeper> keepers_;
    std::vector<JournalRequest> outbox_;
    std::uint64_t nextId_ = 1;
    TimePoint now_ {};
    //! Entries of this epoch, and the position right before the first of them.
    std::deque<LogEntry> window_;
    Position beforeWindow_;
    std::size_t windowSize_ = 0;
    LogIndex lastIndex_ = 0;
    LogIndex commit_ = 0;
    LogIndex barrier_ = 0;
    VmName source_;
    Position sourceEnd_;
    LogIndex readFrom_ = 1;
    Recovered recovered_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_JOURNAL_WRITER_HPP_INCLUDED
