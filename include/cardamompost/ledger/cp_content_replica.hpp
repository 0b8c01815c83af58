#ifndef CARDAMOMPOST_CP_CONTENT_REPLICA_HPP_INCLUDED
#define CARDAMOMPOST_CP_CONTENT_REPLICA_HPP_INCLUDED

#include <cardamompost/ledger/cp_ledger_message.hpp>

#include <optional>

namespace cardamompost
{

//! The route document, the list of backend servers and the list of suspects: the original at the ledger's leader, a
//! copy elsewhere.
//!
//! A copy is kept up to date by replies of the leader or of another copy. Content that arrives in several replies is
//! applied only once it is complete. The list is updated by its changes; if those don't lead from the version held, it
//! is compared bucket by bucket. Thread-safety: none.
class ContentReplica
{
public:
    //! What a reply has changed.
    struct Applied {
        //! The newer document.
        std::optional<RouteDocument> document;
        std::optional<BackendChanges> servers;
        //! Content that can't be used; all of it is requested again.
        std::optional<Error> documentError;
        std::optional<Error> listError;
    };

    //! Makes a document the current one, unless it is older.
    void setDocument(const RouteDocument &document);
    //! Makes a list that was read in the given term the current one. A server keeps its latest known incarnation, as a
    //! read may be stale. \returns what has changed
    BackendChanges setList(std::vector<BackendServer> servers, std::uint64_t term);

    //! Brings the list of suspects up to date.
    void setSuspects(const SuspectList &suspects)
    {
        suspects_.apply(suspects.changesSince(suspects_.version()));
    }

    Applied apply(const UpdateReply &reply);
    //! Fills in the versions and digests that this copy holds.
    void describe(UpdateRequest &request) const;
    //! Adds the content that the requester lacks, as much as fits into one reply. \returns its size in bytes
    std::size_t addTo(UpdateReply &reply, const UpdateRequest &request);

    //! Version of the complete document; 0 while there is none.
    [[nodiscard]] std::uint64_t documentVersion() const
    {
        return documentVersion_;
    }
    [[nodiscard]] const SuspectList &suspects() const
    {
        return suspects_;
    }
    [[nodiscard]] const BackendCatalog &catalog() const
    {
        return catalog_;
    }

private:
    void applyDocument(const UpdateReply &reply, Applied &applied);
    void applyList(const UpdateReply &reply, Applied &applied);
    void startResync();
    void addList(UpdateReply &reply, const UpdateRequest &request);
    //! The list in buckets, which are built when they are first needed.
    [[nodiscard]] const BackendBuckets &listBuckets();

    std::uint64_t documentVersion_ = 0;
    DocumentBuckets document_;
    //! A newer document, while parts of it are missing.
    std::optional<DocumentBuckets> incomingDocument_;
    BackendCatalog catalog_;
    //! The list while it is compared bucket by bucket; includes parts of a newer version.
    std::optional<BackendBuckets> resync_;
    BackendBuckets listBuckets_;
    //! Version of the list in the buckets.
    BackendListVersion bucketsVersion_;
    SuspectList suspects_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CONTENT_REPLICA_HPP_INCLUDED
