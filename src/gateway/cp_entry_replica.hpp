#ifndef CARDAMOMPOST_CP_ENTRY_REPLICA_HPP_INCLUDED
#define CARDAMOMPOST_CP_ENTRY_REPLICA_HPP_INCLUDED

#include "cp_forwarder.hpp"

#include <cardamompost/ledger/cp_content_replica.hpp>

namespace cardamompost
{

//! Replicates the route document and the backend list from the ledger, and applies complete versions to the entry's
//! routing. Thread-safety: none.
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
        parts_.forwarder.quarantine().setSuspects(content_.suspects());
    }

    void apply(const UpdateReply &update);
    //! True once a document and a list have been applied.
    [[nodiscard]] bool isComplete() const
    {
        return parts_.forwarder.table() != nullptr && parts_.pool.version().term != 0;
    }

private:
    void applyDocument(RouteDocument document, std::uint64_t versionBefore);
    void applyServers(const BackendChanges &changes, const UpdateReply &update);
    //! Logs a warning once per period in which the document is stale for too long.
    void logIfStale();

    Parts parts_;
    ContentReplica content_;
    bool hasLoggedStale_ = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ENTRY_REPLICA_HPP_INCLUDED
