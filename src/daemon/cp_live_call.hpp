#ifndef CARDAMOMPOST_CP_LIVE_CALL_HPP_INCLUDED
#define CARDAMOMPOST_CP_LIVE_CALL_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/program/cp_journal_record.hpp>

#include <atomic>
#include <functional>
#include <mutex>

namespace cardamompost
{

//! An event in the answer stream of a call.
struct LiveEvent {
    enum class Kind {
        Tokens,
        //! Text sent so far is invalid; the answer restarts from the beginning.
        Restart,
        Final,
        //! The partition has a new owner; the watcher has to reconnect there.
        Moved,
    };

    Kind kind = Kind::Tokens;
    //! See eventId().
    std::uint64_t id = 0;
    std::string text;
    CallResult result;
};

//! Id of an event: the attempt that started the answer, and the number of tokens up to the end of the event. The
//! attempt distinguishes positions in different generated answers.
[[nodiscard]] constexpr std::uint64_t eventId(std::uint32_t rootAttempt, std::uint64_t position)
{
    return (static_cast<std::uint64_t>(rootAttempt) << 32U) | position;
}

//! Buffers a call's answer while it is generated and streams it to watchers. Thread-safe.
//!
//! Ownership is shared, since the runner and the watching requests end in any order.
class LiveCall
{
public:
    //! Called in order, with the call's lock held: must not block or call back into the LiveCall.
    using Watcher = std::function<void(const LiveEvent &event)>;

    //! Delivers the events after the given id, then new ones as they occur. Sends a Restart first if the id belongs to
    //! another root attempt.
    void watch(std::uint64_t after, Watcher watcher);

    //! Starts the answer with this attempt; discards the text of any other root attempt.
    void begin(std::uint32_t rootAttempt);
    void addTokens(std::uint64_t position, std::string text);
    void finish(const CallResult &result);
    //! Ends the stream with Moved.
    void notifyMoved();

    [[nodiscard]] std::uint64_t position() const;
    [[nodiscard]] std::string text() const;

    //! Requests cancellation; the runner polls isCancelled().
    void cancel()
    {
        isCancelled_ = true;
    }
    [[nodiscard]] bool isCancelled() const
    {
        return isCancelled_;
    }

private:
    struct Subscription {
        std::uint64_t lastEventId = 0;
        Watcher watcher;
    };
    struct Chunk {
        std::uint64_t position = 0;
        std::string text;
    };

    void deliver(Subscription &subscription, const Chunk &chunk) const;
    void restartIfRootChanged(Subscription &subscription) const;
    void end(const LiveEvent &event);

    mutable std::mutex mutex_;
    std::uint32_t rootAttempt_ = 0;
    std::vector<Chunk> chunks_;
    std::vector<Subscription> subscriptions_;
    std::optional<LiveEvent> end_;
    std::atomic<bool> isCancelled_ {false};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LIVE_CALL_HPP_INCLUDED
