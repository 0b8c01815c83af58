#include <cardamompost/limits/cp_request_limiter.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamompost
{

namespace
{

// Requests over the rate are delayed up to this time instead of rejected.
constexpr Milliseconds maxDelay {150};
// Must exceed the time for which an entry retries one request.
constexpr Milliseconds idRetention {3000};
constexpr Milliseconds reportInterval {200};
// Share of the tolerated excess that may be unreported.
constexpr double unreportedToleranceShare = 0.25;
constexpr Milliseconds minRetryAfter {20};
// Upper bound of the retry times assigned to rejected requests.
constexpr Milliseconds maxRetryAfter {2000};
// Burst of new programs, in seconds of the account's rate.
constexpr double programBurstSeconds = 4;
// Share of the tolerated excess requests added to the burst as bucket capacity; the sliding window still enforces the
// limit.
constexpr double burstToleranceShare = 0.8;
constexpr double minProgramBurst = 3;
// Share of the bucket that new programs leave to programs in progress.
constexpr double inProgressReserveShare = 0.25;
// Prior of the mean, which counts as much as priorWeight programs.
constexpr double priorRequestsPerProgram = 8;
constexpr double priorWeight = 5;
constexpr double requestsPerProgramHalfLifeSeconds = 5;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

Milliseconds toMilliseconds(double seconds)
{
    return Milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000)));
}

} // namespace

void RequestLimiter::OverdraftBucket::reset(TimePoint now)
{
    tokens_ = 0;
    updatedAt_ = now;
}

void RequestLimiter::OverdraftBucket::refill(double perSecond, double maxTokens, TimePoint now)
{
    if (now > updatedAt_) {
        tokens_ += perSecond * secondsBetween(updatedAt_, now);
        updatedAt_ = now;
    }
    tokens_ = std::min(tokens_, maxTokens);
}

namespace
{

std::int64_t sliceNumber(TimePoint now, Milliseconds slice)
{
    return std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()) / slice;
}

} // namespace

void RequestLimiter::SlidingWindow::add(TimePoint now, Milliseconds slice)
{
    const std::int64_t number = sliceNumber(now, slice);
    for (std::int64_t i = std::max(lastSlice_ + 1, number - static_cast<std::int64_t>(sliceCount) + 1); i <= number;
         ++i) {
        counts_[static_cast<std::size_t>(i) % sliceCount] = 0;
    }
    lastSlice_ = std::max(lastSlice_, number);
    ++counts_[static_cast<std::size_t>(lastSlice_) % sliceCount];
}

double RequestLimiter::SlidingWindow::sum(TimePoint now, Milliseconds slice) const
{
    const std::int64_t oldest = std::max(sliceNumber(now, slice) - static_cast<std::int64_t>(slicesPerWindow),
                                         lastSlice_ - static_cast<std::int64_t>(sliceCount) + 1);
    double sum = 0;
    for (std::int64_t i = oldest; i <= lastSlice_; ++i) {
        sum += counts_[static_cast<std::size_t>(i) % sliceCount];
    }
    return sum;
}

Milliseconds RequestLimiter::SlidingWindow::timeUntilExpiry(TimePoint now, Milliseconds slice) const
{
    const std::int64_t current = sliceNumber(now, slice);
    for (std::int64_t i = current - static_cast<std::int64_t>(slicesPerWindow); i <= lastSlice_; ++i) {
        if (i > lastSlice_ - static_cast<std::int64_t>(sliceCount)
            && counts_[static_cast<std::size_t>(i) % sliceCount] != 0) {
            const auto expiresAt = (i + static_cast<std::int64_t>(slicesPerWindow) + 1) * slice;
            return std::chrono::ceil<Milliseconds>(expiresAt - now.time_since_epoch());
        }
    }
    return Milliseconds(0);
}

void RequestLimiter::RequestsPerProgram::record(bool beginsProgram, TimePoint now)
{
    if (now > updatedAt_) {
        const double decay = std::exp2(-secondsBetween(updatedAt_, now) / requestsPerProgramHalfLifeSeconds);
        requests_ *= decay;
        programs_ *= decay;
        updatedAt_ = now;
    }
    requests_ += 1;
    programs_ += beginsProgram ? 1 : 0;
}

double RequestLimiter::RequestsPerProgram::mean() const
{
    return std::max(1.0, (requests_ + priorRequestsPerProgram * priorWeight) / (programs_ + priorWeight));
}

void RequestLimiter::setLimits(const std::vector<Account> &accounts, TimePoint now)
{
    std::unordered_map<std::string, Usage> previous = std::exchange(usages_, {});
    for (const Account &account : accounts) {
        if (!account.limit.isBounded()) {
            continue;
        }
        const auto known = previous.find(account.name);
        Usage usage = known == previous.end() ? Usage {} : known->second;
        if (known == previous.end()) {
            usage.requests.reset(now);
            usage.programs.reset(now);
        } else {
            usage.requests.refill(usage.limit.perSecond, bucketCapacity(usage.limit), now);
        }
        usage.limit = account.limit;
        usages_.emplace(account.name, usage);
    }
}

void RequestLimiter::restoreUsage(const UsageLog &usage, std::int64_t nowMs, TimePoint now)
{
    for (auto &[name, state] : usages_) {
        state.recent = {};
        state.lastRetryAt = {};
        state.unreported = 0;
        state.inReport = 0;
        const double capacity = bucketCapacity(state.limit);
        // The buckets start empty one retention time before the oldest possible report, so that they have refilled when
        // the reported requests are taken from them.
        TimePoint at = now - Milliseconds(UsageLog::retentionMs);
        state.requests.reset(at - Milliseconds(UsageLog::retentionMs));
        state.programs.reset(at - Milliseconds(UsageLog::retentionMs));
        const auto items = usage.items().find(name);
        if (items == usage.items().end()) {
            continue;
        }
        for (const UsageLog::Item &item : items->second) {
            at = now - Milliseconds(std::max<std::int64_t>(0, nowMs - item.atMs));
            state.requests.refill(state.limit.perSecond, capacity, at);
            for (std::uint32_t i = 0; i < item.requests; ++i) {
                state.requests.take();
                if (tolerance_.window.count() != 0) {
                    state.recent.add(at, slice());
                }
            }
        }
    }
    recentIds_.clear();
    olderIds_.clear();
    isReporting_ = false;
    isReportUrgent_ = false;
}

double RequestLimiter::allowedInWindow(const RequestLimit &limit) const
{
    return limit.perSecond * std::chrono::duration<double>(tolerance_.window).count() + limit.burst;
}

double RequestLimiter::maxUnreported(const RequestLimit &limit) const
{
    const double excess = allowedInWindow(limit) * tolerance_.excessShare + tolerance_.excessRequests;
    return std::max(1.0, unreportedToleranceShare * excess);
}

std::vector<AccountUsage> RequestLimiter::takeReport(TimePoint now)
{
    std::vector<AccountUsage> report;
    for (auto &[name, usage] : usages_) {
        if (usage.unreported != 0) {
            report.push_back({name, usage.unreported});
            usage.inReport += std::exchange(usage.unreported, 0);
        }
    }
    lastReportAt_ = now;
    isReporting_ = !report.empty();
    isReportUrgent_ = false;
    return report;
}

void RequestLimiter::endReport(const std::vector<AccountUsage> &report, bool isStored)
{
    isReporting_ = false;
    for (const AccountUsage &item : report) {
        const auto usage = usages_.find(item.account);
        if (usage != usages_.end()) {
            const std::uint32_t known = std::min(item.requests, usage->second.inReport);
            usage->second.inReport -= known;
            usage->second.unreported += isStored ? 0 : known;
        }
    }
}

bool RequestLimiter::isReportDue(TimePoint now) const
{
    return !isReporting_ && (isReportUrgent_ || now - lastReportAt_ >= reportInterval);
}

bool RequestLimiter::mustWaitForReport(const std::string &account) const
{
    const auto usage = usages_.find(account);
    return usage != usages_.end()
        && usage->second.unreported + usage->second.inReport >= maxUnreported(usage->second.limit);
}

bool RequestLimiter::isDuplicate(std::string_view id, TimePoint now)
{
    if (now - idsRotatedAt_ >= idRetention) {
        olderIds_ = now - idsRotatedAt_ >= 2 * idRetention ? std::unordered_set<std::string>() : std::move(recentIds_);
        recentIds_.clear();
        idsRotatedAt_ = now;
    }
    const std::string key(id);
    return recentIds_.contains(key) || olderIds_.contains(key);
}

RequestLimiter::Decision RequestLimiter::reject(Usage &usage, LimitReached reached, Milliseconds wait, double perSecond,
                                                TimePoint now)
{
    // Spaces the retry times, so that rejected requests do not return all at once.
    const TimePoint next = usage.lastRetryAt + toMilliseconds(1 / perSecond);
    const TimePoint at = std::clamp(std::max(next, now + wait), now + minRetryAfter, now + maxRetryAfter);
    usage.lastRetryAt = at;
    return {false, reached, Milliseconds(0), std::chrono::ceil<Milliseconds>(at - now)};
}

double RequestLimiter::bucketCapacity(const RequestLimit &limit) const
{
    const double excess = tolerance_.window.count() == 0 ? 0 : burstToleranceShare * tolerance_.excessRequests;
    return std::max(1.0, limit.burst + excess);
}

Milliseconds RequestLimiter::timeUntilWindowAllows(const Usage &usage, TimePoint now) const
{
    if (tolerance_.window.count() == 0) {
        return Milliseconds(0);
    }
    const double allowed = std::max(1.0, allowedInWindow(usage.limit));
    const bool isWithinLimit = usage.recent.sum(now, slice()) + 1 <= allowed;
    return isWithinLimit ? Milliseconds(0) : std::max(Milliseconds(1), usage.recent.timeUntilExpiry(now, slice()));
}

RequestLimiter::Decision RequestLimiter::admit(const AdmissionRequest &request, TimePoint now)
{
    const auto found = usages_.find(std::string(request.account));
    if (found == usages_.end() || isDuplicate(request.id, now)) {
        return {true, LimitReached::None, Milliseconds(0), Milliseconds(0)};
    }
    Usage &usage = found->second;
    const double perSecond = usage.limit.perSecond;
    const double capacity = bucketCapacity(usage.limit);
    const double programsPerSecond = perSecond / requestsPerProgram_.mean();
    const double programCapacity
        = std::max(minProgramBurst, (usage.limit.burst + perSecond * programBurstSeconds) / requestsPerProgram_.mean());
    usage.requests.refill(perSecond, capacity, now);
    usage.programs.refill(programsPerSecond, programCapacity, now);

    if (request.beginsProgram) {
        const double needed = std::min(capacity, 1 + inProgressReserveShare * capacity);
        if (usage.programs.tokens() < 1) {
            return reject(usage, LimitReached::Programs,
                          toMilliseconds((1 - usage.programs.tokens()) / programsPerSecond), programsPerSecond, now);
        }
        if (usage.requests.tokens() < needed) {
            return reject(usage, LimitReached::Rate, toMilliseconds((needed - usage.requests.tokens()) / perSecond),
                          perSecond, now);
        }
    }
    const Milliseconds delay = toMilliseconds(std::max(0.0, 1 - usage.requests.tokens()) / perSecond);
    if (delay > maxDelay) {
        return reject(usage, LimitReached::Rate, delay, perSecond, now);
    }
    if (const Milliseconds wait = timeUntilWindowAllows(usage, now); wait.count() > 0) {
        return reject(usage, LimitReached::Window, wait, perSecond, now);
    }
    if (request.beginsProgram) {
        usage.programs.take();
    }
    usage.requests.take();
    ++usage.unreported;
    isReportUrgent_ = isReportUrgent_ || 2 * usage.unreported >= maxUnreported(usage.limit);
    if (tolerance_.window.count() != 0) {
        usage.recent.add(now + delay, slice());
    }
    requestsPerProgram_.record(request.beginsProgram, now);
    recentIds_.emplace(request.id);
    return {true, LimitReached::None, delay, Milliseconds(0)};
}

} // namespace cardamompost
