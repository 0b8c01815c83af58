#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/policy/cp_entry_selection.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace cardamompost
{

namespace
{

constexpr unsigned maxSpareLevel = 4;
// Level of a domain whose entries report no load.
constexpr unsigned unknownSpareLevel = 2;
// Weight of entries in domains without spare capacity, and what each spare level adds. The weights differ little, so
// that a domain that fills with the callers of others loses some of them and not all at once.
constexpr double minWeight = 0.5;
constexpr double weightPerLevel = 0.5;
// By how much a load has to pass the bound of a spare level, as a share of the target. Wide, because a domain's load
// includes the callers that its level draws.
constexpr double spareHysteresis = 0.2;
// Entries over which callers are spread grow by at most this factor in one change.
constexpr double maxGrowth = 2;
// Load that the callers of several domains may together cause at remote entries, unless the target is higher.
constexpr double maxRemoteLoad = 0.7;
// After narrowing, the load is expected to be this multiple of the target.
constexpr double narrowTo = 0.8;
// Divides the remote entries in excess that one change removes.
constexpr std::size_t narrowDivisor = 4;

//! Reduces the addresses to at most maxCount, which depend on the seed.
void sample(std::vector<std::string> &addresses, std::size_t maxCount, std::uint64_t seed)
{
    if (addresses.size() <= maxCount) {
        return;
    }
    std::sort(addresses.begin(), addresses.end(), [seed](const std::string &left, const std::string &right) {
        return stableHash(left, seed) < stableHash(right, seed);
    });
    addresses.resize(maxCount);
    std::sort(addresses.begin(), addresses.end());
}

//! Higher for less load; 0 at or above the target.
unsigned spareLevelOf(double relativeLoad)
{
    const double spare = std::clamp(1 - relativeLoad, 0.0, 1.0);
    return static_cast<unsigned>(std::ceil(spare * maxSpareLevel));
}

//! Position in weighted random order: the first elements are drawn with probabilities in proportion to their weights,
//! and a change of one weight moves only its own element.
double drawPosition(const std::string &address, std::uint64_t seed, double weight)
{
    const double uniform = (static_cast<double>(stableHash(address, seed)) + 1)
        / (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
    return -std::log(uniform) / weight;
}

} // namespace

EntrySelection::EntrySelection(std::size_t nearEntriesMin, std::size_t maxCount, std::uint64_t seed)
    : nearEntriesMin_(nearEntriesMin)
    , maxCount_(maxCount)
    , seed_(seed)
{
}

EntrySelection::Loads EntrySelection::loadsOf(const std::vector<EntryEndpoint> &ready)
{
    Loads loads;
    LoadSum all;
    for (const EntryEndpoint &entry : ready) {
        LoadSum &domain = loads.byDomain[entry.failureDomain];
        if (entry.load > 0) {
            domain = {domain.load + entry.load, domain.count + 1};
            all = {all.load + entry.load, all.count + 1};
        }
    }
    loads.target = std::max(targetLoad, all.mean());
    return loads;
}

void EntrySelection::rate(const Loads &loads, TimePoint now)
{
    for (const auto &[name, sum] : loads.byDomain) {
        auto known = domains_.find(name);
        if (known == domains_.end()) {
            known = domains_.emplace(name, Domain {}).first;
        }
        Domain &domain = known->second;
        if (sum.count == 0) {
            domain.spareLevel = unknownSpareLevel;
            domain.isRated = false;
            continue;
        }
        const double load = sum.mean() / loads.target;
        if (!domain.isRated) {
            domain.spareLevel = spareLevelOf(load);
        } else if (now - domain.ratedAt >= rateInterval) {
            // One level at a time, since other domains' callers follow each change.
            const unsigned goal = std::clamp(domain.spareLevel, spareLevelOf(load + spareHysteresis),
                                             spareLevelOf(load - spareHysteresis));
            const unsigned level = goal > domain.spareLevel ? domain.spareLevel + 1
                : goal < domain.spareLevel                  ? domain.spareLevel - 1
                                                            : goal;
            domain.ratedAt = level == domain.spareLevel ? domain.ratedAt : now;
            domain.spareLevel = level;
        }
        domain.isRated = true;
    }
}

std::size_t EntrySelection::sortRemote(std::vector<const EntryEndpoint *> &remote, std::uint64_t seed) const
{
    struct Candidate {
        const EntryEndpoint *entry;
        double position;
    };
    std::vector<Candidate> candidates;
    std::size_t spare = 0;
    for (const EntryEndpoint *entry : remote) {
        const unsigned level = domains_.find(entry->failureDomain)->second.spareLevel;
        candidates.push_back({entry, drawPosition(entry->address, seed, minWeight + weightPerLevel * level)});
        spare += level == 0 ? 0 : 1;
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return std::tie(left.position, left.entry->address) < std::tie(right.position, right.entry->address);
    });
    std::transform(candidates.begin(), candidates.end(), remote.begin(),
                   [](const Candidate &candidate) { return candidate.entry; });
    return spare;
}

std::size_t EntrySelection::minRemote(std::size_t near) const
{
    return near < nearEntriesMin_ ? nearEntriesMin_ - near : 0;
}

bool EntrySelection::adapt(Domain &domain, const Situation &situation, TimePoint now) const
{
    const std::size_t before = std::min(domain.widened, situation.remote);
    const auto told = static_cast<double>(situation.near + situation.toldRemote);
    const auto remoteFor = [&](double relativeLoad) {
        const double remote = std::ceil(told * relativeLoad - static_cast<double>(situation.near));
        return static_cast<std::size_t>(std::max(0.0, remote));
    };
    // Callers choose evenly among the listed entries, so the load is in proportion to their share.
    const double nearLoad = situation.nearLoad / (domain.share * told);
    const double relativeLoad = std::max(nearLoad, situation.remoteLoad);
    const auto sinceChange = now - domain.changedAt;
    if (relativeLoad > widenAbove && sinceChange >= widenInterval) {
        const std::size_t wanted = remoteFor(std::min(relativeLoad, maxGrowth));
        domain.widened = std::max(before, std::min(wanted, situation.spare));
    } else if (relativeLoad < narrowBelow && sinceChange >= narrowInterval) {
        const std::size_t wanted = std::min(before, remoteFor(relativeLoad / narrowTo));
        domain.widened = before - (before - wanted + narrowDivisor - 1) / narrowDivisor;
    }
    if (domain.widened == before) {
        return false;
    }
    domain.changedAt = now;
    return true;
}

double EntrySelection::loadOfPreferred(const std::vector<const EntryEndpoint *> &remote, std::size_t count)
{
    LoadSum sum;
    for (std::size_t i = 0; i < count; ++i) {
        if (remote[i]->load > 0) {
            sum = {sum.load + remote[i]->load, sum.count + 1};
        }
    }
    return sum.mean();
}

void EntrySelection::recordTold(Domain &domain, std::size_t told, TimePoint now)
{
    // Smoothed like the reported loads, so that both reflect a change equally late.
    const double share = told == 0 ? 0 : 1 / static_cast<double>(told);
    const double weight = domain.share == 0
        ? 1
        : 1 - std::exp(-std::chrono::duration<double>(now - domain.recordedAt) / loadSmoothingTime);
    domain.share += weight * (share - domain.share);
    domain.recordedAt = now;
}

EntryChoice EntrySelection::select(std::string_view failureDomain, const std::vector<EntryEndpoint> &ready,
                                   TimePoint now)
{
    EntryChoice choice;
    std::vector<const EntryEndpoint *> remote;
    for (const EntryEndpoint &entry : ready) {
        if (entry.failureDomain == failureDomain) {
            choice.addresses.push_back(entry.address);
        } else {
            remote.push_back(&entry);
        }
    }
    const std::size_t near = choice.addresses.size();
    if (nearEntriesMin_ == 0) {
        choice.addresses = addressesFor(failureDomain, ready, maxCount_, seed_);
        choice.remote = choice.addresses.size() - std::min(near, choice.addresses.size());
        return choice;
    }
    const Loads loads = loadsOf(ready);
    rate(loads, now);
    // The same at all directories, different between callers' domains. Directories that can't tell all entries to a
    // domain without its own list different ones.
    const bool isCut = near == 0 && remote.size() > maxCount_;
    const std::size_t spare = sortRemote(remote, isCut ? seed_ : stableHash(failureDomain));
    std::size_t remoteCount = remote.size();
    if (const auto known = domains_.find(failureDomain); known != domains_.end()) {
        Domain &domain = known->second;
        const auto toldRemote = [&] { return std::min(remote.size(), std::max(domain.widened, minRemote(near))); };
        if (near == 0) {
            // Once entries return, their callers come back gradually.
            choice.hasChanged = domain.widened != remoteCount;
            domain.widened = remoteCount;
            domain.changedAt = now;
        } else {
            recordTold(domain, near + toldRemote(), now);
            choice.load = loads.byDomain.at(failureDomain).mean();
            const double remoteLoad = loadOfPreferred(remote, toldRemote());
            choice.hasChanged = adapt(domain,
                                      {near, remote.size(), toldRemote(), spare, choice.load / loads.target,
                                       remoteLoad / std::max(loads.target, maxRemoteLoad)},
                                      now);
            remoteCount = toldRemote();
        }
    }
    if (near + remoteCount > maxCount_) {
        // Keeps the ratio of near to remote entries.
        const std::size_t leastNear = near == 0 ? 0 : 1;
        sample(choice.addresses, std::max(leastNear, maxCount_ * near / (near + remoteCount)), seed_);
        remoteCount = std::min(remoteCount, maxCount_ - choice.addresses.size());
    }
    for (std::size_t i = 0; i < remoteCount; ++i) {
        choice.addresses.push_back(remote[i]->address);
    }
    choice.remote = remoteCount;
    return choice;
}

std::vector<std::string> addressesFor(std::string_view failureDomain, const std::vector<EntryEndpoint> &entries,
                                      std::size_t maxCount, std::uint64_t seed)
{
    std::vector<std::string> addresses;
    std::vector<std::string> remote;
    for (const EntryEndpoint &entry : entries) {
        (entry.failureDomain == failureDomain ? addresses : remote).push_back(entry.address);
    }
    sample(addresses, maxCount, seed);
    sample(remote, maxCount - addresses.size(), seed);
    addresses.insert(addresses.end(), remote.begin(), remote.end());
    return addresses;
}

} // namespace cardamompost
