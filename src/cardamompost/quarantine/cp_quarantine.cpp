#include <cardamompost/quarantine/cp_quarantine.hpp>

#include <algorithm>

namespace cardamompost
{

namespace
{

// Bounds the memory of a request that is tried at many software versions.
constexpr std::size_t maxEndsKept = 16;

} // namespace

void Quarantine::recordEnd(const BackendEnd &end, std::int64_t nowMs, std::uint64_t index)
{
    const auto [item, isNew] = records_.try_emplace(end.request);
    Record &record = item->second;
    // A report that is sent again must not count twice.
    const bool isKnown = std::find(record.ends.begin(), record.ends.end(), end) != record.ends.end();
    if (!isKnown && record.ends.size() < maxEndsKept) {
        record.ends.push_back(end);
    }
    record.lastEndMs = std::max(record.lastEndMs, nowMs);
    if (isNew) {
        suspects_.add(end.request, index);
        if (records_.size() > maxRequests) {
            removeOldest(index);
        }
    }
}

void Quarantine::removeOldest(std::uint64_t index)
{
    const auto oldest = std::min_element(records_.begin(), records_.end(), [](const auto &left, const auto &right) {
        return std::pair(left.second.lastEndMs, left.first) < std::pair(right.second.lastEndMs, right.first);
    });
    suspects_.remove(oldest->first, index);
    records_.erase(oldest);
}

void Quarantine::clear(const SuspectClearance &clearance, std::uint64_t index)
{
    const auto found = records_.find(clearance.request);
    if (found == records_.end()) {
        return;
    }
    std::erase_if(found->second.ends,
                  [&](const BackendEnd &end) { return end.softwareVersion == clearance.softwareVersion; });
    if (found->second.ends.empty()) {
        suspects_.remove(clearance.request, index);
        records_.erase(found);
    }
}

void Quarantine::expire(std::int64_t nowMs, std::uint64_t index)
{
    std::erase_if(records_, [&](const auto &item) {
        const bool isExpired = item.second.lastEndMs + retentionMs < nowMs;
        if (isExpired) {
            suspects_.remove(item.first, index);
        }
        return isExpired;
    });
}

std::size_t Quarantine::ends(RequestFingerprint request) const
{
    const auto found = records_.find(request);
    return found == records_.end() ? 0 : found->second.ends.size();
}

bool Quarantine::hasEnded(RequestFingerprint request, const std::string &softwareVersion) const
{
    const auto found = records_.find(request);
    return found != records_.end()
        && std::any_of(found->second.ends.begin(), found->second.ends.end(),
                       [&](const BackendEnd &end) { return end.softwareVersion == softwareVersion; });
}

bool Quarantine::mayRun(RequestFingerprint request, const std::string &softwareVersion, std::int64_t nowMs) const
{
    const auto found = records_.find(request);
    if (found == records_.end() || found->second.ends.size() < maxEnds) {
        return true;
    }
    return !hasEnded(request, softwareVersion) && nowMs - found->second.lastEndMs >= newVersionDelayMs;
}

void Quarantine::restore(Records records, std::uint64_t version)
{
    records_ = std::move(records);
    suspects_.restore(version);
    for (const auto &[request, record] : records_) {
        suspects_.add(request, version);
    }
}

} // namespace cardamompost
