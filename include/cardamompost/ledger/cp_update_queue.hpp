#ifndef CARDAMOMPOST_CP_UPDATE_QUEUE_HPP_INCLUDED
#define CARDAMOMPOST_CP_UPDATE_QUEUE_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/ledger/cp_ledger_message.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace cardamompost
{

//! Entries' questions for news at the ledger's leader, and which of them is answered next.
//!
//! All entries together are sent so many bytes a second at most: hundreds of them want the same things at one moment,
//! after a start or a change of everything, and the leader has small memory and a small link.
//! Thread-safety: none.
template<typename Replier>
class UpdateQueue
{
public:
    struct Limits {
        double bytesPerSecond = 0;
        //! What may be sent at once after a quiet time.
        double burstBytes = 0;
    };
    struct Question {
        UpdateRequest request;
        Replier replier;
        //! When the entry first knew that it lacks something, or asked.
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
        questions_.push_back({std::move(request), std::move(replier), since, now + wait});
    }
    [[nodiscard]] bool isEmpty() const
    {
        return questions_.empty();
    }

    //! Answers those that are due, as far as may be sent now.
    //! \param isDue  whether there is something for a request
    //! \param send   answers a question; returns the bytes that it took
    template<typename IsDue, typename Send>
    void serve(TimePoint now, IsDue isDue, Send send)
    {
        earn(now);
        const auto isWaiting = [&](const Question &question) { return isDue(question.request); };
        if (budget_ <= 0 || std::none_of(questions_.begin(), questions_.end(), isWaiting)) {
            return;
        }
        // Guards entries that come last under changes in quick succession: served in the order in which questions
        // come, the same few entries got every version, and others none for seconds, asking again and again. Who has
        // lacked something for longest goes first, however often he had to ask.
        std::stable_sort(questions_.begin(), questions_.end(),
                         [](const Question &left, const Question &right) { return left.since < right.since; });
        for (Question &question : std::exchange(questions_, {})) {
            if (budget_ > 0 && isDue(question.request)) {
                budget_ -= static_cast<double>(send(question));
            } else {
                questions_.push_back(std::move(question));
            }
        }
    }
    //! Takes out the questions whose time is over.
    [[nodiscard]] std::vector<Question> takeExpired(TimePoint now)
    {
        const auto isOpen = [now](const Question &question) { return now < question.deadline; };
        if (std::all_of(questions_.begin(), questions_.end(), isOpen)) {
            return {};
        }
        const auto expired = std::stable_partition(questions_.begin(), questions_.end(), isOpen);
        std::vector<Question> taken(std::make_move_iterator(expired), std::make_move_iterator(questions_.end()));
        questions_.erase(expired, questions_.end());
        return taken;
    }
    [[nodiscard]] std::vector<Question> takeAll()
    {
        return std::exchange(questions_, {});
    }

private:
    void earn(TimePoint now)
    {
        const double earned = std::chrono::duration<double>(now - earnedAt_).count() * limits_.bytesPerSecond;
        budget_ = std::min(limits_.burstBytes, budget_ + earned);
        earnedAt_ = now;
    }

    Limits limits_;
    std::vector<Question> questions_;
    //! Bytes that may be sent now; below 0 while the last answer is paid off.
    double budget_ = 0;
    TimePoint earnedAt_ {};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_UPDATE_QUEUE_HPP_INCLUDED
