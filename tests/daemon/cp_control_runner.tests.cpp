#include "daemon/cp_control_runner.hpp"

#include "support/cp_fault_injecting_files.hpp"
#include "support/cp_free_port.hpp"
#include "support/cp_memory_files.hpp"

#include <cardamompost/net/cp_peer_server.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/test/unit_test.hpp>

#include <future>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr Term leaderTerm = 1;
// Long compared with the time in which a heartbeat is answered.
constexpr int slowSyncMs = 3000;

Address localAddress()
{
    return {"127.0.0.1", freePort()};
}

//! A keeper that follows a leader played by the test, with a slow disk on request.
class FollowingKeeper
{
public:
    FollowingKeeper()
        : hub_(io_.get_executor(), nullptr, traffic_, keepers_)
        , leaderServer_(io_.get_executor(), nullptr, traffic_,
                        [this](FrameBody body, Milliseconds, const std::shared_ptr<PeerReplier> &) { record(body); })
        , disk_(std::make_unique<FaultInjectingFiles>(std::make_unique<MemoryFiles>(), faults), log_, metrics_)
        , replica_(1)
    {
        settings_.vm = "vm-2";
        settings_.keepers = keepers_;
        BOOST_REQUIRE(leaderServer_.listen(keepers_.front().address).has_value());
        BOOST_REQUIRE(disk_.open().has_value());
        runner_ = std::make_shared<ControlRunner>(
            io_.get_executor(), ControlRunner::Parts {settings_, replica_, disk_, hub_, log_, metrics_});
        BOOST_REQUIRE(runner_->load().has_value());
        disk_.start();
        runner_->start();
        thread_ = std::thread([this] { io_.run(); });
    }
    ~FollowingKeeper()
    {
        runner_->stop();
        disk_.stop();
        io_.stop();
        thread_.join();
    }

    //! \param last  index of the entry before the ones sent
    void receiveAppend(LogIndex last, std::vector<LogEntry> entries = {})
    {
        RaftMessage append;
        append.type = RaftMessageType::Append;
        append.from = "vm-1";
        append.to = "vm-2";
        append.term = leaderTerm;
        append.index = last;
        append.indexTerm = last == 0 ? 0 : leaderTerm;
        append.entries = std::move(entries);
        runner_->onRaft(std::move(append));
    }
    //! Number of the granted replies so far.
    std::size_t replies()
    {
        const std::lock_guard lock(mutex_);
        return acknowledged_.size();
    }
    LogIndex acknowledgedBy(std::size_t reply)
    {
        const std::lock_guard lock(mutex_);
        return acknowledged_.at(reply);
    }
    //! Delivers heartbeats until the keeper has sent this number of replies.
    void sendHeartbeatsUntil(std::size_t count, LogIndex last)
    {
        constexpr int maxHeartbeats = 1000;
        for (int i = 0; i < maxHeartbeats && replies() < count; ++i) {
            receiveAppend(last);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        BOOST_REQUIRE(replies() >= count);
    }

    FaultInjectingFiles::SharedFaults faults = std::make_shared<DiskFaults>();

private:
    void record(const FrameBody &body)
    {
        const auto *message = std::get_if<RaftMessage>(&body);
        if (message != nullptr && message->type == RaftMessageType::AppendReply && message->granted) {
            const std::lock_guard lock(mutex_);
            acknowledged_.push_back(message->index);
        }
    }

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ {io_.get_executor()};
    EventLog log_ {"vm-2", "", "error"};
    MetricRegistry metrics_;
    PeerTraffic traffic_;
    Settings settings_;
    std::vector<KeeperPeer> keepers_ {
        {"vm-1", localAddress(), "d1"}, {"vm-2", localAddress(), "d2"}, {"vm-3", localAddress(), "d3"}};
    PeerHub hub_;
    PeerServer leaderServer_;
    DiskThread disk_;
    ControlReplica replica_;
    std::shared_ptr<ControlRunner> runner_;
    std::mutex mutex_;
    std::vector<LogIndex> acknowledged_;
    std::thread thread_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_runner)

// Guards against a leader of the control log that steps down because followers do not answer while they write.
BOOST_AUTO_TEST_CASE(a_keeper_answers_heartbeats_while_it_writes)
{
    FollowingKeeper keeper;
    keeper.sendHeartbeatsUntil(1, 0);
    keeper.faults->largestSyncBytes = 0;
    keeper.faults->syncDelayMs = slowSyncMs;
    keeper.receiveAppend(0, {{1, leaderTerm, EntryKind::Barrier, {}}});
    while (keeper.faults->largestSyncBytes == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const std::size_t before = keeper.replies();
    keeper.sendHeartbeatsUntil(before + 1, 1);
    BOOST_TEST(keeper.acknowledgedBy(before) == 0U);
    keeper.faults->syncDelayMs = 0;
}

BOOST_AUTO_TEST_SUITE_END()
