#ifndef CARDAMOMPOST_CP_JOURNAL_KEEPER_HPP_INCLUDED
#define CARDAMOMPOST_CP_JOURNAL_KEEPER_HPP_INCLUDED

#include <cardamompost/journal/cp_journal_message.hpp>
#include <cardamompost/storage/cp_log_store.hpp>

namespace cardamompost
{

//! Stores one VM's replicas of the partitions' journals.
//!
//! A journal is a Raft log whose leader is assigned by the control log instead of elected: each epoch has one owner,
//! sealing takes the place of the vote, and the keeper with the highest (term, index) in a quorum holds every
//! committed entry. A keeper follows the rules of a Raft follower.
//! A keeper that has lost its disk seals no journal until an owner has caught it up to the commit index: counted in a
//! seal's quorum, an empty replica could hide a committed entry from the new owner. Its promises are lost as well, so
//! no request may be handled until restorePromises() has set them from the control log.
//! Requests add their writes to a batch; a reply may be sent only after the batch has been written.
//! Not thread-safe; runs on the thread that owns the store.
class JournalKeeper
{
public:
    //! Marks an empty store as the replacement of a lost disk.
    static void markUninitialized(LogBatch &batch);
    //! Restores the promises that were lost with the disk.
    //! \param epochs  epoch of each partition, indexed by partition, read from the control log after the loss
    static void restorePromises(const std::vector<Epoch> &epochs, LogBatch &batch);
    //! False on a replaced disk until its promises are restored; no request may be handled until then.
    [[nodiscard]] bool isReady() const;

    explicit JournalKeeper(LogStore &store);

    SealReply seal(const SealRequest &request, LogBatch &batch);
    JournalAppendReply append(const JournalAppend &request, LogBatch &batch);
    //! Deletes the given entries, except the last one of this replica.
    //! \returns false if the owner is deposed; the batch is unchanged then
    bool forget(const JournalForget &request, LogBatch &batch);
    //! True from the loss of the disk until this replica has caught up.
    [[nodiscard]] bool isUninitialized(PartitionId partition) const;
    //! Errors: StorageFailed, StorageCorrupt.
    Result<JournalReadReply> read(const JournalRead &request);

private:
    [[nodiscard]] const StoredGroup &groupOf(PartitionId partition) const;
    bool promise(PartitionId partition, Epoch epoch, const VmName &owner, LogBatch &batch);

    LogStore &store_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_JOURNAL_KEEPER_HPP_INCLUDED
