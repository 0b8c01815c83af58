#ifndef CARDAMOMPOST_TESTS_CP_JOURNAL_CLUSTER_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_JOURNAL_CLUSTER_HPP_INCLUDED

#include "cp_raft_cluster.hpp"

#include <cardamompost/journal/cp_journal_keeper.hpp>
#include <cardamompost/journal/cp_journal_writer.hpp>

namespace cardamompost::tests
{

//! Defects injected to test that the simulation detects them.
struct InjectedJournalDefects {
    //! Keepers accept appends of sealed epochs.
    bool acceptsSealedEpochs = false;
    //! A keeper that has lost its disk seals as if it were new.
    bool sealsAfterDiskLoss = false;
    //! A keeper that has lost its disk accepts appends of epochs that it had promised to reject.
    bool forgetsPromisesAfterDiskLoss = false;
};

//! Keepers and successive owners of one partition on a simulated network; owners are not told of a takeover.
class JournalCluster
{
public:
    struct KeeperVm {
        MemoryFiles files;
        std::unique_ptr<LogStore> store;
        std::unique_ptr<JournalKeeper> keeper;
    };
    struct Owner {
        std::unique_ptr<JournalWriter> writer;
        std::vector<LogEntry> recovered;
        std::uint64_t generation = 0;
        //! Entries written in this epoch, by index.
        std::map<LogIndex, std::string> written;
        LogIndex acknowledgedIndex = 0;
        bool hasOpened = false;
    };

    explicit JournalCluster(std::uint64_t seed, std::size_t keeperCount = 3)
        : network(seed)
    {
        for (std::size_t i = 1; i <= keeperCount; ++i) {
            names.push_back("keeper-" + std::to_string(i));
            start(names.back());
        }
    }

    void start(const VmName &name)
    {
        KeeperVm &vm = keepers[name];
        if (vm.keeper) {
            return;
        }
        Result<LogStore> store = LogStore::open(vm.files, {2048, 0.6});
        if (!store) {
            throw Violation("cannot open the store: " + store.error().message);
        }
        vm.store = std::make_unique<LogStore>(std::move(store.value()));
        vm.keeper = std::make_unique<JournalKeeper>(*vm.store);
    }

    void crash(const VmName &name)
    {
        KeeperVm &vm = keepers.at(name);
        vm.keeper.reset();
        vm.store.reset();
        vm.files.crash(network.random);
    }

    void wipe(const VmName &name)
    {
        crash(name);
        KeeperVm &vm = keepers.at(name);
        vm.files = MemoryFiles();
        start(name);
        LogBatch batch;
        JournalKeeper::markUninitialized(batch);
        const Epoch newestEpoch = owners.empty() ? 0 : owners.rbegin()->first;
        JournalKeeper::restorePromises({defects.forgetsPromisesAfterDiskLoss ? 0 : newestEpoch}, batch);
        if (!defects.sealsAfterDiskLoss && !vm.store->write(batch)) {
            throw Violation("cannot write to the replacement disk");
        }
        for (auto &[epoch, owner] : owners) {
            owner->writer->invalidateMatchIndex(name);
        }
    }

    Owner &addOwner()
    {
        const Epoch epoch = owners.empty() ? 1 : owners.rbegin()->first + 1;
        auto owner = std::make_unique<Owner>();
        JournalWriterOptions options;
        options.epoch = epoch;
        options.self = "owner-" + std::to_string(epoch);
        options.keepers = names;
        options.maxAppendBytes = 400;
        options.windowBytes = 800;
        options.requestTimeout = Milliseconds(100);
        owner->writer = std::make_unique<JournalWriter>(std::move(options));
        Owner &added = *owner;
        owners.emplace(epoch, std::move(owner));
        scheduleTick(epoch);
        return added;
    }

    void append(Owner &owner, const std::string &payload)
    {
        if (owner.writer->phase() == JournalPhase::Open) {
            owner.written[owner.writer->append(payload)] = payload;
            advance(owner);
        }
    }

    //! Lets the keepers discard an acknowledged entry.
    void forget(Owner &owner, LogIndex index)
    {
        forgotten.insert(index);
        for (const VmName &name : names) {
            JournalForget request {0, owner.writer->epoch(), "owner-" + std::to_string(owner.writer->epoch()), {index}};
            network.send("owner", name, [this, name, request] {
                KeeperVm &vm = keepers.at(name);
                LogBatch batch;
                if (vm.keeper && vm.keeper->forget(request, batch) && (!vm.store->write(batch) || !vm.store->clean())) {
                    vm.keeper.reset();
                }
            });
        }
    }

    void run(Milliseconds time)
    {
        network.runUntil(network.now + time);
    }

    bool waitUntilOpen(Owner &owner, Milliseconds limit = Milliseconds(10'000))
    {
        const TimePoint end = network.now + limit;
        while (network.now < end && owner.writer->phase() != JournalPhase::Open) {
            run(Milliseconds(10));
        }
        return owner.writer->phase() == JournalPhase::Open;
    }

    FakeNetwork network;
    InjectedJournalDefects defects;
    std::vector<VmName> names;
    std::map<VmName, KeeperVm> keepers;
    std::map<Epoch, std::unique_ptr<Owner>> owners;
    //! Payloads of the entries that were acknowledged to an owner, by index.
    std::map<LogIndex, std::string> acknowledged;
    std::map<LogIndex, Epoch> acknowledgedBy;
    std::set<LogIndex> forgotten;
    std::size_t openCount = 0;

private:
    void scheduleTick(Epoch epoch)
    {
        network.at(network.now + Milliseconds(10), [this, epoch] {
            Owner &owner = *owners.at(epoch);
            if (owner.writer->phase() == JournalPhase::Deposed) {
                return;
            }
            owner.writer->tick(network.now);
            advance(owner);
            scheduleTick(epoch);
        });
    }

    void advance(Owner &owner)
    {
        for (JournalRequest &request : owner.writer->takeRequests(network.now)) {
            sendRequest(owner, std::move(request));
        }
        JournalWriter::Recovered recovered = owner.writer->takeRecovered();
        if (recovered.generation != owner.generation) {
            owner.generation = recovered.generation;
            owner.recovered.clear();
        }
        owner.recovered.insert(owner.recovered.end(), recovered.entries.begin(), recovered.entries.end());
        verify(owner);
    }

    void verify(Owner &owner)
    {
        const JournalPhase phase = owner.writer->phase();
        if (phase == JournalPhase::Open && !owner.hasOpened) {
            owner.hasOpened = true;
            ++openCount;
            verifyRecovered(owner);
        }
        if (phase != JournalPhase::Open) {
            return;
        }
        for (; owner.acknowledgedIndex < owner.writer->commitIndex(); ++owner.acknowledgedIndex) {
            const auto written = owner.written.find(owner.acknowledgedIndex + 1);
            if (written != owner.written.end()) {
                const auto [place, isNew] = acknowledged.emplace(written->first, written->second);
                acknowledgedBy.emplace(written->first, owner.writer->epoch());
                if (!isNew && place->second != written->second) {
                    throw Violation("two owners have different acknowledged entries at the same index");
                }
            }
        }
    }

    void verifyRecovered(const Owner &owner)
    {
        std::map<LogIndex, std::string> found;
        LogIndex before = 0;
        for (const LogEntry &entry : owner.recovered) {
            if (entry.index <= before) {
                throw Violation("recovered entries are out of order");
            }
            before = entry.index;
            found[entry.index] = entry.payload;
        }
        for (const auto &[index, payload] : acknowledged) {
            // The seal replies may reach an owner after a later owner has opened the journal. The earlier owner then
            // lacks the entries of the later epoch, but can commit none of its own.
            if (acknowledgedBy.at(index) > owner.writer->epoch()) {
                continue;
            }
            const auto entry = found.find(index);
            const bool isMissing = entry == found.end() && !forgotten.contains(index);
            if (isMissing || (entry != found.end() && entry->second != payload)) {
                throw Violation(fmt::format("epoch {} did not recover the acknowledged entry at index {}",
                                            owner.writer->epoch(), index));
            }
        }
    }

    void sendRequest(Owner &owner, JournalRequest request)
    {
        const Epoch epoch = owner.writer->epoch();
        const VmName from = "owner-" + std::to_string(epoch);
        const VmName keeper = request.keeper;
        network.send(from, keeper, [this, epoch, from, keeper, request = std::move(request)] {
            KeeperVm &vm = keepers.at(keeper);
            if (!vm.keeper) {
                return;
            }
            const std::optional<JournalReplyBody> reply = handleRequest(vm, request);
            if (!reply) {
                return;
            }
            network.send(keeper, from, [this, epoch, keeper, id = request.id, reply = *reply] {
                Owner &target = *owners.at(epoch);
                target.writer->onReply(network.now, keeper, id, reply);
                advance(target);
            });
        });
    }

    std::optional<JournalReplyBody> handleRequest(KeeperVm &vm, const JournalRequest &request)
    {
        LogBatch batch;
        std::optional<JournalReplyBody> reply;
        if (const auto *seal = std::get_if<SealRequest>(&request.body)) {
            reply = vm.keeper->seal(*seal, batch);
        } else if (const auto *append = std::get_if<JournalAppend>(&request.body)) {
            reply = vm.keeper->append(raiseSealedEpoch(vm, *append), batch);
        } else {
            Result<JournalReadReply> read = vm.keeper->read(std::get<JournalRead>(request.body));
            if (!read) {
                return std::nullopt;
            }
            reply = std::move(read.value());
        }
        if (!vm.store->write(batch) || !vm.store->clean()) {
            vm.keeper.reset();
            return std::nullopt;
        }
        return reply;
    }

    //! Injects acceptsSealedEpochs: raises the epoch of an append to the promised one, so that the keeper accepts it.
    JournalAppend raiseSealedEpoch(const KeeperVm &vm, JournalAppend append) const
    {
        const RaftHardState &hard = vm.store->group(journalGroup(0)).hard;
        if (defects.acceptsSealedEpochs && append.epoch < hard.term) {
            append.epoch = hard.term;
            append.owner = hard.votedFor;
        }
        return append;
    }
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_JOURNAL_CLUSTER_HPP_INCLUDED
