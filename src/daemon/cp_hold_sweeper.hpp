#ifndef CARDAMOMPOST_CP_HOLD_SWEEPER_HPP_INCLUDED
#define CARDAMOMPOST_CP_HOLD_SWEEPER_HPP_INCLUDED

#include "cp_router.hpp"

namespace cardamompost
{

//! Releases engine cache entries of programs that have ended.
//!
//! Owners release what their programs hold, but miss entries of attempts that reached an engine after their program
//! ended, and entries of programs that the system has no record of. Each replica is swept by one live VM, selected by
//! rendezvous hashing.
class HoldSweeper
{
public:
    struct Parts {
        const Settings &settings;
        ControlReplica &replica;
        Router &router;
        EngineClient &engines;
        EventLog &log;
        MetricRegistry &metrics;
    };

    HoldSweeper(boost::asio::any_io_executor executor, Parts parts);

    void start();
    void stop();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> sweep(Replica replica);
    boost::asio::awaitable<bool> checkGone(ProgramId program);
    [[nodiscard]] bool isResponsibleFor(const ControlView &view, const Replica &replica) const;

    boost::asio::any_io_executor executor_;
    Parts parts_;
    //! Programs held at the last sweep, by replica. Only programs seen in two consecutive sweeps are checked, to give
    //! owners time to release them.
    std::map<std::string, std::set<ProgramId>> previouslyHeld_;
    std::atomic<bool> isStopped_ {false};
    Counter &releasedHolds_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_HOLD_SWEEPER_HPP_INCLUDED
