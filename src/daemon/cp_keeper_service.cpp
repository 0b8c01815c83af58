#include "cp_keeper_service.hpp"

namespace cardamompost
{

namespace
{

Result<FrameBody> answer(JournalKeeper &keeper, const SealRequest &request, LogBatch &batch)
{
    return FrameBody(keeper.seal(request, batch));
}

Result<FrameBody> answer(JournalKeeper &keeper, const JournalAppend &request, LogBatch &batch)
{
    return FrameBody(keeper.append(request, batch));
}

Result<FrameBody> answer(JournalKeeper &keeper, const JournalRead &request, LogBatch & /*batch*/)
{
    BOOST_OUTCOME_TRY(JournalReadReply reply, keeper.read(request));
    return FrameBody(std::move(reply));
}

Result<FrameBody> answer(JournalKeeper &keeper, const JournalForget &request, LogBatch &batch)
{
    if (!keeper.forget(request, batch)) {
        return makeError(ErrorKind::NotOwner, "a higher epoch owns the partition");
    }
    return FrameBody(std::monostate {});
}

} // namespace

KeeperService::KeeperService(DiskThread &disk)
    : disk_(disk)
    , keeper_(disk.store())
    , isReady_(keeper_.isReady())
{
}

bool KeeperService::needsPromises()
{
    return !isReady_;
}

void KeeperService::markReplaced(LogBatch &batch)
{
    JournalKeeper::markUninitialized(batch);
    isReady_ = false;
}

void KeeperService::restorePromises(const std::vector<Epoch> &epochs)
{
    DiskThread::Job job;
    job.group = controlGroup;
    job.prepare = [this, epochs](LogStore & /*store*/, LogBatch &batch) {
        if (!keeper_.isReady()) {
            JournalKeeper::restorePromises(epochs, batch);
        }
    };
    job.finish = [this](const Result<void> &written) { isReady_ = written.has_value(); };
    disk_.post(std::move(job));
}

template<typename Request>
void KeeperService::post(Request request, Done done)
{
    auto reply = std::make_shared<Result<FrameBody>>(FrameBody(std::monostate {}));
    DiskThread::Job job;
    job.group = journalGroup(request.partition);
    job.prepare = [this, reply, request = std::move(request)](LogStore & /*store*/, LogBatch &batch) {
        *reply = answer(keeper_, request, batch);
    };
    // Replies only after the sync, so that an acknowledged write is durable.
    job.finish = [reply, done = std::move(done)](const Result<void> &written) {
        if (written) {
            done(std::move(*reply));
        } else {
            done(written.error());
        }
    };
    disk_.post(std::move(job));
}

void KeeperService::handle(FrameBody request, Done done)
{
    if (!isReady_) {
        done(makeError(ErrorKind::NotReady,
                       "the keeper's disk was replaced and its epoch promises are not restored yet"));
        return;
    }
    if (!disk_.isHealthy()) {
        done(makeError(ErrorKind::StorageFailed, "the keeper's disk has failed"));
        return;
    }
    if (auto *seal = std::get_if<SealRequest>(&request)) {
        post(std::move(*seal), std::move(done));
    } else if (auto *append = std::get_if<JournalAppend>(&request)) {
        post(std::move(*append), std::move(done));
    } else if (auto *read = std::get_if<JournalRead>(&request)) {
        post(*read, std::move(done));
    } else if (auto *forget = std::get_if<JournalForget>(&request)) {
        post(std::move(*forget), std::move(done));
    } else {
        done(makeError(ErrorKind::InvalidRequest, "not a journal request"));
    }
}

} // namespace cardamompost
