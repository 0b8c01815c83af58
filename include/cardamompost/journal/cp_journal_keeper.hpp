#ifndef CARDAMOMPOST_CP_JOURNAL_KEEPER_HPP_INCLUDED
#define CARDAMOMPOST_CP_JOURNAL_KEEPER_HPP_INCLUDED

#include <cardamompost/journal/cp_journal_message.hpp>
#include <cardamompost/storage/cp_log_store.hpp>

namespace cardamompost
{

//! The copy of many journals on one VM with a disk.
//!
//! A journal is a Raft log whose leader is named by the control log instead of by votes: an epoch is given to one
//! owner only, sealing is the vote, and the keeper with the highest (term, index) among a quorum has all that was
//! committed. The rules here are those of a Raft follower.
//! A keeper that has lost its disk seals no journal until an owner has filled its copy up to what is committed:
//! counted in a seal's quorum, an empty copy could hide a committed entry from the new owner. It has also lost its
//! promises, so it takes nothing at all until it was told the epochs that the control log has given out since.
//! Requests add what has to be stored to a batch; their replies count only after the batch was written.
//! Thread-safety: none; the thread that owns the store runs it.
class JournalKeeper
{
public:
    //! Records in an empty store that its disk replaces one which was lost.
    static void markUninitialized(LogBatch &batch);
    //! Replaces the promises that were lost with the disk.
    //! \param epochs  of each partition by its number, read from the control log after the loss
    static void restorePromises(const std::vector<Epoch> &epochs, LogBatch &batch);
    //! False on a replaced disk until its promises are restored; no request may be handled before.
    [[nodiscard]] bool isReady() const;

    explicit JournalKeeper(LogStore &store);

    SealReply seal(const SealRequest &request, LogBatch &batch);
    JournalAppendReply append(const JournalAppend &request, LogBatch &batch);
    //! False when the owner was deposed; nothing was added to the batch then.
    bool forget(const JournalForget &request, LogBatch &batch);
    //! True while this copy lacks what a lost disk held.
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
