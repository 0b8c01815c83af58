#include "cp_stream_version_record.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// A stream that can't be resumed is better for its caller than one that begins late.
constexpr Milliseconds maxDelay {300};

} // namespace

void StreamVersionRecord::propose(asio::io_context &io, LedgerClient &ledger, StreamVersion stream, TimePoint deadline)
{
    const bool isRecorded = recorded_.isKnown() && recorded_ == stream.version && !proposal_;
    const bool isProposed = proposal_ && proposal_->version == stream.version;
    const bool isFirst = !recorded_.isKnown() && !proposal_;
    if (isRecorded || isProposed || (isFirst && !stream.version.isKnown())) {
        return;
    }
    mustReplace_ = !isFirst;
    stream.attempt = ++attempts_;
    proposal_ = std::make_shared<Proposal>(io);
    proposal_->version = stream.version;
    proposal_->startedAt = std::chrono::steady_clock::now();
    proposal_->deadline = deadline;
    asio::co_spawn(io, record(ledger, std::move(stream), proposal_), asio::detached);
}

asio::awaitable<void> StreamVersionRecord::record(LedgerClient &ledger, StreamVersion stream,
                                                  std::shared_ptr<Proposal> proposal)
{
    proposal->isDurable = co_await ledger.recordStreamVersion(std::move(stream), proposal->deadline);
    proposal->hasEnded = true;
    proposal->ended.cancel();
}

void StreamVersionRecord::stopWaiting()
{
    if (proposal_) {
        proposal_->hasEnded = true;
        proposal_->ended.cancel();
    }
}

asio::awaitable<bool> StreamVersionRecord::wait()
{
    const std::shared_ptr<Proposal> proposal = proposal_;
    if (!proposal) {
        co_return true;
    }
    if (!mustReplace_) {
        proposal->ended.expires_at(std::min(proposal->deadline, proposal->startedAt + maxDelay));
    }
    if (!proposal->hasEnded) {
        co_await proposal->ended.async_wait(asTuple);
    }
    co_return proposal->isDurable || !mustReplace_;
}

} // namespace cardamompost
