#ifndef CARDAMOMPOST_CP_CONTENT_REPLICA_HPP_INCLUDED
#define CARDAMOMPOST_CP_CONTENT_REPLICA_HPP_INCLUDED

#include <cardamompost/ledger/cp_ledger_message.hpp>

#include <optional>

namespace cardamompost
{

//! Copy of the route document and of the list of backend servers, kept up to date by a leader's replies.
//!
//! Content that arrives in several replies is applied only once it is complete. The list is updated by its changes; if
//! those don't lead from the version held, it is compared bucket by bucket. Thread-safety: none.
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

    Applied apply(const UpdateReply &reply);
    //! Fills in the versions and digests that the replica holds.
    void describe(UpdateRequest &request) const;

    //! Version of the complete document; 0 while there is none.
    [[nodiscard]] std::uint64_t documentVersion() const
    {
        return documentVersion_;
    }
    [[nodiscard]] const BackendCatalog &catalog() const
    {
        return catalog_;
    }

private:
    void applyDocument(const UpdateReply &reply, Applied &applied);
    void applyList(const UpdateReply &reply, Applied &applied);
    void startResync();

    std::uint64_t documentVersion_ = 0;
    //! Includes parts of a newer version.
    DocumentBuckets documentBuckets_;
    BackendCatalog catalog_;
    //! The list while it is compared bucket by bucket; includes parts of a newer version.
    std::optional<BackendBuckets> resync_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CONTENT_REPLICA_HPP_INCLUDED
