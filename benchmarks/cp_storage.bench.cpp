#include "cp_bench.hpp"

#include <cardamompost/storage/cp_log_store.hpp>
#include <cardamompost/storage/cp_posix_files.hpp>

#include <filesystem>

// Compares synced writes of the log store with a plain write-and-sync loop on the same disk; reports the append rate,
// the recovery rate and the memory per entry.

namespace
{

using namespace cardamompost;
using cardamompost::bench::secondsOf;

constexpr std::size_t batchBytes = 64U << 10U;
constexpr std::size_t entryBytes = 1024;
constexpr int batches = 300;

double plainWriteSeconds(IFiles &files)
{
    auto file = files.open("bare").value();
    const std::string bytes(batchBytes, 'x');
    return secondsOf([&] {
        for (int i = 0; i < batches; ++i) {
            static_cast<void>(file->append(bytes));
            static_cast<void>(file->sync());
        }
    });
}

double storeWriteSeconds(LogStore &store, LogIndex &next)
{
    const std::string payload(entryBytes, 'x');
    return secondsOf([&] {
        for (int i = 0; i < batches; ++i) {
            LogBatch batch;
            for (std::size_t bytes = 0; bytes < batchBytes; bytes += entryBytes) {
                batch.putEntry(1, {next++, 1, EntryKind::Command, payload});
            }
            static_cast<void>(store.write(batch));
        }
    });
}

} // namespace

int main()
{
    namespace fs = std::filesystem;
    const fs::path folder = fs::temp_directory_path()
        / ("cardamompost-bench-" + std::to_string(std::chrono::steady_clock::now().time_since_epoch().count()));
    cardamompost::bench::Bounds bounds;
    {
        auto plainFiles = PosixFiles::openFolder((folder / "bare").string()).value();
        auto files = PosixFiles::openFolder((folder / "store").string()).value();
        LogStore store = LogStore::open(*files).value();
        LogIndex next = 1;
        storeWriteSeconds(store, next);
        const double plainWrite = plainWriteSeconds(*plainFiles);
        const double storeWrite = storeWriteSeconds(store, next);
        const double mebibytes = batches * static_cast<double>(batchBytes) / (1U << 20U);
        bounds.show("bare write and sync, 64 KiB", mebibytes / plainWrite, "MiB/s");
        bounds.show("log store, 64 KiB batches of 1 KiB entries", mebibytes / storeWrite, "MiB/s");
        bounds.show("synced appends", batches * static_cast<double>(batchBytes / entryBytes) / storeWrite, "entries/s");
        bounds.atLeast("byte rate of the log store against the bare loop", plainWrite / storeWrite, 0.7);
        bounds.atLeast("entries a sync", static_cast<double>(batchBytes) / entryBytes, 20);
    }
    {
        auto files = PosixFiles::openFolder((folder / "store").string()).value();
        std::size_t entries = 0;
        const double recovery = secondsOf([&] { entries = LogStore::open(*files).value().group(1).entries.size(); });
        bounds.show("recovery of a store", static_cast<double>(entries) / recovery, "entries/s");
        bounds.show("memory of an entry's place", sizeof(StoredEntry), "bytes");
    }
    fs::remove_all(folder);
    return bounds.exitCode();
}
