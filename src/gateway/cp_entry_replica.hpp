#ifndef CARDAMOMPOST_CP_ENTRY_REPLICA_HPP_INCLUDED
#define CARDAMOMPOST_CP_ENTRY_REPLICA_HPP_INCLUDED

#include "cp_forwarder.hpp"

namespace cardamompost
{

//! Replicates the route document and the backend list from the ledger's leader. Deltas accumulate in buckets; a new
//! version is applied only once it is complete. Thread-safety: none.
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

    void apply(const UpdateReply &update);
    //! True once a document and a list have been applied.
    [[nodiscard]] bool isComplete() const
    {
        return parts_.forwarder.table() != nullptr && parts_.pool.version().term != 0;
    }

private:
    [[nodiscard]] std::uint64_t documentVersion() const;
    void applyDocumentDelta(const UpdateReply &update);
    void applyBackendListDelta(const UpdateReply &update);
    //! Logs a warning once per period in which the document is stale for too long.
    void logIfStale();

    Parts parts_;
    DocumentBuckets documentBuckets_;
    BackendBuckets listBuckets_;
    bool hasLoggedStale_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ENTRY_REPLICA_HPP_INCLUDED
