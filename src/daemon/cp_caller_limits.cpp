#include "cp_caller_limits.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <algorithm>
#include <cmath>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

// Burst size, in seconds of the caller's rate.
constexpr double burstSeconds = 0.2;
// Tokens requested at a time, in seconds of the rate: larger requests need fewer messages but leave more tokens unused.
constexpr double requestSeconds = 0.05;
// Unused tokens expire; the grantor counts them as spent when it grants them.
constexpr Milliseconds allowanceLifetime {1000};
constexpr Milliseconds grantTimeout {500};
constexpr Milliseconds retryDelay {50};
// Longer than a partition takeover, so that calls are not refused while the grantor fails over.
constexpr Milliseconds admitTimeout {3000};
// Calls that would be admitted within this time wait instead of being refused.
constexpr Milliseconds maxLocalWait {100};

double burstFor(double perSecond)
{
    return std::max(1.0, perSecond * burstSeconds);
}

} // namespace

LimitGrantor::LimitGrantor(ControlReplica &replica, PartitionTable &table)
    : replica_(replica)
    , table_(table)
{
}

PartitionId LimitGrantor::partitionOf(const std::string &caller) const
{
    return table_.partitionOf("caller " + caller);
}

Result<LimitReply> LimitGrantor::grant(const LimitRequest &request)
{
    const auto view = replica_.view();
    const Caller *caller = view->configuration.findCaller(request.caller);
    if (caller == nullptr) {
        return makeError(ErrorKind::NotFound, "the caller is not declared");
    }
    const Result<Epoch> epoch = table_.withSlot(
        partitionOf(request.caller), [](PartitionSlot &slot) -> Result<Epoch> { return slot.writer->epoch(); });
    if (!epoch) {
        return epoch.error();
    }
    const TimePoint now = std::chrono::steady_clock::now();
    const double rate = caller->callsPerSecond;
    const std::lock_guard lock(mutex_);
    auto entry = buckets_.find(request.caller);
    if (entry == buckets_.end() || entry->second.epoch != epoch.value()) {
        TokenBucket empty(rate, 0.0, now);
        entry = buckets_.insert_or_assign(request.caller, CallerBucket {empty, epoch.value()}).first;
    }
    TokenBucket &bucket = entry->second.bucket;
    bucket.setRate(rate, burstFor(rate), now);
    LimitReply reply;
    while (reply.granted < request.wanted && bucket.tryTake(1.0, now)) {
        ++reply.granted;
    }
    reply.retryAfterMs = static_cast<std::uint32_t>(bucket.timeUntil(1.0, now).count());
    return reply;
}

CallerAdmission::CallerAdmission(Parts parts)
    : parts_(parts)
{
}

Error CallerAdmission::overLimitError(const std::string &caller, std::string text, Milliseconds retryAfter)
{
    parts_.metrics.counter("cardamompost_limited_requests_total", {{"caller", caller}}).add();
    Error error = makeError(ErrorKind::OverLimit, std::move(text));
    error.outcome = Outcome::NotRun;
    error.retryAfter = std::max(Milliseconds(10), retryAfter);
    return error;
}

bool CallerAdmission::tryTakeToken(const std::string &caller, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    Allowance &allowance = allowances_[caller];
    if (now > allowance.expires) {
        allowance.tokens = 0;
    }
    if (allowance.tokens < 1.0) {
        return false;
    }
    allowance.tokens -= 1.0;
    return true;
}

asio::awaitable<Result<LimitReply>> CallerAdmission::requestTokens(LimitRequest request)
{
    const auto view = parts_.replica.view();
    const VmName owner = view->state.partitions()[parts_.grantor.partitionOf(request.caller)].owner;
    if (owner == parts_.settings.vm) {
        co_return parts_.grantor.grant(request);
    }
    const auto client = parts_.hub.client(owner);
    if (!client) {
        co_return makeError(ErrorKind::NotOwner, "the partition of the caller's rate limit has no reachable owner");
    }
    FrameBody body = std::move(request);
    Result<FrameBody> reply = co_await client->call(std::move(body), grantTimeout);
    if (!reply) {
        co_return reply.error();
    }
    if (const auto *granted = std::get_if<LimitReply>(&reply.value())) {
        co_return *granted;
    }
    co_return makeError(ErrorKind::Internal, "unexpected reply to a rate limit request");
}

asio::awaitable<Result<void>> CallerAdmission::admit(std::string caller)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + admitTimeout;
    const auto view = parts_.replica.view();
    const Caller *declared = view->configuration.findCaller(caller);
    if (declared == nullptr) {
        co_return makeError(ErrorKind::Forbidden, "the caller is no longer declared");
    }
    {
        const std::lock_guard lock(mutex_);
        Allowance &allowance = allowances_[caller];
        if (allowance.active >= declared->concurrentCalls) {
            co_return overLimitError(caller, "the caller has too many concurrent calls on this VM", Milliseconds(500));
        }
        ++allowance.active;
    }
    const double wanted = std::max(1.0, std::ceil(declared->callsPerSecond * requestSeconds));
    Milliseconds retryAfter {1000};
    while (!parts_.shutdown.isGiven() && std::chrono::steady_clock::now() < deadline) {
        if (tryTakeToken(caller, std::chrono::steady_clock::now())) {
            co_return boost::outcome_v2::success();
        }
        LimitRequest request {caller, static_cast<std::uint32_t>(wanted)};
        const Result<LimitReply> reply = co_await requestTokens(std::move(request));
        if (reply && reply.value().granted > 0) {
            const std::lock_guard lock(mutex_);
            Allowance &allowance = allowances_[caller];
            allowance.tokens = (std::chrono::steady_clock::now() > allowance.expires ? 0.0 : allowance.tokens)
                + reply.value().granted;
            allowance.expires = std::chrono::steady_clock::now() + allowanceLifetime;
            continue;
        }
        if (reply) {
            retryAfter = Milliseconds(reply.value().retryAfterMs);
        }
        if (reply && retryAfter > maxLocalWait) {
            break;
        }
        co_await sleepFor(reply ? std::max(Milliseconds(1), retryAfter) : retryDelay);
    }
    release(caller);
    co_return overLimitError(caller, "the caller has exceeded its rate limit", retryAfter);
}

void CallerAdmission::release(const std::string &caller)
{
    const std::lock_guard lock(mutex_);
    --allowances_[caller].active;
}

} // namespace cardamompost
