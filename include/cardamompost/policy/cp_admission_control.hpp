#ifndef CARDAMOMPOST_CP_ADMISSION_CONTROL_HPP_INCLUDED
#define CARDAMOMPOST_CP_ADMISSION_CONTROL_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace cardamompost
{

//! State of a service's queue when a program asks to begin.
struct AdmissionRequest {
    std::string service;
    //! Turns that would be placed before the program's first one.
    std::size_t turnsAhead = 0;
    //! An engine has room for the turn now.
    bool hasRoom = false;
    //! The program's account holds more than its fair share of the slots.
    bool isOverShare = false;
    //! Longest time that the first turn may wait for a slot and still reach the program's target; nothing if unknown.
    std::optional<Milliseconds> slack;
};

//! Refuses programs that can't be served in time, before their first turn.
//!
//! The wait is predicted from the turns ahead and the rate at which slots become free, measured over the last seconds.
//! A program that would wait for longer than its slack, or than the maximum queue time, is refused with the time after
//! which the queue will have drained; the times of refused programs are spread over the drain. While nothing is known
//! of the rate, every program is admitted. Programs in progress are not asked. Thread-safety: none.
class AdmissionControl
{
public:
    explicit AdmissionControl(std::uint64_t seed)
        : random_(seed)
    {
    }

    //! A slot of the service became free.
    void onReleased(const std::string &service, TimePoint now);
    //! Nothing if the program is admitted, else the time after which to ask again.
    [[nodiscard]] std::optional<Milliseconds> refuse(const AdmissionRequest &request, TimePoint now);
    //! Expected time until that many turns have got a slot; nothing while the rate is unknown.
    [[nodiscard]] std::optional<Milliseconds> expectedWait(const std::string &service, std::size_t turnsAhead,
                                                           TimePoint now) const;

private:
    struct Drain {
        //! Releases a second, as a decaying mean.
        double perSecond = 0;
        TimePoint updatedAt {};
    };

    std::unordered_map<std::string, Drain> drains_;
    std::mt19937_64 random_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ADMISSION_CONTROL_HPP_INCLUDED
