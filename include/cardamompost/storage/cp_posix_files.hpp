#ifndef CARDAMOMPOST_CP_POSIX_FILES_HPP_INCLUDED
#define CARDAMOMPOST_CP_POSIX_FILES_HPP_INCLUDED

#include <cardamompost/storage/cp_ifiles.hpp>

namespace cardamompost
{

//! Files of a folder in the file system, locked against other processes.
class PosixFiles : public IFiles
{
public:
    //! \param syncWrites  false disables syncs, for benchmarks only
    //! Errors: StorageFailed when the folder can't be created or is locked by another process.
    [[nodiscard]] static Result<std::unique_ptr<PosixFiles>> openFolder(const std::string &folder,
                                                                        bool syncWrites = true);
    ~PosixFiles() override;
    PosixFiles(const PosixFiles &) = delete;
    PosixFiles &operator=(const PosixFiles &) = delete;

    [[nodiscard]] Result<std::vector<std::string>> list() override;
    [[nodiscard]] Result<std::unique_ptr<IFile>> open(const std::string &name) override;
    Result<void> remove(const std::string &name) override;
    Result<void> syncFolder() override;

private:
    PosixFiles(std::string folder, int folderDescriptor, int lockDescriptor, bool syncWrites);

    std::string folder_;
    int folderDescriptor_;
    int lockDescriptor_;
    bool syncWrites_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_POSIX_FILES_HPP_INCLUDED
