#ifndef CARDAMOMPOST_CP_SUSPECT_LIST_HPP_INCLUDED
#define CARDAMOMPOST_CP_SUSPECT_LIST_HPP_INCLUDED

#include <cardamompost/quarantine/cp_request_fingerprint.hpp>

#include <deque>
#include <unordered_set>
#include <vector>

namespace cardamompost
{

//! What differs between two versions of the list of suspects.
struct SuspectChanges {
    //! The version that the changes lead from; 0 if 'added' is the complete list.
    std::uint64_t since = 0;
    std::uint64_t version = 0;
    std::vector<RequestFingerprint> added;
    std::vector<RequestFingerprint> removed;
};

//! Requests under which backend servers have ended, with the history of changes to the list. Entries hold a copy and
//! ask the ledger's leader before they send one of these requests. Thread-safety: none.
class SuspectList
{
public:
    //! Versions grow, also over changes of the leader; several changes may have the same one.
    void add(RequestFingerprint request, std::uint64_t version);
    //! Makes this an empty list of a snapshot, whose history is not known; its items are to be added.
    void restore(std::uint64_t version)
    {
        *this = {};
        version_ = version;
        historyStart_ = version;
    }
    void remove(RequestFingerprint request, std::uint64_t version);

    [[nodiscard]] bool contains(RequestFingerprint request) const
    {
        return items_.contains(request);
    }
    [[nodiscard]] std::size_t size() const
    {
        return items_.size();
    }
    [[nodiscard]] std::uint64_t version() const
    {
        return version_;
    }
    //! Version of the latest addition.
    [[nodiscard]] std::uint64_t latestAddition() const
    {
        return latestAddition_;
    }
    [[nodiscard]] SuspectChanges changesSince(std::uint64_t version) const;
    //! Applies changes unless this list is newer, or older than the version that they lead from.
    void apply(const SuspectChanges &changes);

private:
    struct Change {
        std::uint64_t version = 0;
        RequestFingerprint request = 0;
    };

    void record(RequestFingerprint request, std::uint64_t version);

    std::unordered_set<RequestFingerprint> items_;
    std::uint64_t version_ = 0;
    std::uint64_t latestAddition_ = 0;
    std::deque<Change> history_;
    //! The oldest version that the history leads from.
    std::uint64_t historyStart_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_SUSPECT_LIST_HPP_INCLUDED
