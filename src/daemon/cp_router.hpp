#ifndef CARDAMOMPOST_CP_ROUTER_HPP_INCLUDED
#define CARDAMOMPOST_CP_ROUTER_HPP_INCLUDED

#include "cp_call_service.hpp"
#include "cp_shutdown_notice.hpp"

namespace cardamompost
{

//! Forwards callers' requests to the owners of their programs, in at most one hop, and relays the answers. Retries
//! with the new owner when ownership changes or an owner fails. Thread-safe.
class Router
{
public:
    struct Parts {
        const Settings &settings;
        ControlReplica &replica;
        PeerHub &hub;
        CallService &service;
        PartitionTable &table;
        ShutdownNotice &shutdown;
        EventLog &log;
        MetricRegistry &metrics;
    };
    //! Receives a chunk of the answer; one without a body is a keep-alive. Returns false if the caller has
    //! disconnected.
    using Deliver = std::function<boost::asio::awaitable<bool>(ApiChunk chunk)>;

    explicit Router(Parts parts);

    //! Runs on the caller's strand until the last chunk was delivered or the caller has disconnected. Delivers an
    //! error when the process is about to end.
    boost::asio::awaitable<void> forward(ApiRequest request, Deliver deliver);

private:
    enum class TryResult {
        Done,
        //! The owner has to be looked up again.
        Retry,
    };

    boost::asio::awaitable<TryResult> tryForward(ApiRequest &request, const Deliver &deliver,
                                                 bool &mayHaveReachedOwner);

    Parts parts_;
    Counter &forwarded_;
    Counter &retries_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ROUTER_HPP_INCLUDED
