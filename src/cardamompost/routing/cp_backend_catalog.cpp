#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/routing/cp_backend_catalog.hpp>

#include <algorithm>
#include <unordered_set>

namespace cardamompost
{

namespace
{

// The history holds at least this many changes, and as many as there are servers if those are more.
constexpr std::size_t minHistorySize = 1024;

std::uint64_t hashOf(const BackendServer &server)
{
    std::string text = server.id;
    for (const std::string &field :
         {server.service, server.address.toString(), server.failureDomain, std::to_string(server.slots),
          std::to_string(server.incarnation), server.softwareVersion}) {
        text += '\0';
        text += field;
    }
    text += server.isLeaving ? 'l' : 'r';
    return stableHash(text);
}

} // namespace

std::vector<BackendServer> BackendCatalog::servers() const
{
    std::vector<BackendServer> servers;
    servers.reserve(items_.size());
    for (const auto &[id, item] : items_) {
        servers.push_back(item.server);
    }
    return servers;
}

const BackendServer *BackendCatalog::find(const std::string &id) const
{
    const auto found = items_.find(id);
    return found == items_.end() ? nullptr : &found->second.server;
}

BackendChanges BackendCatalog::changesTo(const std::vector<BackendServer> &servers) const
{
    BackendChanges changes;
    changes.checksum = checksum_;
    std::unordered_set<std::string_view> listed;
    for (const BackendServer &server : servers) {
        listed.insert(server.id);
        const auto known = items_.find(server.id);
        if (known != items_.end() && known->second.server == server) {
            continue;
        }
        changes.checksum += hashOf(server) - (known == items_.end() ? 0 : known->second.hash);
        changes.changed.push_back(server);
    }
    for (const auto &[id, item] : items_) {
        if (!listed.contains(id)) {
            changes.checksum -= item.hash;
            changes.removed.push_back(id);
        }
    }
    return changes;
}

bool BackendCatalog::apply(const BackendChanges &changes, BackendListVersion version)
{
    std::uint64_t checksum = checksum_;
    std::vector<std::uint64_t> hashes;
    for (const BackendServer &server : changes.changed) {
        const auto known = items_.find(server.id);
        hashes.push_back(hashOf(server));
        checksum += hashes.back() - (known == items_.end() ? 0 : known->second.hash);
    }
    for (const std::string &id : changes.removed) {
        const auto known = items_.find(id);
        checksum -= known == items_.end() ? 0 : known->second.hash;
    }
    if (checksum != changes.checksum) {
        return false;
    }
    if (version_ == BackendListVersion {}) {
        historyStart_ = version;
    }
    checksum_ = checksum;
    version_ = version;
    for (std::size_t i = 0; i < changes.changed.size(); ++i) {
        const BackendServer &server = changes.changed[i];
        items_[server.id] = {server, hashes[i], version};
        removedAt_.erase(server.id);
        recordChange(server.id, version);
    }
    for (const std::string &id : changes.removed) {
        if (items_.erase(id) != 0) {
            removedAt_[id] = version;
            recordChange(id, version);
        }
    }
    trimHistory();
    return true;
}

void BackendCatalog::recordChange(const std::string &id, const BackendListVersion &version)
{
    history_[version].push_back(id);
    ++historySize_;
}

void BackendCatalog::trimHistory()
{
    const std::size_t maxSize = std::max(minHistorySize, items_.size());
    // The newest version is kept whatever its size.
    while (historySize_ > maxSize && history_.size() > 1) {
        const auto oldest = history_.begin();
        for (const std::string &id : oldest->second) {
            const auto removed = removedAt_.find(id);
            if (removed != removedAt_.end() && removed->second == oldest->first) {
                removedAt_.erase(removed);
            }
        }
        historyStart_ = oldest->first;
        historySize_ -= oldest->second.size();
        history_.erase(oldest);
    }
}

std::optional<BackendChanges> BackendCatalog::changesSince(const BackendListVersion &version) const
{
    if (version < historyStart_ || version > version_ || version == BackendListVersion {}) {
        return std::nullopt;
    }
    BackendChanges changes;
    changes.checksum = checksum_;
    for (auto step = history_.upper_bound(version); step != history_.end(); ++step) {
        for (const std::string &id : step->second) {
            const auto item = items_.find(id);
            const auto removed = removedAt_.find(id);
            if (item != items_.end() && item->second.changedAt == step->first) {
                changes.changed.push_back(item->second.server);
            } else if (removed != removedAt_.end() && removed->second == step->first) {
                changes.removed.push_back(id);
            }
        }
    }
    return changes;
}

} // namespace cardamompost
