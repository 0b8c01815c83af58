#include "daemon/cp_router.hpp"

#include "support/cp_free_port.hpp"

#include <cardamompost/net/cp_peer_server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/strand.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <set>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

//! The router of an entry, and an owner played by the test. The owner's connection is lost after its first request.
class RoutedRequests
{
public:
    explicit RoutedRequests(bool sendsFirstChunk)
        : sendsFirstChunk_(sendsFirstChunk)
        , ownerAddress_ {"127.0.0.1", freePort()}
        , owner_(io_.get_executor(), nullptr, traffic_,
                 [this](FrameBody body, Milliseconds, const std::shared_ptr<PeerReplier> &replier) {
                     if (const auto *request = std::get_if<ApiRequest>(&body)) {
                         onRequest(*request, *replier);
                     }
                 })
        , hub_(io_.get_executor(), nullptr, traffic_, {})
        , control_(io_.get_executor(), {settings_, replica_, hub_, log_, nullptr}, [] { return 0U; })
        , table_(io_.get_executor(), {settings_, replica_, control_, hub_, nullptr, log_, metrics_})
        , dispatcher_(io_.get_executor(), {settings_, replica_, http_, log_, metrics_})
        , engines_(http_)
        , runner_(io_.get_executor(),
                  {settings_, replica_, control_, table_, dispatcher_, engines_, http_, log_, metrics_})
        , service_(io_.get_executor(), {replica_, table_, runner_, dispatcher_, log_})
        , router_({settings_, replica_, hub_, service_, table_, shutdown_, log_, metrics_})
    {
        BOOST_REQUIRE(owner_.listen(ownerAddress_).has_value());
        VmRecord vm;
        vm.name = "vm-2";
        vm.bootId = 1;
        vm.peer = ownerAddress_;
        const std::vector<PartitionMove> moves {{0, 0, "vm-2", {"vm-2"}}};
        replica_.apply(
            {{1, 1, EntryKind::Command, encodeCommand(vm)}, {2, 1, EntryKind::Command, encodeCommand(moves)}});
        hub_.update(*replica_.view());
        thread_ = std::thread([this] { io_.run(); });
    }
    ~RoutedRequests()
    {
        io_.stop();
        thread_.join();
    }

    //! \returns the status of the answer
    unsigned forward(ApiRequest request)
    {
        request.program = makeProgramId();
        std::promise<unsigned> status;
        Router::Deliver deliver = [&status](ApiChunk chunk) -> boost::asio::awaitable<bool> {
            if (chunk.isLast) {
                status.set_value(chunk.status);
            }
            co_return true;
        };
        auto future = status.get_future();
        boost::asio::co_spawn(boost::asio::make_strand(io_), router_.forward(std::move(request), std::move(deliver)),
                              boost::asio::detached);
        return future.get();
    }

    std::vector<ApiRequest> received;

private:
    void onRequest(const ApiRequest &request, PeerReplier &replier)
    {
        received.push_back(request);
        if (received.size() > 1) {
            replier.reply(ApiChunk {200, Outcome::Ran, 0, "answer", true});
            return;
        }
        if (sendsFirstChunk_) {
            replier.reply(ApiChunk {200, {}, 1, "ans", false}, false);
        }
        const auto client = hub_.client("vm-2");
        lossTimer_.expires_after(Milliseconds(50));
        lossTimer_.async_wait([client](const boost::system::error_code &) { client->resetConnection(); });
    }

    bool sendsFirstChunk_;
    boost::asio::io_context io_ {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ {io_.get_executor()};
    boost::asio::steady_timer lossTimer_ {io_};
    EventLog log_ {"vm-1", "", "error"};
    MetricRegistry metrics_;
    PeerTraffic traffic_;
    Address ownerAddress_;
    Settings settings_ = entrySettings();
    PeerServer owner_;
    HttpClient http_;
    ControlReplica replica_ {1};
    PeerHub hub_;
    ControlClient control_;
    PartitionTable table_;
    Dispatcher dispatcher_;
    EngineClient engines_;
    CallRunner runner_;
    CallService service_;
    ShutdownNotice shutdown_;
    Router router_;
    std::thread thread_;

    static Settings entrySettings()
    {
        Settings settings;
        settings.vm = "vm-1";
        settings.partitions = 1;
        return settings;
    }
};

ApiRequest chatRequest(ApiOperation operation)
{
    ApiRequest request;
    request.operation = operation;
    request.caller = "caller";
    request.format = ApiFormat::ChatCompletion;
    request.body = "{}";
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router)

// Guards against calls without an idempotency key that run twice, since the owner cannot recognize the second copy.
BOOST_AUTO_TEST_CASE(a_call_that_is_sent_again_after_a_lost_connection_is_recognized_by_its_key)
{
    for (const ApiOperation operation : {ApiOperation::SubmitCall, ApiOperation::SingleCall}) {
        for (const bool sendsFirstChunk : {false, true}) {
            RoutedRequests routed(sendsFirstChunk);
            BOOST_TEST(routed.forward(chatRequest(operation)) == 200U);
            BOOST_REQUIRE(routed.received.size() == 2U);
            BOOST_TEST(!routed.received.front().idempotencyKey.empty());
            BOOST_TEST(routed.received.front().isKeyGenerated);
            BOOST_TEST(routed.received.front().idempotencyKey == routed.received.back().idempotencyKey);
        }
    }
}

// Guards against a generated key that replaces the means by which the caller's own retries are recognized.
BOOST_AUTO_TEST_CASE(a_callers_own_key_or_sequence_number_is_forwarded_unchanged)
{
    ApiRequest keyed = chatRequest(ApiOperation::SubmitCall);
    keyed.idempotencyKey = "key";
    ApiRequest numbered = chatRequest(ApiOperation::SubmitCall);
    numbered.sequence = 7;
    for (const ApiRequest &request : {keyed, numbered}) {
        RoutedRequests routed(false);
        BOOST_TEST(routed.forward(request) == 200U);
        for (const ApiRequest &received : routed.received) {
            BOOST_TEST(received.idempotencyKey == request.idempotencyKey);
            BOOST_TEST(!received.isKeyGenerated);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
