#ifndef CARDAMOMPOST_TESTS_CP_LIMIT_STORM_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_LIMIT_STORM_HPP_INCLUDED

#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/limits/cp_request_limiter.hpp>

#include <algorithm>
#include <random>
#include <vector>

namespace cardamompost::tests
{

//! Counts what reached backend servers in every window, exactly.
class ExactWindow
{
public:
    ExactWindow(RequestLimit limit, LimitTolerance tolerance)
        : limit_(limit)
        , tolerance_(tolerance)
    {
    }

    void note(TimePoint at)
    {
        times_.push_back(at);
    }
    //! Above 0 when the limit was broken.
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

//! What goes wrong in a storm beside the changes of leaders.
enum class PlantedFault {
    None,
    //! A leader begins with full allowances, as if nothing had been admitted before.
    FullAtTakeover,
    //! A request that asks again is admitted again, and sent both times.
    CountsNoRepeats,
    //! Each entry enforces the whole limit by itself.
    NoSharedCount,
    //! A leader that was replaced goes on admitting, though none of its reports is stored.
    AdmitsUnreported,
};

//! One account before leaders that change, twice in a second at times, in virtual time: requests of a third to twelve
//! times its limit, some of which ask again since an answer was lost, and reports that take a while to be stored.
class LimitStorm
{
public:
    explicit LimitStorm(std::uint64_t seed, PlantedFault fault = PlantedFault::None)
        : random_(seed)
        , fault_(fault)
        , limit_ {pick(2, 350), pick(0, 350)}
        , exact_(limit_, tolerance())
        , load_(pick(0.3, 12))
    {
        start(leaders_[0]);
        start(leaders_[1]);
    }

    [[nodiscard]] static LimitTolerance tolerance()
    {
        return {Milliseconds(5000), 0.1, 20};
    }
    //! \returns the worst excess over the limit in any window
    double run()
    {
        constexpr Milliseconds length {25'000};
        const TimePoint end = now_ + length;
        TimePoint nextChange = now_ + Milliseconds(static_cast<int>(pick(200, 9000)));
        while (now_ < end) {
            now_ += std::chrono::microseconds(1
                                              + static_cast<int>(std::exponential_distribution<double>(1)(random_) * 1e6
                                                                 / (limit_.perSecond * load_)));
            if (now_ >= nextChange) {
                changeLeader();
                nextChange
                    = now_ + Milliseconds(static_cast<int>(pick(0, 1) < 0.3 ? pick(300, 1000) : pick(2000, 9000)));
            }
            storeReports();
            ask();
        }
        return exact_.worstExcess();
    }
    [[nodiscard]] int admitted() const
    {
        return admitted_;
    }

private:
    double pick(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    void start(RequestLimiter &limiter)
    {
        constexpr Milliseconds longAgo {60'000};
        limiter = RequestLimiter(tolerance());
        Account account;
        account.name = "a";
        account.limit = limit_;
        // An account that has been there for long has its full burst.
        limiter.setLimits({account}, now_ - longAgo);
    }
    [[nodiscard]] std::int64_t nowMs() const
    {
        return std::chrono::duration_cast<Milliseconds>(now_.time_since_epoch()).count();
    }
    //! Reports that a quorum has by now.
    void storeReports()
    {
        if (report_.empty() && leaders_[leader_].isReportDue(now_)) {
            report_ = leaders_[leader_].takeReport(now_);
            storedAt_ = now_ + Milliseconds(static_cast<int>(pick(3, 60)));
        }
        if (!report_.empty() && now_ >= storedAt_) {
            usage_.add(nowMs(), report_);
            leaders_[leader_].endReport(report_, true);
            report_.clear();
        }
    }
    void changeLeader()
    {
        // Nobody admits between the end of one lease and the election of the next leader. What the one before admitted
        // with a delay is still sent.
        if (fault_ != PlantedFault::AdmitsUnreported) {
            now_ += Milliseconds(static_cast<int>(pick(100, 300)));
        }
        // A report that was on its way is stored or lost.
        if (!report_.empty() && pick(0, 1) < 0.5) {
            usage_.add(nowMs(), report_);
        }
        report_.clear();
        leader_ = 1 - leader_;
        start(leaders_[leader_]);
        leaders_[leader_].takeOver(fault_ == PlantedFault::FullAtTakeover ? UsageLog() : usage_, nowMs(), now_);
    }
    void ask()
    {
        // A deposed leader that is asked by half of the entries.
        const bool isOld = fault_ == PlantedFault::AdmitsUnreported && pick(0, 1) < 0.5;
        RequestLimiter &limiter = leaders_[isOld ? 1 - leader_ : leader_];
        const std::string id = std::to_string(++requests_);
        if (fault_ == PlantedFault::NoSharedCount) {
            // Two entries of which each has the account's whole limit.
            send(leaders_[requests_ % 2], id);
            return;
        }
        if (send(limiter, id) && pick(0, 1) < 0.1) {
            const RequestLimiter::Decision again = limiter.admit({"a", id, false}, now_);
            // The entry sends a request once, however often it had to ask.
            if (again.isAdmitted && fault_ == PlantedFault::CountsNoRepeats) {
                for (int i = 0; i < 20; ++i) {
                    exact_.note(now_);
                }
            }
        }
    }
    bool send(RequestLimiter &limiter, const std::string &id)
    {
        const bool ignoresReports = fault_ == PlantedFault::NoSharedCount || fault_ == PlantedFault::AdmitsUnreported;
        if (!ignoresReports && limiter.waitsForReport("a")) {
            return false;
        }
        const RequestLimiter::Decision decision = limiter.admit({"a", id, false}, now_);
        if (decision.isAdmitted) {
            ++admitted_;
            exact_.note(now_ + decision.delay);
        }
        return decision.isAdmitted;
    }

    std::mt19937_64 random_;
    PlantedFault fault_;
    RequestLimit limit_;
    ExactWindow exact_;
    double load_;
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

#endif // CARDAMOMPOST_TESTS_CP_LIMIT_STORM_HPP_INCLUDED
