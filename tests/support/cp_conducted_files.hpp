#ifndef CARDAMOMPOST_TESTS_CP_CONDUCTED_FILES_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_CONDUCTED_FILES_HPP_INCLUDED

#include <cardamompost/storage/cp_posix_files.hpp>

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

namespace cardamompost::tests
{

//! What a disk does, and what it was asked to.
struct DiskConduct {
    //! It refuses all writes, as a full one does.
    std::atomic<bool> refuses {false};
    //! How long each sync takes besides, in milliseconds.
    std::atomic<int> syncDelayMs {0};
    //! Most bytes that one sync had to wait for.
    std::atomic<std::size_t> largestSync {0};
};

//! A folder of the machine whose disk behaves as it is told to.
class ConductedFiles : public IFiles
{
public:
    using Conduct = std::shared_ptr<DiskConduct>;

    ConductedFiles(std::unique_ptr<IFiles> files, Conduct conduct)
        : files_(std::move(files))
        , conduct_(std::move(conduct))
    {
    }

    [[nodiscard]] Result<std::vector<std::string>> list() override
    {
        return files_->list();
    }
    [[nodiscard]] Result<std::unique_ptr<IFile>> open(const std::string &name) override
    {
        BOOST_OUTCOME_TRY(auto file, files_->open(name));
        return std::unique_ptr<IFile>(std::make_unique<File>(std::move(file), conduct_));
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
        File(std::unique_ptr<IFile> file, Conduct conduct)
            : file_(std::move(file))
            , conduct_(std::move(conduct))
        {
        }
        Result<void> append(std::string_view bytes) override
        {
            if (conduct_->refuses) {
                return makeError(ErrorKind::StorageFailed, "no space left on the disk");
            }
            unsynced_ += bytes.size();
            return file_->append(bytes);
        }
        Result<void> sync() override
        {
            conduct_->largestSync = std::max(conduct_->largestSync.load(), std::exchange(unsynced_, 0));
            std::this_thread::sleep_for(std::chrono::milliseconds(conduct_->syncDelayMs.load()));
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
        Conduct conduct_;
        std::size_t unsynced_ = 0;
    };

    std::unique_ptr<IFiles> files_;
    Conduct conduct_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_CONDUCTED_FILES_HPP_INCLUDED
