#ifndef CARDAMOMPOST_CP_ENTRY_REPLICA_HPP_INCLUDED
#define CARDAMOMPOST_CP_ENTRY_REPLICA_HPP_INCLUDED

#include "cp_forwarder.hpp"

namespace cardamompost
{

//! What an entry holds of the ledger's news: the document and the list that it goes by, and what has come so far of
//! newer ones. Those take their place whole, never in part. Thread-safety: none.
class EntryReplica
{
public:
    struct Parts {
        Forwarder &forwarder;
        BackendPool &pool;
        LedgerClient &ledger;
        EventLog &log;
    };

    explicit EntryReplica(Parts parts)
        : parts_(parts)
    {
    }

    void take(const UpdateReply &update);
    //! There is a document and a list to go by.
    [[nodiscard]] bool isComplete() const
    {
        return parts_.forwarder.table() != nullptr && parts_.pool.version().term != 0;
    }

private:
    [[nodiscard]] std::uint64_t documentVersion() const;
    void takeDocument(const UpdateReply &update);
    void takeList(const UpdateReply &update);
    //! Says so, once, when this entry has gone by an old document for long.
    void logIfStale();

    Parts parts_;
    DocumentBuckets documentBuckets_;
    BackendBuckets listBuckets_;
    bool hasLoggedStale_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ENTRY_REPLICA_HPP_INCLUDED
