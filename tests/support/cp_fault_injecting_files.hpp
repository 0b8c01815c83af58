#ifndef CARDAMOMPOST_TESTS_CP_FAULT_INJECTING_FILES_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_FAULT_INJECTING_FILES_HPP_INCLUDED

#include <cardamompost/storage/cp_posix_files.hpp>

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

namespace cardamompost::tests
{

//! Faults to inject into a disk, and statistics of its use.
struct DiskFaults {
    //! All writes fail, as on a full disk.
    std::atomic<bool> failWrites {false};
    //! Delay added to each sync.
    std::atomic<int> syncDelayMs {0};
    //! Largest amount of data written by a single sync.
    std::atomic<std::size_t> largestSyncBytes {0};
};

//! Injects write errors and slow syncs into another folder.
class FaultInjectingFiles : public IFiles
{
public:
    using SharedFaults = std::shared_ptr<DiskFaults>;

    FaultInjectingFiles(std::unique_ptr<IFiles> files, SharedFaults faults)
        : files_(std::move(files))
        , faults_(std::move(faults))
    {
    }

    [[nodiscard]] Result<std::vector<std::string>> list() override
    {
        return files_->list();
    }
    [[nodiscard]] Result<std::unique_ptr<IFile>> open(const std::string &name) override
    {
        BOOST_OUTCOME_TRY(auto file, files_->open(name));
        return std::unique_ptr<IFile>(std::make_unique<File>(std::move(file), faults_));
    }
    Result<void> remove(const std::string &name) override
    {
        return files_->remove(name);
    }
    Result<void> syncFolder() override
    {
        return files_->syncFolder();
    }

private:
    class File : public IFile
    {
    public:
        File(std::unique_ptr<IFile> file, SharedFaults faults)
            : file_(std::move(file))
            , faults_(std::move(faults))
        {
        }
        Result<void> append(std::string_view bytes) override
        {
            if (faults_->failWrites) {
                return makeError(ErrorKind::StorageFailed, "no space left on the disk");
            }
            unsyncedBytes_ += bytes.size();
            return file_->append(bytes);
        }
        Result<void> sync() override
        {
            faults_->largestSyncBytes = std::max(faults_->largestSyncBytes.load(), std::exchange(unsyncedBytes_, 0));
            std::this_thread::sleep_for(std::chrono::milliseconds(faults_->syncDelayMs.load()));
            return file_->sync();
        }
        Result<std::string> readAt(std::uint64_t offset, std::size_t length) override
        {
            return file_->readAt(offset, length);
        }
        Result<void> truncate(std::uint64_t size) override
        {
            return file_->truncate(size);
        }
        [[nodiscard]] std::uint64_t size() const override
        {
            return file_->size();
        }

    private:
        std::unique_ptr<IFile> file_;
        SharedFaults faults_;
        std::size_t unsyncedBytes_ = 0;
    };

    std::unique_ptr<IFiles> files_;
    SharedFaults faults_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_FAULT_INJECTING_FILES_HPP_INCLUDED
