#include <cardamompost/limits/cp_request_limiter.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamompost
{

namespace
{

// A request whose turn comes this soon waits for it instead of being refused.
constexpr Milliseconds longestDelay {150};
// Longer than an entry goes on asking for one request.
constexpr Milliseconds rememberFor {3000};
constexpr Milliseconds reportInterval {200};
// Of the precision, what a successor may not know of.
constexpr double shareOfPrecisionUnreported = 0.25;
constexpr Milliseconds soonestReturn {20};
// Callers that are refused together are spread over this time at most.
constexpr Milliseconds latestReturn {2000};
// Programs that may begin at once, in seconds of the limit. Their requests come over the seconds that follow.
constexpr double programBurstSeconds = 4;
// The rest, and the share of the limit, are for changes of the VM that counts: each may cost longestDelay once more,
// and what was not reported yet.
constexpr double shareOfOverRequests = 0.8;
constexpr double fewestProgramsAtOnce = 3;
// What a new program leaves of the burst to those that have begun.
constexpr double shareLeftToBegun = 0.25;
// Assumed until programs have been seen.
constexpr double priorRequestsAProgram = 8;
constexpr double priorWeight = 5;
constexpr double programSizeHalfLifeSeconds = 5;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

Milliseconds toMilliseconds(double seconds)
{
    return Milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000)));
}

} // namespace

void RequestLimiter::Allowance::reset(TimePoint now)
{
    level_ = 0;
    at_ = now;
}

void RequestLimiter::Allowance::refill(double perSecond, double most, TimePoint now)
{
    if (now > at_) {
        level_ += perSecond * secondsBetween(at_, now);
        at_ = now;
    }
    level_ = std::min(level_, most);
}

namespace
{

std::int64_t sliceNumber(TimePoint now, Milliseconds slice)
{
    return std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()) / slice;
}

} // namespace

void RequestLimiter::RecentCounts::add(TimePoint now, Milliseconds slice)
{
    const std::int64_t number = sliceNumber(now, slice);
    for (std::int64_t i = std::max(last_ + 1, number - static_cast<std::int64_t>(slices) + 1); i <= number; ++i) {
        counts_[static_cast<std::size_t>(i) % slices] = 0;
    }
    last_ = std::max(last_, number);
    ++counts_[static_cast<std::size_t>(last_) % slices];
}

double RequestLimiter::RecentCounts::sum(TimePoint now, Milliseconds slice) const
{
    const std::int64_t oldest = std::max(sliceNumber(now, slice) - static_cast<std::int64_t>(slicesAWindow),
                                         last_ - static_cast<std::int64_t>(slices) + 1);
    double sum = 0;
    for (std::int64_t i = oldest; i <= last_; ++i) {
        sum += counts_[static_cast<std::size_t>(i) % slices];
    }
    return sum;
}

Milliseconds RequestLimiter::RecentCounts::untilFewer(TimePoint now, Milliseconds slice) const
{
    const std::int64_t current = sliceNumber(now, slice);
    for (std::int64_t i = current - static_cast<std::int64_t>(slicesAWindow); i <= last_; ++i) {
        if (i > last_ - static_cast<std::int64_t>(slices) && counts_[static_cast<std::size_t>(i) % slices] != 0) {
            const auto leaves = (i + static_cast<std::int64_t>(slicesAWindow) + 1) * slice;
            return std::chrono::ceil<Milliseconds>(leaves - now.time_since_epoch());
        }
    }
    return Milliseconds(0);
}

void RequestLimiter::ProgramSize::note(bool beginsProgram, TimePoint now)
{
    if (now > at_) {
        const double kept = std::exp2(-secondsBetween(at_, now) / programSizeHalfLifeSeconds);
        requests_ *= kept;
        programs_ *= kept;
        at_ = now;
    }
    requests_ += 1;
    programs_ += beginsProgram ? 1 : 0;
}

double RequestLimiter::ProgramSize::mean() const
{
    return std::max(1.0, (requests_ + priorRequestsAProgram * priorWeight) / (programs_ + priorWeight));
}

void RequestLimiter::setLimits(const std::vector<Account> &accounts, TimePoint now)
{
    std::unordered_map<std::string, Usage> before = std::exchange(usages_, {});
    for (const Account &account : accounts) {
        if (!account.limit.isBounded()) {
            continue;
        }
        const auto known = before.find(account.name);
        Usage usage = known == before.end() ? Usage {} : known->second;
        if (known == before.end()) {
            usage.requests.reset(now);
            usage.programs.reset(now);
        } else {
            usage.requests.refill(usage.limit.perSecond, depthOf(usage.limit), now);
        }
        usage.limit = account.limit;
        usages_.emplace(account.name, usage);
    }
}

void RequestLimiter::takeOver(const UsageLog &usage, std::int64_t nowMs, TimePoint now)
{
    for (auto &[name, state] : usages_) {
        state.recent = {};
        state.lastReturn = {};
        state.unreported = 0;
        state.inReport = 0;
        const double depth = depthOf(state.limit);
        // Rested long ago, and since then as the reports say.
        TimePoint at = now - Milliseconds(UsageLog::keepMs);
        state.requests.reset(at - Milliseconds(UsageLog::keepMs));
        state.programs.reset(at - Milliseconds(UsageLog::keepMs));
        const auto items = usage.items().find(name);
        if (items == usage.items().end()) {
            continue;
        }
        for (const UsageLog::Item &item : items->second) {
            at = now - Milliseconds(std::max<std::int64_t>(0, nowMs - item.atMs));
            state.requests.refill(state.limit.perSecond, depth, at);
            for (std::uint32_t i = 0; i < item.requests; ++i) {
                state.requests.take();
                if (tolerance_.window.count() != 0) {
                    state.recent.add(at, slice());
                }
            }
        }
    }
    recent_.clear();
    older_.clear();
    isReporting_ = false;
    isReportUrgent_ = false;
}

double RequestLimiter::allowedInWindow(const RequestLimit &limit) const
{
    return limit.perSecond * std::chrono::duration<double>(tolerance_.window).count() + limit.burst;
}

double RequestLimiter::maxUnreported(const RequestLimit &limit) const
{
    const double over = allowedInWindow(limit) * tolerance_.excessShare + tolerance_.excessRequests;
    return std::max(1.0, shareOfPrecisionUnreported * over);
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
    lastReport_ = now;
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
    return !isReporting_ && (isReportUrgent_ || now - lastReport_ >= reportInterval);
}

bool RequestLimiter::waitsForReport(const std::string &account) const
{
    const auto usage = usages_.find(account);
    return usage != usages_.end()
        && usage->second.unreported + usage->second.inReport >= maxUnreported(usage->second.limit);
}

bool RequestLimiter::isKnown(std::string_view id, TimePoint now)
{
    if (now - rotatedAt_ >= rememberFor) {
        older_ = now - rotatedAt_ >= 2 * rememberFor ? std::unordered_set<std::string>() : std::move(recent_);
        recent_.clear();
        rotatedAt_ = now;
    }
    const std::string key(id);
    return recent_.contains(key) || older_.contains(key);
}

RequestLimiter::Decision RequestLimiter::refuse(Usage &usage, LimitReached reached, Milliseconds wait, double perSecond,
                                                TimePoint now)
{
    // One after the other, so that those that are refused together do not come back together.
    const TimePoint next = usage.lastReturn + toMilliseconds(1 / perSecond);
    const TimePoint at = std::clamp(std::max(next, now + wait), now + soonestReturn, now + latestReturn);
    usage.lastReturn = at;
    return {false, reached, Milliseconds(0), std::chrono::ceil<Milliseconds>(at - now)};
}

double RequestLimiter::depthOf(const RequestLimit &limit) const
{
    const double over = tolerance_.window.count() == 0 ? 0 : shareOfOverRequests * tolerance_.excessRequests;
    return std::max(1.0, limit.burst + over);
}

Milliseconds RequestLimiter::untilWindowFits(const Usage &usage, TimePoint now) const
{
    if (tolerance_.window.count() == 0) {
        return Milliseconds(0);
    }
    const double allowed = std::max(1.0, allowedInWindow(usage.limit));
    const bool fits = usage.recent.sum(now, slice()) + 1 <= allowed;
    return fits ? Milliseconds(0) : std::max(Milliseconds(1), usage.recent.untilFewer(now, slice()));
}

RequestLimiter::Decision RequestLimiter::admit(const AdmissionRequest &request, TimePoint now)
{
    const auto found = usages_.find(std::string(request.account));
    if (found == usages_.end() || isKnown(request.id, now)) {
        return {true, LimitReached::None, Milliseconds(0), Milliseconds(0)};
    }
    Usage &usage = found->second;
    const double perSecond = usage.limit.perSecond;
    const double depth = depthOf(usage.limit);
    const double programsPerSecond = perSecond / programSize_.mean();
    const double mostPrograms
        = std::max(fewestProgramsAtOnce, (usage.limit.burst + perSecond * programBurstSeconds) / programSize_.mean());
    usage.requests.refill(perSecond, depth, now);
    usage.programs.refill(programsPerSecond, mostPrograms, now);

    if (request.beginsProgram) {
        const double needed = std::min(depth, 1 + shareLeftToBegun * depth);
        if (usage.programs.level() < 1) {
            return refuse(usage, LimitReached::Programs,
                          toMilliseconds((1 - usage.programs.level()) / programsPerSecond), programsPerSecond, now);
        }
        if (usage.requests.level() < needed) {
            return refuse(usage, LimitReached::Rate, toMilliseconds((needed - usage.requests.level()) / perSecond),
                          perSecond, now);
        }
    }
    const Milliseconds delay = toMilliseconds(std::max(0.0, 1 - usage.requests.level()) / perSecond);
    if (delay > longestDelay) {
        return refuse(usage, LimitReached::Rate, delay, perSecond, now);
    }
    if (const Milliseconds wait = untilWindowFits(usage, now); wait.count() > 0) {
        return refuse(usage, LimitReached::Window, wait, perSecond, now);
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
    programSize_.note(request.beginsProgram, now);
    recent_.emplace(request.id);
    return {true, LimitReached::None, delay, Milliseconds(0)};
}

} // namespace cardamompost
