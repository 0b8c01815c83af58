#ifndef CARDAMOMPOST_CP_JOURNAL_MESSAGE_HPP_INCLUDED
#define CARDAMOMPOST_CP_JOURNAL_MESSAGE_HPP_INCLUDED

#include <cardamompost/consensus/cp_log_entry.hpp>

#include <vector>

namespace cardamompost
{

//! Asks a keeper to reject requests of lower epochs.
struct SealRequest {
    PartitionId partition = 0;
    Epoch epoch = 0;
    VmName owner;
};

struct SealReply {
    bool accepted = false;
    //! The highest epoch that the keeper has promised.
    Epoch promised = 0;
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
};

//! Asks a keeper to append entries after the previous one, which must match. Indexes skipped between the previous
//! entry and the last one were forgotten.
struct JournalAppend {
    PartitionId partition = 0;
    Epoch epoch = 0;
    VmName owner;
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    std::vector<LogEntry> entries;
    //! The owner's commit index; 0 until its first commit in this epoch.
    LogIndex commit = 0;
};

struct JournalAppendReply {
    bool accepted = false;
    Epoch promised = 0;
    //! If accepted, the last index that matches the owner's journal; otherwise the index to try for a match next.
    LogIndex index = 0;
};

//! Reads the entries of an index range, both ends included.
struct JournalRead {
    PartitionId partition = 0;
    Epoch epoch = 0;
    LogIndex from = 0;
    LogIndex to = 0;
    std::uint32_t maxBytes = 0;
};

struct JournalReadReply {
    bool accepted = false;
    Epoch promised = 0;
    //! Position of the keeper's last entry below the range.
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    std::vector<LogEntry> entries;
    //! False if maxBytes cut the reply off before the end of the range.
    bool isComplete = false;
};

//! Allows a keeper to discard committed entries.
struct JournalForget {
    PartitionId partition = 0;
    Epoch epoch = 0;
    VmName owner;
    std::vector<LogIndex> indexes;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_JOURNAL_MESSAGE_HPP_INCLUDED
