#include "cp_stream_timer.hpp"

namespace cardamompost
{

namespace
{

// A time is used if it is at least this multiple of the time within which its bounds are known.
constexpr int minExactness = 10;

std::uint32_t millisecondsOf(TimePoint::duration time, TimePoint::duration inexactness)
{
    const bool isExact = time >= minExactness * inexactness;
    return isExact ? static_cast<std::uint32_t>(std::chrono::round<Milliseconds>(time).count()) : 0;
}

} // namespace

void StreamTimer::start(TimePoint now, std::uint64_t events)
{
    *this = {};
    sentAt_ = now;
    emptyAt_ = now;
    eventsBefore_ = events;
    events_ = events;
}

void StreamTimer::onHead(TimePoint now)
{
    // Nothing had arrived before, since the head was waited for.
    emptyAt_ = now;
}

void StreamTimer::beforeRead(TimePoint now, bool hasArrived)
{
    hasArrived_ = hasArrived;
    if (!hasArrived) {
        emptyAt_ = now;
    }
}

void StreamTimer::afterRead(TimePoint now, std::uint64_t events)
{
    if (!hasArrived_) {
        // What is left to read arrived together with what was waited for.
        emptyAt_ = now;
    }
    if (events == events_) {
        return;
    }
    last_ = {hasArrived_ ? emptyAt_ : now, now};
    if (events_ == eventsBefore_) {
        first_ = last_;
    }
    events_ = events;
}

std::uint32_t StreamTimer::firstEventMs() const
{
    if (eventsBefore_ != 0 || events_ == 0) {
        return 0;
    }
    return millisecondsOf(first_.middle() - sentAt_, first_.latest - first_.earliest);
}

std::uint32_t StreamTimer::streamMs() const
{
    if (eventsBefore_ != 0 || events_ < 2) {
        return 0;
    }
    const auto inexactness = (first_.latest - first_.earliest) + (last_.latest - last_.earliest);
    return millisecondsOf(last_.middle() - first_.middle(), inexactness);
}

} // namespace cardamompost
