#ifndef CARDAMOMPOST_TESTS_CP_JOURNAL_CLUSTER_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_JOURNAL_CLUSTER_HPP_INCLUDED

#include "cp_raft_cluster.hpp"

#include <cardamompost/journal/cp_journal_keeper.hpp>
#include <cardamompost/journal/cp_journal_writer.hpp>

namespace cardamompost::tests
{

//! Faults that are planted to see that the checker notices them.
struct PlantedJournalFaults {
    //! Keepers accept what comes from a sealed epoch.
    bool ignoresSeals = false;
    //! A keeper that lost its disk seals as if it were new.
    bool sealsBlank = false;
    //! A keeper that lost its disk takes entries from an epoch that it had promised to refuse.
    bool losesPromises = false;
};

//! Keepers with disks, and owners of one partition that come one after another without the earlier ones knowing.
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
        LogIndex acknowledged = 0;
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
            throw Violation("the store does not open: " + store.error().message);
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
        const Epoch newest = owners.empty() ? 0 : owners.rbegin()->first;
        JournalKeeper::restorePromises({planted.losesPromises ? 0 : newest}, batch);
        if (!planted.sealsBlank && !vm.store->write(batch)) {
            throw Violation("the new disk can't be written");
        }
        for (auto &[epoch, owner] : owners) {
            owner->writer->invalidateMatch(name);
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
            pump(owner);
        }
    }

    //! Tells the keepers that an acknowledged entry is not needed any more.
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

    bool waitOpen(Owner &owner, Milliseconds limit = Milliseconds(10'000))
    {
        const TimePoint end = network.now + limit;
        while (network.now < end && owner.writer->phase() != JournalPhase::Open) {
            run(Milliseconds(10));
        }
        return owner.writer->phase() == JournalPhase::Open;
    }

    FakeNetwork network;
    PlantedJournalFaults planted;
    std::vector<VmName> names;
    std::map<VmName, KeeperVm> keepers;
    std::map<Epoch, std::unique_ptr<Owner>> owners;
    //! What owners were told is kept: index and payload.
    std::map<LogIndex, std::string> acknowledged;
    std::map<LogIndex, Epoch> acknowledgedBy;
    std::set<LogIndex> forgotten;
    std::size_t opened = 0;

private:
    void scheduleTick(Epoch epoch)
    {
        network.at(network.now + Milliseconds(10), [this, epoch] {
            Owner &owner = *owners.at(epoch);
            if (owner.writer->phase() == JournalPhase::Deposed) {
                return;
            }
            owner.writer->tick(network.now);
            pump(owner);
            scheduleTick(epoch);
        });
    }

    void pump(Owner &owner)
    {
        for (JournalRequest &request : owner.writer->takeRequests(network.now)) {
            deliver(owner, std::move(request));
        }
        JournalWriter::Recovered recovered = owner.writer->takeRecovered();
        if (recovered.generation != owner.generation) {
            owner.generation = recovered.generation;
            owner.recovered.clear();
        }
        owner.recovered.insert(owner.recovered.end(), recovered.entries.begin(), recovered.entries.end());
        check(owner);
    }

    void check(Owner &owner)
    {
        const JournalPhase phase = owner.writer->phase();
        if (phase == JournalPhase::Open && !owner.hasOpened) {
            owner.hasOpened = true;
            ++opened;
            checkRecovered(owner);
        }
        if (phase != JournalPhase::Open) {
            return;
        }
        for (; owner.acknowledged < owner.writer->commitIndex(); ++owner.acknowledged) {
            const auto written = owner.written.find(owner.acknowledged + 1);
            if (written != owner.written.end()) {
                const auto [place, isNew] = acknowledged.emplace(written->first, written->second);
                acknowledgedBy.emplace(written->first, owner.writer->epoch());
                if (!isNew && place->second != written->second) {
                    throw Violation("two owners were told of different entries at one index");
                }
            }
        }
    }

    void checkRecovered(const Owner &owner)
    {
        std::map<LogIndex, std::string> found;
        LogIndex before = 0;
        for (const LogEntry &entry : owner.recovered) {
            if (entry.index <= before) {
                throw Violation("recovered entries are not in order");
            }
            before = entry.index;
            found[entry.index] = entry.payload;
        }
        for (const auto &[index, payload] : acknowledged) {
            // An owner may hear of its quorum only after a later one has opened; it knows nothing of that one's
            // entries, and gets none of its own confirmed any more.
            if (acknowledgedBy.at(index) > owner.writer->epoch()) {
                continue;
            }
            const auto entry = found.find(index);
            const bool isMissing = entry == found.end() && !forgotten.contains(index);
            if (isMissing || (entry != found.end() && entry->second != payload)) {
                throw Violation(fmt::format("epoch {} lacks the acknowledged entry {}", owner.writer->epoch(), index));
            }
        }
    }

    void deliver(Owner &owner, JournalRequest request)
    {
        const Epoch epoch = owner.writer->epoch();
        const VmName from = "owner-" + std::to_string(epoch);
        const VmName keeper = request.keeper;
        network.send(from, keeper, [this, epoch, from, keeper, request = std::move(request)] {
            KeeperVm &vm = keepers.at(keeper);
            if (!vm.keeper) {
                return;
            }
            const std::optional<JournalReplyBody> reply = answer(vm, request);
            if (!reply) {
                return;
            }
            network.send(keeper, from, [this, epoch, keeper, id = request.id, reply = *reply] {
                Owner &target = *owners.at(epoch);
                target.writer->onReply(network.now, keeper, id, reply);
                pump(target);
            });
        });
    }

    std::optional<JournalReplyBody> answer(KeeperVm &vm, const JournalRequest &request)
    {
        LogBatch batch;
        std::optional<JournalReplyBody> reply;
        if (const auto *seal = std::get_if<SealRequest>(&request.body)) {
            reply = vm.keeper->seal(*seal, batch);
        } else if (const auto *append = std::get_if<JournalAppend>(&request.body)) {
            reply = vm.keeper->append(liftEpoch(vm, *append), batch);
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

    JournalAppend liftEpoch(const KeeperVm &vm, JournalAppend append) const
    {
        const RaftHardState &hard = vm.store->group(journalGroup(0)).hard;
        if (planted.ignoresSeals && append.epoch < hard.term) {
            append.epoch = hard.term;
            append.owner = hard.votedFor;
        }
        return append;
    }
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_JOURNAL_CLUSTER_HPP_INCLUDED
