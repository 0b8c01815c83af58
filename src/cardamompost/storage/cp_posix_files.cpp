#include <cardamompost/storage/cp_posix_files.hpp>

#include <fmt/format.h>

#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <system_error>
#include <unistd.h>

namespace cardamompost
{

namespace
{

constexpr std::string_view lockName = "lock";
constexpr mode_t filePermissions = 0600;

Error systemError(std::string_view action, std::string_view name)
{
    const std::string reason = std::error_code(errno, std::generic_category()).message();
    return makeError(ErrorKind::StorageFailed, fmt::format("cannot {} '{}': {}", action, name, reason));
}

class PosixFile : public IFile
{
public:
    PosixFile(std::string name, int descriptor, std::uint64_t size, bool syncWrites)
        : name_(std::move(name))
        , descriptor_(descriptor)
        , size_(size)
        , syncWrites_(syncWrites)
    {
    }
    ~PosixFile() override
    {
        ::close(descriptor_);
    }
    PosixFile(const PosixFile &) = delete;
    PosixFile &operator=(const PosixFile &) = delete;

    Result<void> append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const ssize_t written = ::pwrite(descriptor_, bytes.data(), bytes.size(), static_cast<off_t>(size_));
            if (written < 0 && errno == EINTR) {
                continue;
            }
            if (written <= 0) {
                return systemError("write", name_);
            }
            size_ += static_cast<std::uint64_t>(written);
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return boost::outcome_v2::success();
    }

    Result<void> sync() override
    {
        if (syncWrites_ && ::fdatasync(descriptor_) != 0) {
            return systemError("sync", name_);
        }
        return boost::outcome_v2::success();
    }

    Result<std::string> readAt(std::uint64_t offset, std::size_t length) override
    {
        std::string bytes(length, '\0');
        std::size_t done = 0;
        while (done < length) {
            const ssize_t bytesRead
                = ::pread(descriptor_, bytes.data() + done, length - done, static_cast<off_t>(offset + done));
            if (bytesRead < 0 && errno == EINTR) {
                continue;
            }
            if (bytesRead < 0) {
                return systemError("read", name_);
            }
            if (bytesRead == 0) {
                return makeError(
                    ErrorKind::StorageFailed,
                    fmt::format("cannot read '{}': the file ends before offset {}", name_, offset + length));
            }
            done += static_cast<std::size_t>(bytesRead);
        }
        return bytes;
    }

    Result<void> truncate(std::uint64_t size) override
    {
        if (::ftruncate(descriptor_, static_cast<off_t>(size)) != 0) {
            return systemError("truncate", name_);
        }
        size_ = size;
        return sync();
    }

    [[nodiscard]] std::uint64_t size() const override
    {
        return size_;
    }

private:
    std::string name_;
    int descriptor_;
    std::uint64_t size_;
    bool syncWrites_;
};

} // namespace

Result<std::unique_ptr<PosixFiles>> PosixFiles::openFolder(const std::string &folder, bool syncWrites)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    const int folderDescriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folderDescriptor < 0) {
        return systemError("open folder", folder);
    }
    const int lockDescriptor
        = ::openat(folderDescriptor, std::string(lockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, filePermissions);
    // Two processes in one data folder would overwrite each other's entries. The kernel releases the lock when the
    // process ends.
    if (lockDescriptor < 0 || ::flock(lockDescriptor, LOCK_EX | LOCK_NB) != 0) {
        const Error failure = systemError("lock folder", folder);
        ::close(folderDescriptor);
        if (lockDescriptor >= 0) {
            ::close(lockDescriptor);
        }
        return failure;
    }
    return std::unique_ptr<PosixFiles>(new PosixFiles(folder, folderDescriptor, lockDescriptor, syncWrites));
}

PosixFiles::PosixFiles(std::string folder, int folderDescriptor, int lockDescriptor, bool syncWrites)
    : folder_(std::move(folder))
    , folderDescriptor_(folderDescriptor)
    , lockDescriptor_(lockDescriptor)
    , syncWrites_(syncWrites)
{
}

PosixFiles::~PosixFiles()
{
    ::close(lockDescriptor_);
    ::close(folderDescriptor_);
}

Result<std::vector<std::string>> PosixFiles::list()
{
    std::vector<std::string> names;
    std::error_code error;
    for (auto item = std::filesystem::directory_iterator(folder_, error);
         !error && item != std::filesystem::directory_iterator(); item.increment(error)) {
        const std::string name = item->path().filename().string();
        if (name != lockName) {
            names.push_back(name);
        }
    }
    if (error) {
        return makeError(ErrorKind::StorageFailed, fmt::format("cannot list '{}': {}", folder_, error.message()));
    }
    return names;
}

Result<std::unique_ptr<IFile>> PosixFiles::open(const std::string &name)
{
    const int descriptor = ::openat(folderDescriptor_, name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, filePermissions);
    if (descriptor < 0) {
        return systemError("open", name);
    }
    const off_t size = ::lseek(descriptor, 0, SEEK_END);
    if (size < 0) {
        const Error failure = systemError("seek", name);
        ::close(descriptor);
        return failure;
    }
    return std::unique_ptr<IFile>(
        std::make_unique<PosixFile>(name, descriptor, static_cast<std::uint64_t>(size), syncWrites_));
}

Result<void> PosixFiles::remove(const std::string &name)
{
    if (::unlinkat(folderDescriptor_, name.c_str(), 0) != 0) {
        return systemError("remove", name);
    }
    return boost::outcome_v2::success();
}

Result<void> PosixFiles::syncFolder()
{
    if (syncWrites_ && ::fsync(folderDescriptor_) != 0) {
        return systemError("sync folder", folder_);
    }
    return boost::outcome_v2::success();
}

} // namespace cardamompost
