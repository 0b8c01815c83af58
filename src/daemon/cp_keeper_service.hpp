#ifndef CARDAMOMPOST_CP_KEEPER_SERVICE_HPP_INCLUDED
#define CARDAMOMPOST_CP_KEEPER_SERVICE_HPP_INCLUDED

#include "cp_disk_thread.hpp"

#include <cardamompost/journal/cp_journal_keeper.hpp>
#include <cardamompost/net/cp_frame.hpp>

namespace cardamompost
{

//! Serves owners' requests to the journal replicas on this VM. Thread-safe.
class KeeperService
{
public:
    using Done = std::function<void(Result<FrameBody>)>;

    explicit KeeperService(DiskThread &disk);

    //! Errors: NotReady until the promises of a replaced disk are restored; StorageFailed if the disk has failed;
    //! InvalidRequest if the body is not a journal request.
    void handle(FrameBody request, Done done);
    //! Marks an empty store as the replacement of a lost disk.
    void markReplaced(LogBatch &batch);
    //! True until the epochs promised before a disk loss are restored from the control log.
    [[nodiscard]] bool needsPromises();
    //! Restores the promises of a replaced disk. The epochs must come from a control state read after the loss.
    void restorePromises(const std::vector<Epoch> &epochs);

private:
    template<typename Request>
    void post(Request request, Done done);

    DiskThread &disk_;
    JournalKeeper keeper_;
    std::atomic<bool> isReady_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_KEEPER_SERVICE_HPP_INCLUDED
