#ifndef CARDAMOMPOST_CP_CALL_SERVICE_HPP_INCLUDED
#define CARDAMOMPOST_CP_CALL_SERVICE_HPP_INCLUDED

#include "cp_answer_writer.hpp"
#include "cp_call_runner.hpp"

namespace cardamompost
{

//! Handles API requests for the programs that this VM owns. Thread-safe.
class CallService
{
public:
    struct Parts {
        ControlReplica &replica;
        PartitionTable &table;
        CallRunner &runner;
        Dispatcher &dispatcher;
        EventLog &log;
    };
    //! Receives the chunks of a response in order, on any thread. The error NotOwner means that the request has to be
    //! forwarded to the owner.
    using Sink = std::function<void(Result<ApiChunk>)>;

    CallService(boost::asio::any_io_executor executor, Parts parts);

    void handle(ApiRequest request, Sink sink);
    //! Starts the periodic sweep, which ends idle programs and removes those that ended long ago.
    void start();
    void stop();

private:
    //! An existing or newly accepted call.
    struct FoundCall {
        AnswerContext context;
        Epoch epoch = 0;
        //! Journal index that has to be committed before the call is answered; 0 if there is nothing to wait for.
        LogIndex index = 0;
        bool isNew = false;
        std::shared_ptr<LiveCall> live;
        std::optional<CallResult> result;
    };
    //! An answer that is sent once its journal index is committed.
    struct PendingAnswer {
        Epoch epoch = 0;
        LogIndex index = 0;
        boost::json::object body;
    };

    boost::asio::awaitable<void> run(ApiRequest request, Sink sink);
    boost::asio::awaitable<void> createProgram(ApiRequest request, Sink sink);
    boost::asio::awaitable<void> endProgram(ApiRequest request, Sink sink);
    boost::asio::awaitable<void> submitCall(ApiRequest request, Sink sink);
    boost::asio::awaitable<void> commitRefusal(ApiRequest request, Error error, Sink sink);
    boost::asio::awaitable<void> readProgram(ApiRequest request, Sink sink);
    //! Reports whether a program is unknown or has ended, so that engines can release its cache entries.
    void checkHold(const ApiRequest &request, const Sink &sink);
    void fetchCall(const ApiRequest &request, const Sink &sink);
    void watch(const ApiRequest &request, const FoundCall &found, const Sink &sink);

    Result<PendingAnswer> createLocked(PartitionSlot &slot, const ApiRequest &request,
                                       const ProgramRequest &programRequest);
    Result<ProgramCreated> checkCreation(PartitionSlot &slot, const ApiRequest &request,
                                         const ProgramRequest &programRequest) const;
    Result<FoundCall> submitLocked(PartitionSlot &slot, const ApiRequest &request, const CallRequest &call);
    Result<FoundCall> submitSingleLocked(PartitionSlot &slot, const ApiRequest &request, const CallRequest &call,
                                         const Deployment &deployment);
    Result<FoundCall> acceptLocked(PartitionSlot &slot, OwnedProgram &owned, const ApiRequest &request,
                                   CallRequest call);
    Result<std::optional<FoundCall>> findExisting(PartitionSlot &slot, OwnedProgram &owned, const ApiRequest &request,
                                                  const CallRequest &call) const;
    Result<void> checkNew(const OwnedProgram &owned, const CallRequest &call) const;
    FoundCall foundCall(PartitionSlot &slot, OwnedProgram &owned, const ApiRequest &request,
                        std::uint32_t sequence) const;
    Result<OwnedProgram *> findOwnedProgram(PartitionSlot &slot, const ApiRequest &request) const;

    boost::asio::awaitable<void> sweep();
    void sweepPartition(PartitionId partition);

    boost::asio::any_io_executor executor_;
    Parts parts_;
    std::atomic<bool> isStopped_ {false};
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_CALL_SERVICE_HPP_INCLUDED
