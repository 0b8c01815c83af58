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

//! Precision with which limits are enforced.
struct LimitTolerance {
    //! In any span of this length an account gets at most its rate times the span plus its burst. 0 enforces this
    //! for spans of any length.
    Milliseconds window {0};
    //! Excess allowed over the limit, as a share and as a number of requests. It is used only when the leader changes,
    //! because the new leader lacks the most recent admissions.
    double excessShare = 0;
    double excessRequests = 0;
};

//! The limit that a rejected request exceeded.
enum class LimitReached {
    None,
    //! The account has started as many programs as its limit can finish.
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

//! Enforces the request limits of accounts for all entries.
//!
//! If an account exceeds its limit, requests of programs in progress take precedence, and only as many new programs
//! start as the limit can finish; rejecting requests randomly would leave all its programs incomplete.
//! Thread-safety: none. Time is an argument.
class RequestLimiter
{
public:
    struct AdmissionRequest {
        std::string_view account;
        //! Id of the request's arrival; a repeated one counts once.
        std::string_view id;
        //! True for the first request of a program.
        bool beginsProgram = false;
    };
    struct Decision {
        bool isAdmitted = false;
        LimitReached reached = LimitReached::None;
        //! Time to wait before sending an admitted request.
        Milliseconds delay {0};
        //! Time after which a rejected request may be retried.
        Milliseconds retryAfter {0};
    };

    explicit RequestLimiter(LimitTolerance tolerance = {})
        : tolerance_(tolerance)
    {
    }

    //! Applies limits. Known accounts keep their usage; new accounts start with an empty bucket.
    void setLimits(const std::vector<Account> &accounts, TimePoint now);
    //! Restores the usage that the previous leader reported.
    //! \param nowMs  the current time on the clock of the usage log
    void restoreUsage(const UsageLog &usage, std::int64_t nowMs, TimePoint now);
    //! Takes the admissions since the last report, to be replicated.
    [[nodiscard]] std::vector<AccountUsage> takeReport(TimePoint now);
    //! Completes a report; one that was not stored is reported again.
    void endReport(const std::vector<AccountUsage> &report, bool isStored);
    [[nodiscard]] bool isReportDue(TimePoint now) const;
    //! True while the account's unreported usage has reached its maximum; its next requests must wait for the report.
    [[nodiscard]] bool mustWaitForReport(const std::string &account) const;
    //! The limit in force; unbounded for an unknown account.
    [[nodiscard]] RequestLimit limitOf(const std::string &account) const
    {
        const auto found = usages_.find(account);
        return found == usages_.end() ? RequestLimit {} : found->second.limit;
    }
    [[nodiscard]] Decision admit(const AdmissionRequest &request, TimePoint now);

private:
    //! Token bucket whose level may become negative.
    class OverdraftBucket
    {
    public:
        void reset(TimePoint now);
        void refill(double perSecond, double maxTokens, TimePoint now);
        [[nodiscard]] double tokens() const
        {
            return tokens_;
        }
        void take()
        {
            tokens_ -= 1;
        }

    private:
        double tokens_ = 0;
        TimePoint updatedAt_ {};
    };
    //! Sliding-window counter of admitted requests, in slices.
    class SlidingWindow
    {
    public:
        void add(TimePoint now, Milliseconds slice);
        [[nodiscard]] double sum(TimePoint now, Milliseconds slice) const;
        //! Time until the oldest counted request leaves the window.
        [[nodiscard]] Milliseconds timeUntilExpiry(TimePoint now, Milliseconds slice) const;
        static constexpr std::size_t slicesPerWindow = 50;

    private:
        // Extra slices hold the oldest, partly expired slice and delayed requests, which count at their sending time.
        static constexpr std::size_t sliceCount = slicesPerWindow + 5;

        std::array<std::uint32_t, sliceCount> counts_ {};
        std::int64_t lastSlice_ = 0;
    };
    struct Usage {
        RequestLimit limit;
        OverdraftBucket requests;
        SlidingWindow recent;
        OverdraftBucket programs;
        //! Latest retry time that was assigned.
        TimePoint lastRetryAt {};
        //! Admissions not yet reported, and those in a report that is not yet stored.
        std::uint32_t unreported = 0;
        std::uint32_t inReport = 0;
    };
    //! Decaying mean of requests per program over all accounts.
    class RequestsPerProgram
    {
    public:
        void record(bool beginsProgram, TimePoint now);
        [[nodiscard]] double mean() const;

    private:
        double requests_ = 0;
        double programs_ = 0;
        TimePoint updatedAt_ {};
    };

    //! Largest number of requests admitted at once after an idle time.
    [[nodiscard]] double bucketCapacity(const RequestLimit &limit) const;
    [[nodiscard]] double allowedInWindow(const RequestLimit &limit) const;
    //! Largest number of requests that may be missing from the reports.
    [[nodiscard]] double maxUnreported(const RequestLimit &limit) const;
    //! Time until the window allows one more request; 0 if it does now.
    [[nodiscard]] Milliseconds timeUntilWindowAllows(const Usage &usage, TimePoint now) const;
    [[nodiscard]] Milliseconds slice() const
    {
        return std::max(Milliseconds(1), tolerance_.window / static_cast<int>(SlidingWindow::slicesPerWindow));
    }
    [[nodiscard]] bool isDuplicate(std::string_view id, TimePoint now);
    //! \param wait       time until the request could be admitted if no other arrives
    //! \param perSecond  rate of admissions from then on
    [[nodiscard]] static Decision reject(Usage &usage, LimitReached reached, Milliseconds wait, double perSecond,
                                         TimePoint now);

    LimitTolerance tolerance_;
    std::unordered_map<std::string, Usage> usages_;
    TimePoint lastReportAt_ {};
    bool isReporting_ = false;
    //! True if the unreported usage of some account has reached half of its maximum.
    bool isReportUrgent_ = false;
    RequestsPerProgram requestsPerProgram_;
    //! Ids of admitted requests: the current and the previous generation.
    std::unordered_set<std::string> recentIds_;
    std::unordered_set<std::string> olderIds_;
    TimePoint idsRotatedAt_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_REQUEST_LIMITER_HPP_INCLUDED
