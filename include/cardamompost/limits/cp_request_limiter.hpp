#ifndef CARDAMOMPOST_CP_REQUEST_LIMITER_HPP_INCLUDED
#define CARDAMOMPOST_CP_REQUEST_LIMITER_HPP_INCLUDED

#include <cardamompost/accounts/cp_account.hpp>
#include <cardamompost/core/cp_name_table.hpp>
#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/limits/cp_usage_log.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace cardamompost
{

//! How exactly limits have to be kept.
struct LimitTolerance {
    //! In any span of this length an account gets its rate times the span and its burst. 0 for spans of every length.
    Milliseconds window {0};
    //! What may come on top of that, as a share and as a number of requests. It is used up only when the VM that counts
    //! is replaced, as its successor does not know what was admitted in the last moment before.
    double excessShare = 0;
    double excessRequests = 0;
};

//! What a request that was not admitted is beyond.
enum class LimitReached {
    None,
    //! The account has begun as many programs as its limit can finish.
    Programs,
    Rate,
    Window,
};

inline constexpr std::array limitReachedNames {
    Named {LimitReached::None, "none"},
    Named {LimitReached::Programs, "programs"},
    Named {LimitReached::Rate, "rate"},
    Named {LimitReached::Window, "window"},
};

//! Counts the requests of accounts in one place for all entries, and admits what their limits allow.
//!
//! An account over its limit gets the requests of the programs that it has begun, and begins only as many as it can
//! finish: were requests refused by lot, none of its programs would end. Thread-safety: none. Time is an argument.
class RequestLimiter
{
public:
    struct AdmissionRequest {
        std::string_view account;
        //! The same request may ask again, after a lost answer; it counts once.
        std::string_view id;
        //! The first request of a program.
        bool beginsProgram = false;
    };
    struct Decision {
        bool isAdmitted = false;
        LimitReached reached = LimitReached::None;
        //! When it is admitted: how long the request has to wait until it is sent.
        Milliseconds delay {0};
        //! When it is not: the time to come back.
        Milliseconds retryAfter {0};
    };

    explicit RequestLimiter(LimitTolerance tolerance = {})
        : tolerance_(tolerance)
    {
    }

    //! Puts limits in force. Accounts that are known keep what they have used; a new one begins with nothing.
    void setLimits(const std::vector<Account> &accounts, TimePoint now);
    //! Takes over from another VM, of whose admissions all but the last unreported ones are known.
    //! \param nowMs  as the log's times are told
    void takeOver(const UsageLog &usage, std::int64_t nowMs, TimePoint now);
    //! What was admitted since the last call, for a report that outlives this VM.
    [[nodiscard]] std::vector<AccountUsage> takeReport(TimePoint now);
    //! The report is stored, or lost.
    void endReport(const std::vector<AccountUsage> &report, bool isStored);
    //! It is time for the next report.
    [[nodiscard]] bool isReportDue(TimePoint now) const;
    //! The account has as much unreported as a successor may not know of: its next requests wait for the report.
    [[nodiscard]] bool waitsForReport(const std::string &account) const;
    //! As it is in force; unbounded for an account that is not known.
    [[nodiscard]] RequestLimit limitOf(const std::string &account) const
    {
        const auto found = usages_.find(account);
        return found == usages_.end() ? RequestLimit {} : found->second.limit;
    }
    [[nodiscard]] Decision admit(const AdmissionRequest &request, TimePoint now);

private:
    //! A number that grows with time up to a bound, and may be overdrawn.
    class Allowance
    {
    public:
        void reset(TimePoint now);
        void refill(double perSecond, double most, TimePoint now);
        [[nodiscard]] double level() const
        {
            return level_;
        }
        void take()
        {
            level_ -= 1;
        }

    private:
        double level_ = 0;
        TimePoint at_ {};
    };
    //! Requests by the time of their admission, over somewhat more than the window.
    class RecentCounts
    {
    public:
        void add(TimePoint now, Milliseconds slice);
        [[nodiscard]] double sum(TimePoint now, Milliseconds slice) const;
        //! Until an earlier request leaves the window.
        [[nodiscard]] Milliseconds untilFewer(TimePoint now, Milliseconds slice) const;
        static constexpr std::size_t slicesAWindow = 50;

    private:
        // The oldest slice is in the window in part, and requests with a delay count at the time when they are sent.
        static constexpr std::size_t slices = slicesAWindow + 5;

        std::array<std::uint32_t, slices> counts_ {};
        std::int64_t last_ = 0;
    };
    struct Usage {
        RequestLimit limit;
        Allowance requests;
        RecentCounts recent;
        Allowance programs;
        //! The last time to come back that was given out.
        TimePoint lastReturn {};
        //! Admitted, and not in a report yet; and in one that is not stored yet.
        std::uint32_t unreported = 0;
        std::uint32_t inReport = 0;
    };
    //! Requests a program, as seen over all accounts lately.
    class ProgramSize
    {
    public:
        void note(bool beginsProgram, TimePoint now);
        [[nodiscard]] double mean() const;

    private:
        double requests_ = 0;
        double programs_ = 0;
        TimePoint at_ {};
    };

    //! The most that may be admitted at once after a pause.
    [[nodiscard]] double depthOf(const RequestLimit &limit) const;
    [[nodiscard]] double allowedInWindow(const RequestLimit &limit) const;
    //! Requests that a successor may not know of.
    [[nodiscard]] double maxUnreported(const RequestLimit &limit) const;
    //! Until one more request fits into the window; 0 when it does.
    [[nodiscard]] Milliseconds untilWindowFits(const Usage &usage, TimePoint now) const;
    [[nodiscard]] Milliseconds slice() const
    {
        return std::max(Milliseconds(1), tolerance_.window / static_cast<int>(RecentCounts::slicesAWindow));
    }
    [[nodiscard]] bool isKnown(std::string_view id, TimePoint now);
    //! \param wait  until the request could be admitted, if no other came
    //! \param perSecond  how many can be admitted a second from then on
    [[nodiscard]] static Decision refuse(Usage &usage, LimitReached reached, Milliseconds wait, double perSecond,
                                         TimePoint now);

    LimitTolerance tolerance_;
    std::unordered_map<std::string, Usage> usages_;
    TimePoint lastReport_ {};
    bool isReporting_ = false;
    //! Some account has half of what may be unreported.
    bool isReportUrgent_ = false;
    ProgramSize programSize_;
    //! Ids that were admitted lately, and those before.
    std::unordered_set<std::string> recent_;
    std::unordered_set<std::string> older_;
    TimePoint rotatedAt_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_REQUEST_LIMITER_HPP_INCLUDED
