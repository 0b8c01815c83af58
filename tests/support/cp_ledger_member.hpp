#ifndef CARDAMOMPOST_TESTS_CP_LEDGER_MEMBER_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_LEDGER_MEMBER_HPP_INCLUDED

#include "cp_memory_files.hpp"
#include "gateway/cp_consensus_driver.hpp"
#include "gateway/cp_turn_text_store.hpp"

#include <cardamompost/ledger/cp_ledger_state.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <set>
#include <thread>

namespace cardamompost::tests
{

//! Files of another folder that outlive their user.
class SharedMemoryFiles : public IFiles
{
public:
    explicit SharedMemoryFiles(MemoryFiles &files)
        : files_(files)
    {
    }
    Result<std::vector<std::string>> list() override
    {
        return files_.list();
    }
    Result<std::unique_ptr<IFile>> open(const std::string &name) override
    {
        return files_.open(name);
    }
    Result<void> remove(const std::string &name) override
    {
        return files_.remove(name);
    }
    Result<void> syncFolder() override
    {
        return files_.syncFolder();
    }

private:
    MemoryFiles &files_;
};

//! A follower of the ledger's group with a disk in memory. The test plays the leader.
class LedgerMember : public IReplicatedState
{
public:
    static constexpr Term term = 1;
    static constexpr LogIndex foundingIndex = 1;
    static constexpr const char *self = "follower";
    static constexpr const char *leader = "leader";

    explicit LedgerMember(MemoryFiles &files)
        : disk_(std::make_unique<SharedMemoryFiles>(files), log_, metrics_)
        , peers_(io_.get_executor(), traffic_)
        , texts_({io_, disk_, peers_, log_, metrics_, [this]() -> TurnTexts & { return state_.texts(); },
                  [] { return std::vector<VmName>(); }})
        , driver_({io_, disk_, peers_, log_, metrics_}, *this)
    {
        BOOST_REQUIRE(disk_.open());
        LogStore &store = disk_.store();
        if (store.isEmpty()) {
            LogBatch batch;
            batch.putHardState(controlGroup, {term, {}});
            batch.putSnapshot(controlGroup, {foundingIndex, term, members(), LedgerState {}.encode()});
            BOOST_REQUIRE(store.write(batch));
        }
        RaftStoredState stored = store.loadRaft(controlGroup).value();
        texts_.open(store);
        disk_.start();
        RaftOptions options;
        options.self = self;
        options.electionTimeout = std::chrono::hours(1);
        BOOST_REQUIRE(driver_.start(std::move(options), std::move(stored), {}));
    }
    ~LedgerMember() override
    {
        texts_.stop();
        driver_.stop();
        disk_.stop();
    }
    LedgerMember(const LedgerMember &) = delete;
    LedgerMember &operator=(const LedgerMember &) = delete;

    //! Delivers entries that the leader has committed.
    void append(std::vector<LogEntry> entries)
    {
        RaftMessage message = fromLeader(RaftMessageType::Append);
        message.index = entries.front().index - 1;
        message.indexTerm = term;
        message.commit = entries.back().index;
        message.entries = std::move(entries);
        driver_.onMessage(std::move(message));
    }
    //! Delivers a snapshot of the leader's state in one chunk.
    void receiveSnapshot(LogIndex index, std::string state)
    {
        RaftMessage message = fromLeader(RaftMessageType::SnapshotChunk);
        message.snapshot = {index, term, members(), std::move(state)};
        message.isLastChunk = true;
        driver_.onMessage(std::move(message));
    }
    //! Runs until an index is applied. \returns false if the disk has failed before
    [[nodiscard]] bool runUntilApplied(LogIndex index)
    {
        while (driver_.applied() < index) {
            if (!disk_.isHealthy()) {
                return false;
            }
            if (io_.poll() == 0) {
                std::this_thread::yield();
            }
        }
        return true;
    }
    //! Runs until all writes that were begun are on disk, or the disk has failed.
    void runUntilStored()
    {
        while (disk_.isHealthy() && isStoringSnapshot_) {
            if (io_.poll() == 0) {
                std::this_thread::yield();
            }
        }
    }
    [[nodiscard]] LedgerState &state()
    {
        return state_;
    }
    [[nodiscard]] bool isStoringSnapshot() const
    {
        return isStoringSnapshot_;
    }

    void apply(const LogEntry &entry) override
    {
        static_cast<void>(state_.apply(decodeLedgerCommand(entry.payload).value(), entry.index));
    }
    Result<void> restore(const RaftSnapshot &snapshot) override
    {
        LedgerState fresh = LedgerState::decode(snapshot.state).value();
        fresh.adoptTexts(std::move(state_.texts()));
        state_ = std::move(fresh);
        return boost::outcome_v2::success();
    }
    [[nodiscard]] std::string encodeSnapshot() const override
    {
        return state_.encode();
    }
    void addToSnapshot(LogBatch &batch) override
    {
        isStoringSnapshot_ = true;
        texts_.addToSnapshot(batch);
    }
    void onSnapshotStored() override
    {
        isStoringSnapshot_ = false;
        state_.texts().endStoring();
    }
    void onChange() override { }

private:
    static Membership members()
    {
        return {{self, leader, "other"}, {}};
    }
    static RaftMessage fromLeader(RaftMessageType type)
    {
        RaftMessage message;
        message.type = type;
        message.from = leader;
        message.to = self;
        message.term = term;
        return message;
    }

    boost::asio::io_context io_;
    EventLog log_ {self, {}, "error"};
    MetricRegistry metrics_;
    PeerTraffic traffic_;
    DiskThread disk_;
    PeerClients peers_;
    LedgerState state_;
    TurnTextStore texts_;
    ConsensusDriver driver_;
    bool isStoringSnapshot_ = false;
};

//! Indexes of the turn texts that a restart would find, in the log or beside it.
inline std::set<LogIndex> durableTexts(MemoryFiles &files)
{
    files.writesUntilFull = -1;
    files.losePower();
    LogStore store = LogStore::open(files).value();
    std::set<LogIndex> indexes;
    for (const GroupId group : {controlGroup, textGroup}) {
        for (const StoredEntry &entry : store.group(group).entries) {
            indexes.insert(entry.index);
        }
    }
    return indexes;
}

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_LEDGER_MEMBER_HPP_INCLUDED
