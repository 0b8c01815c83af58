#include "support/cp_limiter_simulation.hpp"
#include "support/cp_raft_cluster.hpp"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr Milliseconds runTime {25'000};
constexpr Milliseconds stepTime {10};
constexpr double usualLoad = 4;

//! Members of a consensus group that each admit an account's requests while they believe to lead, under late messages,
//! slow disks, pauses, cuts and hand-overs. Usage is reported in the group's log.
class LimiterOverLeaders
{
public:
    LimiterOverLeaders(std::uint64_t seed, bool needsLease)
        : cluster_({"vm-1", "vm-2", "vm-3"}, seed)
        , needsLease_(needsLease)
        , limit_ {static_cast<double>(20 + seed * 37 % 300), static_cast<double>(seed * 53 % 300)}
        , windowCheck_(limit_, LimiterSimulation::tolerance())
    {
        if (seed % 3 != 0) {
            constexpr Milliseconds longestWrite {300};
            cluster_.setLongestWrite(longestWrite);
        }
        if (seed % 2 == 0) {
            constexpr std::int64_t longDelayMs = 800;
            cluster_.network.maxDelayMs = longDelayMs;
        }
    }
    //! \returns the largest excess over the limit in any window
    double run()
    {
        const TimePoint end = cluster_.network.now + runTime;
        while (cluster_.network.now < end) {
            injectFault();
            for (auto &[name, member] : cluster_.members) {
                if (member->node && cluster_.network.now >= member->pausedUntil) {
                    serve(*member, admitters_[name]);
                }
            }
            cluster_.run(stepTime);
        }
        return windowCheck_.worstExcess();
    }
    [[nodiscard]] int admitted() const
    {
        return admitted_;
    }
    [[nodiscard]] int takeovers() const
    {
        return takeovers_;
    }

private:
    //! The limiter of one member, for its current term as the leader.
    struct Admitter {
        RequestLimiter limiter;
        Term term = 0;
        std::uint64_t process = 0;
        bool leads = false;
        std::vector<AccountUsage> report;
        std::string proposed;
    };

    [[nodiscard]] std::int64_t nowMs() const
    {
        return std::chrono::duration_cast<Milliseconds>(cluster_.network.now.time_since_epoch()).count();
    }
    void injectFault()
    {
        FakeNetwork &network = cluster_.network;
        RaftCluster::Member *leader = cluster_.leader();
        if (leader == nullptr) {
            return;
        }
        if (network.chance(0.004)) {
            for (const auto &[name, member] : cluster_.members) {
                network.cuts.insert({leader->name, name});
                network.cuts.insert({name, leader->name});
            }
        } else if (network.chance(0.01)) {
            network.cuts.clear();
        } else if (network.chance(0.003)) {
            leader->pausedUntil = network.now + Milliseconds(network.random() % 1500);
        } else if (network.chance(0.003) && network.now >= leader->pausedUntil) {
            leader->node->transferLeadership(cluster_.members.begin()->first);
            cluster_.drive(*leader);
        }
    }
    void serve(RaftCluster::Member &member, Admitter &admitter)
    {
        const bool leads = needsLease_ ? member.node->isEstablishedLeader() : member.node->role() == RaftRole::Leader;
        const bool isNew
            = !admitter.leads || admitter.term != member.node->term() || admitter.process != member.process;
        admitter.leads = leads;
        if (!leads) {
            return;
        }
        if (isNew) {
            takeOver(member, admitter);
        }
        reportUsage(member, admitter);
        const double perStep = limit_.perSecond * usualLoad * std::chrono::duration<double>(stepTime).count();
        for (int i = 0; i < static_cast<int>(perStep) + 1; ++i) {
            admitOne(member, admitter);
        }
    }
    void takeOver(const RaftCluster::Member &member, Admitter &admitter)
    {
        ++takeovers_;
        admitter = {RequestLimiter(LimiterSimulation::tolerance()), member.node->term(), member.process, true, {}, {}};
        Account account;
        account.name = "a";
        account.limit = limit_;
        const TimePoint now = cluster_.network.now;
        admitter.limiter.setLimits({account}, now);
        UsageLog usage;
        for (const std::string &command : member.applied) {
            std::istringstream text(command);
            std::int64_t atMs = 0;
            std::uint32_t requests = 0;
            text >> atMs >> requests;
            usage.add(atMs, {{"a", requests}});
        }
        admitter.limiter.restoreUsage(usage, nowMs(), now);
    }
    void reportUsage(RaftCluster::Member &member, Admitter &admitter)
    {
        const std::vector<std::string> &applied = member.applied;
        if (!admitter.report.empty() && std::find(applied.begin(), applied.end(), admitter.proposed) != applied.end()) {
            admitter.limiter.endReport(admitter.report, true);
            admitter.report.clear();
        }
        if (!admitter.report.empty() || !admitter.limiter.isReportDue(cluster_.network.now)) {
            return;
        }
        admitter.report = admitter.limiter.takeReport(cluster_.network.now);
        if (!admitter.report.empty()) {
            admitter.proposed = fmt::format("{} {} {}", nowMs(), admitter.report.front().requests, ++reports_);
            cluster_.propose(member, admitter.proposed);
        }
    }
    void admitOne(const RaftCluster::Member &member, Admitter &admitter)
    {
        const bool mayAdmit = !needsLease_
            || (member.node->hasLease(cluster_.localTime(member)) && !admitter.limiter.mustWaitForReport("a"));
        if (!mayAdmit) {
            return;
        }
        const TimePoint now = cluster_.network.now;
        const RequestLimiter::Decision decision
            = admitter.limiter.admit({"a", std::to_string(++requests_), false}, now);
        if (decision.isAdmitted) {
            ++admitted_;
            windowCheck_.record(now + decision.delay);
        }
    }

    RaftCluster cluster_;
    bool needsLease_;
    RequestLimit limit_;
    ExactWindowCheck windowCheck_;
    std::map<VmName, Admitter> admitters_;
    int reports_ = 0;
    int requests_ = 0;
    int admitted_ = 0;
    int takeovers_ = 0;
};

constexpr std::uint64_t seedsInCi = 20;

} // namespace

BOOST_AUTO_TEST_SUITE(limiter_over_leaders)

// Guards against an account that exceeds its limit while two members believe to lead, or by a change of the leader.
BOOST_AUTO_TEST_CASE(no_window_exceeds_the_limit_over_changing_leaders)
{
    int admitted = 0;
    int takeovers = 0;
    for (std::uint64_t seed = 1; seed <= seedsInCi; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            LimiterOverLeaders simulation(seed, true);
            BOOST_TEST(simulation.run() <= 0);
            admitted += simulation.admitted();
            takeovers += simulation.takeovers();
        }
    }
    BOOST_TEST(admitted > 1000);
    BOOST_TEST(takeovers > 40);
}

BOOST_AUTO_TEST_CASE(members_that_admit_without_a_lease_are_noticed)
{
    int exceeded = 0;
    for (std::uint64_t seed = 1; seed <= seedsInCi; ++seed) {
        LimiterOverLeaders simulation(seed, false);
        exceeded += simulation.run() > 0 ? 1 : 0;
    }
    BOOST_TEST(exceeded > 0);
}

BOOST_AUTO_TEST_SUITE_END()
