#ifndef CARDAMOMPOST_TESTS_CP_MEMORY_FILES_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_MEMORY_FILES_HPP_INCLUDED

#include <cardamompost/storage/cp_ifiles.hpp>

#include <map>
#include <random>

namespace cardamompost::tests
{

//! A folder in memory that simulates crashes, torn writes and disk errors.
class MemoryFiles : public IFiles
{
public:
    struct Content {
        std::string bytes;
        std::size_t syncedBytes = 0;
    };

    class File : public IFile
    {
    public:
        File(MemoryFiles &files, std::shared_ptr<Content> content)
            : files_(files)
            , content_(std::move(content))
        {
        }
        Result<void> append(std::string_view bytes) override
        {
            if (files_.writesUntilFull == 0) {
                return makeError(ErrorKind::StorageFailed, "no space left");
            }
            files_.writesUntilFull -= files_.writesUntilFull > 0 ? 1 : 0;
            content_->bytes += bytes;
            return boost::outcome_v2::success();
        }
        Result<void> sync() override
        {
            if (files_.failSyncs) {
                return makeError(ErrorKind::StorageFailed, "input/output error");
            }
            if (!files_.ignoreSyncs) {
                content_->syncedBytes = content_->bytes.size();
            }
            ++files_.syncs;
            return boost::outcome_v2::success();
        }
        Result<std::string> readAt(std::uint64_t offset, std::size_t length) override
        {
            if (offset + length > content_->bytes.size()) {
                return makeError(ErrorKind::StorageFailed, "read beyond the end");
            }
            return content_->bytes.substr(offset, length);
        }
        Result<void> truncate(std::uint64_t size) override
        {
            content_->bytes.resize(size);
            content_->syncedBytes = std::min<std::size_t>(content_->syncedBytes, size);
            return sync();
        }
        [[nodiscard]] std::uint64_t size() const override
        {
            return content_->bytes.size();
        }

    private:
        MemoryFiles &files_;
        std::shared_ptr<Content> content_;
    };

    Result<std::vector<std::string>> list() override
    {
        std::vector<std::string> names;
        for (const auto &[name, content] : contents) {
            names.push_back(name);
        }
        return names;
    }
    Result<std::unique_ptr<IFile>> open(const std::string &name) override
    {
        auto &content = contents[name];
        if (!content) {
            content = std::make_shared<Content>();
        }
        return std::unique_ptr<IFile>(std::make_unique<File>(*this, content));
    }
    Result<void> remove(const std::string &name) override
    {
        contents.erase(name);
        return boost::outcome_v2::success();
    }
    Result<void> syncFolder() override
    {
        return boost::outcome_v2::success();
    }

    //! Simulates a crash with torn writes: keeps a random prefix of the unsynced data, possibly with a damaged byte.
    void crash(std::mt19937_64 &random)
    {
        for (auto &[name, content] : contents) {
            const std::size_t unsynced = content->bytes.size() - content->syncedBytes;
            const std::size_t kept = unsynced == 0 ? 0 : random() % (unsynced + 1);
            content->bytes.resize(content->syncedBytes + kept);
            if (kept > 0 && random() % 2 == 0) {
                content->bytes[content->syncedBytes + random() % kept] ^= 0x5A;
            }
            content->syncedBytes = content->bytes.size();
        }
    }

    //! Discards all unsynced data.
    void losePower()
    {
        for (auto &[name, content] : contents) {
            content->bytes.resize(content->syncedBytes);
        }
    }

    std::map<std::string, std::shared_ptr<Content>> contents;
    bool ignoreSyncs = false;
    bool failSyncs = false;
    //! Writes that succeed before the disk is full; -1 for no limit.
    int writesUntilFull = -1;
    int syncs = 0;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_MEMORY_FILES_HPP_INCLUDED
