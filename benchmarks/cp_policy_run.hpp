#ifndef CARDAMOMPOST_BENCHMARKS_CP_POLICY_RUN_HPP_INCLUDED
#define CARDAMOMPOST_BENCHMARKS_CP_POLICY_RUN_HPP_INCLUDED

#include "cli/cp_load_profile.hpp"
#include "standin/cp_engine_model.hpp"

#include <cardamompost/policy/cp_call_scheduler.hpp>

#include <cmath>
#include <functional>
#include <map>
#include <memory>

namespace cardamompost::bench
{

//! Policies and load of one simulation run.
struct PolicyRunOptions {
    std::string queuePolicy;
    std::string placementPolicy;
    std::string profile;
    double programsPerSecond = 1.0;
    double seconds = 300.0;
    std::uint64_t seed = 1;
    int replicas = 9;
    //! Slowdown factor of the first replica; 1 for none.
    double slowFactor = 1.0;
    std::size_t queueLimit = 400;
};

struct ClassResult {
    std::vector<double> workMs;
    //! Time in calls divided by the program's ideal time, in which each call runs alone with its history cached.
    std::vector<double> stretch;
    std::uint64_t shedCalls = 0;
};

struct PolicyRunResult {
    std::map<std::string, ClassResult> classes;
    std::int64_t promptTokens = 0;
    //! Prompt tokens of earlier turns that were computed again because they were not cached.
    std::int64_t recomputedTokens = 0;
    double finishedPerSecond = 0;
    //! Ideal time of all finished programs, in milliseconds per second.
    double goodput = 0;
    //! Mean share of engine slots in use.
    double utilisation = 0;
};

//! Runs the programs of a load profile against engine models in virtual time, with one scheduler and delayed load
//! reports.
class PolicyRun
{
public:
    explicit PolicyRun(PolicyRunOptions options);
    ~PolicyRun();
    PolicyRun(const PolicyRun &) = delete;
    PolicyRun &operator=(const PolicyRun &) = delete;

    PolicyRunResult run();

private:
    struct Program;

    void schedule(TimePoint time, std::function<void()> action);
    void scheduleNextArrival();
    void startTurn(const std::shared_ptr<Program> &program);
    void submit(const std::shared_ptr<Program> &program);
    void place();
    void send(const PlacementDecision &decision);
    void wakeEngine(std::size_t index);
    void runEngine(std::size_t index);
    void finishTurn(const std::shared_ptr<Program> &program, const standin::EngineCall &call, std::size_t engine);
    void drop(std::uint64_t callId);
    void refreshReplicas();

    PolicyRunOptions options_;
    cli::LoadProfile profile_;
    std::mt19937_64 random_;
    TimePoint start_ {std::chrono::hours(1)};
    TimePoint now_ = start_;
    std::multimap<TimePoint, std::function<void()>> events_;
    std::vector<std::unique_ptr<standin::EngineModel>> engines_;
    std::vector<TimePoint> wakeTimes_;
    std::vector<std::map<std::string, std::shared_ptr<Program>>> inFlight_;
    std::unique_ptr<CallScheduler> scheduler_;
    std::map<std::uint64_t, std::shared_ptr<Program>> waiting_;
    std::uint64_t nextCall_ = 1;
    std::uint64_t nextProgram_ = 1;
    std::uint64_t finishedPrograms_ = 0;
    double slotsInUseSum_ = 0;
    double slotsSum_ = 0;
    PolicyRunResult result_;
};

} // namespace cardamompost::bench

#endif // CARDAMOMPOST_BENCHMARKS_CP_POLICY_RUN_HPP_INCLUDED
