#ifndef CARDAMOMPOST_CP_IFILES_HPP_INCLUDED
#define CARDAMOMPOST_CP_IFILES_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>

#include <memory>
#include <vector>

namespace cardamompost
{

//! An append-only file. Appended data is durable once sync() has succeeded.
class IFile
{
public:
    virtual ~IFile() = default;

    //! Errors: StorageFailed, after which the unsynced part of the file is undefined.
    virtual Result<void> append(std::string_view bytes) = 0;
    //! Errors: StorageFailed. A failed sync must not be retried: the kernel may have marked the failed pages as clean.
    virtual Result<void> sync() = 0;
    //! Reads exactly length bytes. Errors: StorageFailed, also for a range beyond the end.
    virtual Result<std::string> readAt(std::uint64_t offset, std::size_t length) = 0;
    virtual Result<void> truncate(std::uint64_t size) = 0;
    [[nodiscard]] virtual std::uint64_t size() const = 0;
};

//! The files of a folder.
class IFiles
{
public:
    virtual ~IFiles() = default;

    [[nodiscard]] virtual Result<std::vector<std::string>> list() = 0;
    //! Opens a file, or creates it; a created file is durable once syncFolder() has succeeded.
    [[nodiscard]] virtual Result<std::unique_ptr<IFile>> open(const std::string &name) = 0;
    virtual Result<void> remove(const std::string &name) = 0;
    virtual Result<void> syncFolder() = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_IFILES_HPP_INCLUDED
