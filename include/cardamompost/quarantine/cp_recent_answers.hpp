#ifndef CARDAMOMPOST_CP_RECENT_ANSWERS_HPP_INCLUDED
#define CARDAMOMPOST_CP_RECENT_ANSWERS_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/quarantine/cp_request_fingerprint.hpp>

#include <string_view>
#include <unordered_set>

namespace cardamompost
{

//! Remembers for a while which requests servers of a software version have answered. A request that many callers send
//! runs at any server that ends by chance; that it was answered shows that it is not the reason. Thread-safety: none.
class RecentAnswers
{
public:
    //! An answer is remembered for at least this long and at most twice as long, while there are few enough.
    static constexpr Milliseconds retention {30'000};
    static constexpr std::size_t maxRequests = 4096;

    void record(RequestFingerprint request, std::string_view softwareVersion, TimePoint now)
    {
        if (now - startedAt_ >= retention || latest_.size() >= maxRequests) {
            const bool isExpired = now - startedAt_ >= 2 * retention;
            earlier_ = isExpired ? Keys {} : std::move(latest_);
            latest_.clear();
            startedAt_ = now;
        }
        latest_.insert(stableHash(softwareVersion, request));
    }
    [[nodiscard]] bool contains(RequestFingerprint request, std::string_view softwareVersion, TimePoint now) const
    {
        const std::uint64_t key = stableHash(softwareVersion, request);
        const TimePoint::duration age = now - startedAt_;
        return (age < 2 * retention && latest_.contains(key)) || (age < retention && earlier_.contains(key));
    }

private:
    using Keys = std::unordered_set<std::uint64_t>;

    TimePoint startedAt_ {};
    //! Recorded since then.
    Keys latest_;
    //! Recorded before.
    Keys earlier_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_RECENT_ANSWERS_HPP_INCLUDED
