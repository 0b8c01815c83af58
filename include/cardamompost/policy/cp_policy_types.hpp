#ifndef CARDAMOMPOST_CP_POLICY_TYPES_HPP_INCLUDED
#define CARDAMOMPOST_CP_POLICY_TYPES_HPP_INCLUDED

#include <cardamompost/core/cp_time.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace cardamompost
{

//! A call that waits for a replica, as policies see it.
struct WaitingCall {
    std::uint64_t id = 0;
    std::string workClass;
    //! 0 goes first.
    int rank = 0;
    TimePoint arrived {};
    TimePoint deadline {};
    //! Tokens computed so far for the whole program, including its sub-agents.
    std::int64_t attainedTokens = 0;
    std::uint32_t turn = 0;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    //! Replica that served the program last, and the prompt tokens that may still be in its cache.
    std::string warmReplica;
    std::int64_t warmTokens = 0;
};

//! A replica as the scheduling process sees it.
struct ReplicaView {
    std::string name;
    std::string failureDomain;
    int slots = 1;
    //! Calls in flight from this process.
    int ownInFlight = 0;
    //! Calls in flight from other processes, as last reported.
    int othersInFlight = 0;
    //! Accepts no new calls: draining, ejected, or closed by its own report.
    bool isClosed = false;
    //! Share of the slots that may be used, 0 to 1; below 1 during slow start after an ejection.
    double usableSlotShare = 1.0;

    [[nodiscard]] int load() const
    {
        return ownInFlight + othersInFlight;
    }
    [[nodiscard]] bool hasFreeSlot() const
    {
        return !isClosed && load() < std::max(1, static_cast<int>(slots * usableSlotShare));
    }
};

//! Estimated speeds of a deployment's engines.
struct EngineSpeed {
    double prefillMsPerToken = 0.1;
    double decodeMsPerToken = 10.0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_POLICY_TYPES_HPP_INCLUDED
