#ifndef CARDAMOMPOST_TESTS_CP_LIMITER_SIMULATION_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_LIMITER_SIMULATION_HPP_INCLUDED

#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/limits/cp_request_limiter.hpp>

#include <algorithm>
#include <random>
#include <vector>

namespace cardamompost::tests
{

//! Checks the exact number of requests that reached backend servers in every window.
class ExactWindowCheck
{
public:
    ExactWindowCheck(RequestLimit limit, LimitTolerance tolerance)
        : limit_(limit)
        , tolerance_(tolerance)
    {
    }

    void record(TimePoint at)
    {
        times_.push_back(at);
    }
    //! Largest excess over the limit in any window; above 0 if the limit was exceeded.
    [[nodiscard]] double worstExcess()
    {
        std::sort(times_.begin(), times_.end());
        const double seconds = std::chrono::duration<double>(tolerance_.window).count();
        const double allowed
            = (limit_.perSecond * seconds + limit_.burst) * (1 + tolerance_.excessShare) + tolerance_.excessRequests;
        double worst = -allowed;
        std::size_t first = 0;
        for (std::size_t last = 0; last < times_.size(); ++last) {
            while (times_[first] + tolerance_.window <= times_[last]) {
                ++first;
            }
            worst = std::max(worst, static_cast<double>(last - first + 1) - allowed);
        }
        return worst;
    }

private:
    RequestLimit limit_;
    LimitTolerance tolerance_;
    std::vector<TimePoint> times_;
};

//! Fault injected in addition to leader changes.
enum class InjectedFault {
    None,
    //! A new leader starts with full buckets and no usage.
    FullBucketAtTakeover,
    //! A repeated request is admitted and sent again.
    IgnoresDuplicates,
    //! Each entry enforces the whole limit separately.
    NoSharedCount,
    //! A deposed leader continues to admit requests without storing reports.
    AdmitsUnreported,
};

//! Simulates one account in virtual time, with leader changes, repeated requests and delayed reports, under loads below
//! and above the limit.
class LimiterSimulation
{
public:
    explicit LimiterSimulation(std::uint64_t seed, InjectedFault fault = InjectedFault::None)
        : random_(seed)
        , fault_(fault)
        , limit_ {uniform(2, 350), uniform(0, 350)}
        , windowCheck_(limit_, tolerance())
        , loadFactor_(uniform(0.3, 12))
    {
        start(leaders_[0]);
        start(leaders_[1]);
    }

    [[nodiscard]] static LimitTolerance tolerance()
    {
        return {Milliseconds(5000), 0.1, 20};
    }
    //! \returns the largest excess over the limit in any window
    double run()
    {
        constexpr Milliseconds length {25'000};
        const TimePoint end = now_ + length;
        TimePoint nextLeaderChange = now_ + Milliseconds(static_cast<int>(uniform(200, 9000)));
        while (now_ < end) {
            now_ += std::chrono::microseconds(1
                                              + static_cast<int>(std::exponential_distribution<double>(1)(random_) * 1e6
                                                                 / (limit_.perSecond * loadFactor_)));
            if (now_ >= nextLeaderChange) {
                changeLeader();
                nextLeaderChange = now_
                    + Milliseconds(static_cast<int>(uniform(0, 1) < 0.3 ? uniform(300, 1000) : uniform(2000, 9000)));
            }
            storeReports();
            sendRequest();
        }
        return windowCheck_.worstExcess();
    }
    [[nodiscard]] int admitted() const
    {
        return admitted_;
    }

private:
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    void start(RequestLimiter &limiter)
    {
        constexpr Milliseconds idleTime {60'000};
        limiter = RequestLimiter(tolerance());
        Account account;
        account.name = "a";
        account.limit = limit_;
        // The account has been idle, so its bucket is full.
        limiter.setLimits({account}, now_ - idleTime);
    }
    [[nodiscard]] std::int64_t nowMs() const
    {
        return std::chrono::duration_cast<Milliseconds>(now_.time_since_epoch()).count();
    }
    //! Takes reports when they are due and stores them after a replication delay.
    void storeReports()
    {
        if (report_.empty() && leaders_[leader_].isReportDue(now_)) {
            report_ = leaders_[leader_].takeReport(now_);
            storedAt_ = now_ + Milliseconds(static_cast<int>(uniform(3, 60)));
        }
        if (!report_.empty() && now_ >= storedAt_) {
            usage_.add(nowMs(), report_);
            leaders_[leader_].endReport(report_, true);
            report_.clear();
        }
    }
    void changeLeader()
    {
        // No requests are admitted between the end of a lease and the next election; delayed requests are still sent.
        if (fault_ != InjectedFault::AdmitsUnreported) {
            now_ += Milliseconds(static_cast<int>(uniform(100, 300)));
        }
        // A report in flight is stored or lost.
        if (!report_.empty() && uniform(0, 1) < 0.5) {
            usage_.add(nowMs(), report_);
        }
        report_.clear();
        leader_ = 1 - leader_;
        start(leaders_[leader_]);
        leaders_[leader_].restoreUsage(fault_ == InjectedFault::FullBucketAtTakeover ? UsageLog() : usage_, nowMs(),
                                       now_);
    }
    void sendRequest()
    {
        // Half of the requests go to the deposed leader.
        const bool isDeposed = fault_ == InjectedFault::AdmitsUnreported && uniform(0, 1) < 0.5;
        RequestLimiter &limiter = leaders_[isDeposed ? 1 - leader_ : leader_];
        const std::string id = std::to_string(++requests_);
        if (fault_ == InjectedFault::NoSharedCount) {
            // Two entries, each enforcing the whole limit.
            send(leaders_[requests_ % 2], id);
            return;
        }
        if (send(limiter, id) && uniform(0, 1) < 0.1) {
            const RequestLimiter::Decision again = limiter.admit({"a", id, false}, now_);
            // An entry sends a request once, however often it asked for admission.
            if (again.isAdmitted && fault_ == InjectedFault::IgnoresDuplicates) {
                for (int i = 0; i < 20; ++i) {
                    windowCheck_.record(now_);
                }
            }
        }
    }
    bool send(RequestLimiter &limiter, const std::string &id)
    {
        const bool ignoresReports = fault_ == InjectedFault::NoSharedCount || fault_ == InjectedFault::AdmitsUnreported;
        if (!ignoresReports && limiter.mustWaitForReport("a")) {
            return false;
        }
        const RequestLimiter::Decision decision = limiter.admit({"a", id, false}, now_);
        if (decision.isAdmitted) {
            ++admitted_;
            windowCheck_.record(now_ + decision.delay);
        }
        return decision.isAdmitted;
    }

    std::mt19937_64 random_;
    InjectedFault fault_;
    RequestLimit limit_;
    ExactWindowCheck windowCheck_;
    //! Requests sent per request that the rate allows.
    double loadFactor_;
    TimePoint now_ {std::chrono::hours(1)};
    std::array<RequestLimiter, 2> leaders_;
    std::size_t leader_ = 0;
    UsageLog usage_;
    std::vector<AccountUsage> report_;
    TimePoint storedAt_ {};
    int requests_ = 0;
    int admitted_ = 0;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_LIMITER_SIMULATION_HPP_INCLUDED
