#ifndef CARDAMOMPOST_CP_BACKEND_CATALOG_HPP_INCLUDED
#define CARDAMOMPOST_CP_BACKEND_CATALOG_HPP_INCLUDED

#include <cardamompost/routing/cp_backend_list.hpp>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace cardamompost
{

//! What differs between two versions of the list of backend servers.
struct BackendChanges {
    //! Servers that were added or have changed.
    std::vector<BackendServer> changed;
    //! Ids of servers that are no longer listed.
    std::vector<std::string> removed;
    //! Checksum of the list that results.
    std::uint64_t checksum = 0;

    [[nodiscard]] std::size_t size() const
    {
        return changed.size() + removed.size();
    }
};

//! The list of backend servers with the history of its changes, so that a receiver of an older version gets the
//! servers that differ and not the complete list.
//!
//! Versions of two leaders may differ in content although one follows the other. The checksum detects a receiver whose
//! version the history doesn't lead to; it then needs the complete list. Thread-safety: none.
class BackendCatalog
{
public:
    [[nodiscard]] const BackendListVersion &version() const
    {
        return version_;
    }
    [[nodiscard]] std::size_t size() const
    {
        return items_.size();
    }
    //! Checksum of all listed servers, independent of their order.
    [[nodiscard]] std::uint64_t checksum() const
    {
        return checksum_;
    }
    //! The listed servers, in no particular order.
    [[nodiscard]] std::vector<BackendServer> servers() const;
    //! Null if the server is not listed.
    [[nodiscard]] const BackendServer *find(const std::string &id) const;

    //! What a complete list would change.
    [[nodiscard]] BackendChanges changesTo(const std::vector<BackendServer> &servers) const;
    //! Applies changes, which result in the given version.
    //! \returns false, leaving everything unchanged, if the result doesn't match the checksum of the changes
    bool apply(const BackendChanges &changes, BackendListVersion version);
    //! What has changed since an earlier version; nothing if the history doesn't reach back to it.
    [[nodiscard]] std::optional<BackendChanges> changesSince(const BackendListVersion &version) const;

private:
    struct Item {
        BackendServer server;
        std::uint64_t hash = 0;
        BackendListVersion changedAt;
    };

    void recordChange(const std::string &id, const BackendListVersion &version);
    void trimHistory();

    BackendListVersion version_;
    std::uint64_t checksum_ = 0;
    std::unordered_map<std::string, Item> items_;
    //! Versions at which servers were removed.
    std::unordered_map<std::string, BackendListVersion> removedAt_;
    //! Ids by the version that changed or removed them. An id that has changed again later is skipped.
    std::map<BackendListVersion, std::vector<std::string>> history_;
    std::size_t historySize_ = 0;
    //! The oldest version that the history leads from.
    BackendListVersion historyStart_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_BACKEND_CATALOG_HPP_INCLUDED
