#ifndef CARDAMOMPOST_CP_UPDATE_QUEUE_HPP_INCLUDED
#define CARDAMOMPOST_CP_UPDATE_QUEUE_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/ledger/cp_ledger_message.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace cardamompost
{

//! Queue of pending update requests from entries at the leader.
//!
//! A token bucket limits the bytes sent to all entries together, since many of them request the same content at once
//! after a restart or a large change.
//! Thread-safety: none.
template<typename Replier>
class UpdateQueue
{
public:
    struct Limits {
        double bytesPerSecond = 0;
        //! Capacity of the token bucket.
        double burstBytes = 0;
    };
    struct PendingRequest {
        UpdateRequest request;
        Replier replier;
        //! When the entry's content became stale, or when the request arrived if it was not stale.
        TimePoint since;
        TimePoint deadline;
    };

    explicit UpdateQueue(Limits limits)
        : limits_(limits)
    {
    }

    void add(UpdateRequest request, Replier replier, TimePoint now, Milliseconds wait)
    {
        const TimePoint since = now - Milliseconds(request.staleMs);
        pending_.push_back({std::move(request), std::move(replier), since, now + wait});
    }
    [[nodiscard]] bool isEmpty() const
    {
        return pending_.empty();
    }

    //! Answers pending requests while tokens are available, the entry that has been stale for longest first.
    //! \param isDue  whether there is an update for an UpdateRequest
    //! \param send   answers a PendingRequest; returns the number of bytes sent
    template<typename IsDue, typename Send>
    void serve(TimePoint now, IsDue isDue, Send send)
    {
        refill(now);
        const auto hasUpdate = [&](const PendingRequest &pending) { return isDue(pending.request); };
        if (availableBytes_ <= 0 || std::none_of(pending_.begin(), pending_.end(), hasUpdate)) {
            return;
        }
        // Prevents starvation under frequent changes, where serving in order of arrival favors the same few entries.
        std::stable_sort(pending_.begin(), pending_.end(), [](const PendingRequest &left, const PendingRequest &right) {
            return left.since < right.since;
        });
        for (PendingRequest &pending : std::exchange(pending_, {})) {
            if (availableBytes_ > 0 && isDue(pending.request)) {
                availableBytes_ -= static_cast<double>(send(pending));
            } else {
                pending_.push_back(std::move(pending));
            }
        }
    }
    //! Removes and returns the requests whose deadline has passed.
    [[nodiscard]] std::vector<PendingRequest> takeExpired(TimePoint now)
    {
        const auto isBeforeDeadline = [now](const PendingRequest &pending) { return now < pending.deadline; };
        if (std::all_of(pending_.begin(), pending_.end(), isBeforeDeadline)) {
            return {};
        }
        const auto expired = std::stable_partition(pending_.begin(), pending_.end(), isBeforeDeadline);
        std::vector<PendingRequest> taken(std::make_move_iterator(expired), std::make_move_iterator(pending_.end()));
        pending_.erase(expired, pending_.end());
        return taken;
    }
    [[nodiscard]] std::vector<PendingRequest> takeAll()
    {
        return std::exchange(pending_, {});
    }

private:
    void refill(TimePoint now)
    {
        const double refilled = std::chrono::duration<double>(now - refilledAt_).count() * limits_.bytesPerSecond;
        availableBytes_ = std::min(limits_.burstBytes, availableBytes_ + refilled);
        refilledAt_ = now;
    }

    Limits limits_;
    std::vector<PendingRequest> pending_;
    //! Tokens in the bucket; negative after an answer larger than the remaining tokens.
    double availableBytes_ = 0;
    TimePoint refilledAt_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_UPDATE_QUEUE_HPP_INCLUDED
