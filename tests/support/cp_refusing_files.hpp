#ifndef CARDAMOMPOST_TESTS_CP_REFUSING_FILES_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_REFUSING_FILES_HPP_INCLUDED

#include <cardamompost/storage/cp_posix_files.hpp>

#include <atomic>

namespace cardamompost::tests
{

//! A folder of the machine whose disk refuses all writes while a switch is on, as a full one does.
class RefusingFiles : public IFiles
{
public:
    using Switch = std::shared_ptr<std::atomic<bool>>;

    RefusingFiles(std::unique_ptr<IFiles> files, Switch refuses)
        : files_(std::move(files))
        , refuses_(std::move(refuses))
    {
    }

    [[nodiscard]] Result<std::vector<std::string>> list() override
    {
        return files_->list();
    }
    [[nodiscard]] Result<std::unique_ptr<IFile>> open(const std::string &name) override
    {
        BOOST_OUTCOME_TRY(auto file, files_->open(name));
        return std::unique_ptr<IFile>(std::make_unique<File>(std::move(file), refuses_));
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
        File(std::unique_ptr<IFile> file, Switch refuses)
            : file_(std::move(file))
            , refuses_(std::move(refuses))
        {
        }
        Result<void> append(std::string_view bytes) override
        {
            if (*refuses_) {
                return makeError(ErrorKind::StorageFailed, "no space left on the disk");
            }
            return file_->append(bytes);
        }
        Result<void> sync() override
        {
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
        Switch refuses_;
    };

    std::unique_ptr<IFiles> files_;
    Switch refuses_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_REFUSING_FILES_HPP_INCLUDED
