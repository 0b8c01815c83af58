#ifndef CARDAMOMPOST_CP_ADMISSION_CONTROL_HPP_INCLUDED
#define CARDAMOMPOST_CP_ADMISSION_CONTROL_HPP_INCLUDED

#include <cardamompost/core/cp_decaying_rate.hpp>
#include <cardamompost/core/cp_name_table.hpp>
#include <cardamompost/core/cp_time.hpp>
#include <cardamompost/policy/cp_turn_queue.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace cardamompost
{

//! State of a service's queue when a program asks to begin.
struct AdmissionRequest {
    std::string service;
    //! Place of the program's first turn in the order in which slots are given out.
    TurnClass turnClass {};
    //! Turns that would be placed before the program's first one.
    std::size_t turnsAhead = 0;
    //! An engine has room for the turn now.
    bool hasRoom = false;
    //! Time to the program's target; nothing if unknown.
    std::optional<Milliseconds> programTimeLeft;
};

enum class AdmissionReason : std::uint8_t {
    //! The program would wait for so long that it could not reach its target.
    TooLate,
    //! The program would wait for longer than the maximum queue time.
    QueueTooLong,
};

inline constexpr std::array admissionReasonNames {
    Named {AdmissionReason::TooLate, "too-late"},
    Named {AdmissionReason::QueueTooLong, "queue-too-long"},
};

//! Why a program was refused, and when to ask again.
struct AdmissionRefusal {
    AdmissionReason reason = AdmissionReason::QueueTooLong;
    std::size_t turnsAhead = 0;
    Milliseconds expectedWait {0};
    //! Longest wait with which the program would have been admitted.
    Milliseconds slack {0};
    Milliseconds retryAfter {0};
    //! Of the program's account.
    unsigned heldSlots = 0;
    double fairShare = 0;
};

//! Refuses programs that can't be served in time, before their first turn.
//!
//! The wait is predicted from the turns ahead, and from the rate at which slots become free less that at which turns of
//! classes before the program's own take some. A program that would wait for longer than the maximum queue time, or
//! than a share of the time to its target, is refused with the time after which the queue will have drained; the times
//! of refused programs are spread. While the rates are unknown, every program is admitted. Programs in progress are not
//! asked. Thread-safety: none.
class AdmissionControl
{
public:
    explicit AdmissionControl(std::uint64_t seed)
        : random_(seed)
    {
    }

    //! A slot of the service became free.
    void onReleased(const std::string &service, TimePoint now);
    //! A turn of the class took a slot.
    void onPlaced(const std::string &service, const TurnClass &turnClass, TimePoint now);
    //! Forgets all rates.
    void clear();
    //! Nothing if the program is admitted.
    [[nodiscard]] std::optional<AdmissionRefusal> refuse(const AdmissionRequest &request, TimePoint now);
    //! Expected time until a turn of the class has got a slot; nothing while the rates are unknown.
    [[nodiscard]] std::optional<Milliseconds> expectedWait(const std::string &service, const TurnClass &turnClass,
                                                           std::size_t turnsAhead, TimePoint now) const;

private:
    struct Drain {
        TimePoint measuredSince {};
        DecayingRate released;
        std::map<TurnClass, DecayingRate> placed;
    };

    [[nodiscard]] Drain &drain(const std::string &service, TimePoint now);

    std::unordered_map<std::string, Drain> drains_;
    std::mt19937_64 random_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ADMISSION_CONTROL_HPP_INCLUDED
