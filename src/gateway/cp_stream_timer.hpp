#ifndef CARDAMOMPOST_CP_STREAM_TIMER_HPP_INCLUDED
#define CARDAMOMPOST_CP_STREAM_TIMER_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <cstdint>

namespace cardamompost
{

//! Measures when the first and the last event of a stream arrived.
//!
//! Events may arrive while the stream is not being read, because the ledger has not granted the turn yet or the caller
//! reads slowly. They then arrived at some time since the last moment at which nothing was left to read; the middle of
//! that time is used if it is short compared with what is measured, else nothing. Thread-safety: none.
class StreamTimer
{
public:
    //! A request is being sent. \param events  number of events that the caller has from earlier attempts
    void start(TimePoint now, std::uint64_t events);
    //! The head of the response has been read.
    void onHead(TimePoint now);
    //! \param hasArrived  bytes have arrived that are not read yet
    void beforeRead(TimePoint now, bool hasArrived);
    //! \param events  number of complete events so far
    void afterRead(TimePoint now, std::uint64_t events);

    //! From sending the request to the first event; 0 if unknown.
    [[nodiscard]] std::uint32_t firstEventMs() const;
    //! From the first event to the last one; 0 if unknown.
    [[nodiscard]] std::uint32_t streamMs() const;

private:
    //! An event arrived at some time in between.
    struct Arrival {
        TimePoint earliest {};
        TimePoint latest {};

        [[nodiscard]] TimePoint middle() const
        {
            return earliest + (latest - earliest) / 2;
        }
    };

    TimePoint sentAt_ {};
    //! Nothing was left to read at this time.
    TimePoint emptyAt_ {};
    bool hasArrived_ = false;
    std::uint64_t eventsBefore_ = 0;
    std::uint64_t events_ = 0;
    Arrival first_;
    Arrival last_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_STREAM_TIMER_HPP_INCLUDED
