#include "cp_quarantine_check.hpp"

#include <cardamompost/net/cp_await.hpp>
#include <cardamompost/observe/cp_event_log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned statusBadRequest = 400;
// A refused connection is answered within a round trip.
constexpr Milliseconds probeTimeout {150};
// Longest wait for an answer of the ledger's leader; leaves time for an election.
constexpr Milliseconds leaderTimeout {1750};
// A report is sent until a leader has recorded it, also after the caller has its answer.
constexpr Milliseconds reportTimeout {10'000};
constexpr Milliseconds busyPause {20};
// Longest wait for other suspects.
constexpr Milliseconds maxBusyTime {1000};
constexpr Milliseconds reportedRetention {5000};
// A server that ends this long after it lost a run may have ended under it.
constexpr Milliseconds maxTimeToEnd {1000};
// The list names a server that has crashed for some seconds.
constexpr Milliseconds lostRunRetention {10'000};
constexpr std::size_t maxLostRuns = 1024;
// Servers of one failure domain that one change of the list drops in an outage.
constexpr std::ptrdiff_t outageServers = 3;

TimePoint timeNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

QuarantineCheck::QuarantineCheck(Parts parts)
    : parts_(parts)
    , refused_(parts.metrics.counter("cardamompost_requests_refused_total", {{"reason", "quarantined"}}))
    , waits_(parts.metrics.counter("cardamompost_suspect_waits_total"))
{
}

bool QuarantineCheck::hasSuspects() const
{
    return !reported_.empty() || (suspects_ != nullptr && suspects_->size() != 0);
}

bool QuarantineCheck::isSuspect(RequestFingerprint request) const
{
    return reported_.contains(request) || (suspects_ != nullptr && suspects_->contains(request));
}

bool QuarantineCheck::counts(const BackendEnd &end) const
{
    return isSuspect(end.request) || !answers_.contains(end.request, end.softwareVersion, timeNow());
}

BackendEnd QuarantineCheck::endOf(const ForwardedRequest &request, const BackendServer &server)
{
    return {request.fingerprint(), server.id, server.incarnation, server.softwareVersion};
}

SuspectRequest QuarantineCheck::makeRequest(SuspectAction action, const ForwardedRequest &request,
                                            const BackendServer &server) const
{
    const auto timeLeft = std::chrono::duration_cast<Milliseconds>(request.deadline - timeNow());
    return {action, request.suspectRun, request.metadata.id, endOf(request, server),
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, timeLeft.count()))};
}

LocalResponse QuarantineCheck::quarantinedResponse()
{
    refused_.add();
    return {statusBadRequest, "backend servers have ended while they ran this request", Milliseconds(0)};
}

asio::awaitable<QuarantineVerdict> QuarantineCheck::admit(ForwardedRequest &request, const BackendState &backend)
{
    removeExpired();
    if (!hasSuspects() || !isSuspect(request.fingerprint())) {
        co_return QuarantineVerdict::Send;
    }
    const BackendServer server = backend.server();
    request.suspectRun = randomIdentity() | 1U;
    const TimePoint deadline = std::min(request.deadline, timeNow() + leaderTimeout);
    const std::optional<SuspectReply> reply
        = co_await parts_.ledger.requestSuspect(makeRequest(SuspectAction::Start, request, server), deadline);
    if (reply && reply->status == SuspectStatus::Allowed) {
        co_return QuarantineVerdict::Send;
    }
    request.suspectRun = 0;
    if (!reply) {
        request.detail = "can't find out whether servers have ended under the request: the ledger does not respond";
        co_return QuarantineVerdict::Unavailable;
    }
    if (reply->status == SuspectStatus::Quarantined) {
        request.excludedVersions.insert(server.softwareVersion);
        request.detail = fmt::format("{} servers have ended under the request", reply->ends);
        co_return QuarantineVerdict::ChooseAgain;
    }
    request.busyTime += busyPause;
    if (request.busyTime > maxBusyTime) {
        request.detail = "servers have ended under the request, and others like it are running";
        co_return QuarantineVerdict::Unavailable;
    }
    waits_.add();
    co_await sleepFor(busyPause);
    co_return QuarantineVerdict::ChooseAgain;
}

void QuarantineCheck::release(ForwardedRequest &request, const BackendState &backend)
{
    if (request.suspectRun != 0) {
        notify(makeRequest(SuspectAction::Release, request, backend.server()));
        request.suspectRun = 0;
    }
}

asio::awaitable<void> QuarantineCheck::afterAttempt(ForwardedRequest &request, std::shared_ptr<BackendState> backend,
                                                    ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::Completed:
        answers_.record(request.fingerprint(), backend->server().softwareVersion, timeNow());
        if (hasSuspects() && isSuspect(request.fingerprint())) {
            notify(makeRequest(SuspectAction::Success, request, backend->server()));
            reported_.erase(request.fingerprint());
            request.suspectRun = 0;
        }
        break;
    case ExchangeEnd::NoResponse:
    case ExchangeEnd::Interrupted:
        co_await onLostRun(request, backend);
        break;
    case ExchangeEnd::NotExecuted:
    case ExchangeEnd::FalsePromise:
    case ExchangeEnd::NotGranted:
    case ExchangeEnd::NotDurable:
        break;
    case ExchangeEnd::ResponseOverdue:
    case ExchangeEnd::TimedOut:
    case ExchangeEnd::ShuttingDown:
    case ExchangeEnd::CallerDisconnected:
        rememberLostRun(request, backend->server());
        break;
    }
    release(request, *backend);
}

asio::awaitable<void> QuarantineCheck::onLostRun(ForwardedRequest &request, std::shared_ptr<BackendState> backend)
{
    const BackendServer server = backend->server();
    if (!isEndRecorded(server)) {
        // A server that was to leave ends whatever it runs.
        if (server.isLeaving) {
            co_return;
        }
        const Reachability reachability = co_await parts_.pool.probe(backend, probeTimeout);
        if (reachability != Reachability::Refused) {
            rememberLostRun(request, server);
            co_return;
        }
    }
    recordEnd(server, "refused");
    reportEarlierRuns(server, maxTimeToEnd);
    if (counts(endOf(request, server))) {
        co_await report(request, server);
    }
}

asio::awaitable<void> QuarantineCheck::report(ForwardedRequest &request, const BackendServer &server)
{
    struct Report {
        explicit Report(asio::io_context &io)
            : ended(io)
        {
        }

        asio::steady_timer ended;
        bool hasEnded = false;
        std::optional<SuspectReply> reply;
    };
    reported_[request.fingerprint()] = timeNow() + reportedRetention;
    const auto pending = std::make_shared<Report>(parts_.io);
    auto send
        = [](LedgerClient &ledger, SuspectRequest message, std::shared_ptr<Report> shared) -> asio::awaitable<void> {
        shared->reply = co_await ledger.requestSuspect(std::move(message), timeNow() + reportTimeout);
        shared->hasEnded = true;
        shared->ended.cancel();
    };
    pending->ended.expires_after(leaderTimeout);
    asio::co_spawn(parts_.io, send(parts_.ledger, makeRequest(SuspectAction::End, request, server), pending),
                   asio::detached);
    request.suspectRun = 0;
    if (!pending->hasEnded) {
        request.recordWait = {pending, &pending->ended};
        co_await pending->ended.async_wait(asTuple);
        request.recordWait.reset();
    }
    request.hasUnrecordedEnd = !pending->reply;
    if (pending->reply && pending->reply->status == SuspectStatus::Quarantined) {
        request.isQuarantined = true;
        request.detail = fmt::format("{} servers have ended under the request", pending->reply->ends);
    }
}

void QuarantineCheck::notify(SuspectRequest message)
{
    auto send = [](LedgerClient &ledger, SuspectRequest request) -> asio::awaitable<void> {
        co_await ledger.requestSuspect(std::move(request), timeNow() + reportTimeout);
    };
    asio::co_spawn(parts_.io, send(parts_.ledger, std::move(message)), asio::detached);
}

void QuarantineCheck::rememberLostRun(ForwardedRequest &request, const BackendServer &server)
{
    const std::uint64_t run = std::exchange(request.suspectRun, 0);
    const LostRun lost {run, endOf(request, server), request.metadata.id, timeNow()};
    if (isEndRecorded(server) && counts(lost.end)) {
        reportLostRun(lost);
        return;
    }
    lostRuns_.push_back(lost);
    if (lostRuns_.size() > maxLostRuns) {
        lostRuns_.pop_front();
    }
    if (run != 0) {
        // Until then the server may still end under the request.
        releaseLater({SuspectAction::Release, run, lost.requestId, lost.end, 0});
    }
}

void QuarantineCheck::reportLostRun(const LostRun &run)
{
    reported_[run.end.request] = timeNow() + reportedRetention;
    notify({SuspectAction::End, run.run, run.requestId, run.end, 0});
}

void QuarantineCheck::releaseLater(SuspectRequest message)
{
    auto timer = std::make_shared<asio::steady_timer>(parts_.io, maxTimeToEnd);
    timer->async_wait([this, timer, message = std::move(message)](const boost::system::error_code &error) {
        if (!error) {
            notify(message);
        }
    });
}

bool QuarantineCheck::isEndRecorded(const BackendServer &server) const
{
    return std::any_of(recordedEnds_.begin(), recordedEnds_.end(), [&](const RecordedEnd &end) {
        return end.backend == server.id && end.incarnation == server.incarnation;
    });
}

void QuarantineCheck::recordEnd(const BackendServer &server, std::string_view evidence)
{
    if (isEndRecorded(server)) {
        return;
    }
    recordedEnds_.push_back({server.id, server.incarnation, timeNow()});
    parts_.log.info("backend.gone",
                    {{"backend", server.id},
                     {"address", server.address.toString()},
                     {"backend_version", server.softwareVersion},
                     {"evidence", evidence}});
}

void QuarantineCheck::reportEarlierRuns(const BackendServer &server, Milliseconds maxAge)
{
    const TimePoint now = timeNow();
    std::erase_if(lostRuns_, [&](const LostRun &run) {
        if (run.end.backend != server.id || run.end.incarnation != server.incarnation) {
            return false;
        }
        if (now - run.at <= maxAge && counts(run.end)) {
            reportLostRun(run);
        }
        return true;
    });
}

void QuarantineCheck::onListChange(const BackendChanges &changes)
{
    std::vector<BackendServer> ended;
    const auto add = [&](const BackendServer &server) {
        if (!server.isLeaving && !isEndRecorded(server)) {
            ended.push_back(server);
        }
    };
    for (const std::string &id : changes.removed) {
        if (const BackendServer *known = parts_.pool.serverOf(id)) {
            add(*known);
        }
    }
    for (const BackendServer &server : changes.changed) {
        const BackendServer *known = parts_.pool.serverOf(server.id);
        if (known != nullptr && known->incarnation < server.incarnation) {
            add(*known);
        }
    }
    for (const BackendServer &server : ended) {
        const auto inDomain = std::count_if(ended.begin(), ended.end(), [&](const BackendServer &other) {
            return other.failureDomain == server.failureDomain;
        });
        recordEnd(server, "list");
        // In an outage of their failure domain, servers end whatever they run.
        if (inDomain < outageServers) {
            reportEarlierRuns(server, lostRunRetention);
        }
    }
}

void QuarantineCheck::removeExpired()
{
    const TimePoint now = timeNow();
    std::erase_if(reported_, [&](const auto &item) { return item.second <= now; });
    while (!lostRuns_.empty() && now - lostRuns_.front().at > lostRunRetention) {
        lostRuns_.pop_front();
    }
    while (!recordedEnds_.empty() && now - recordedEnds_.front().at > lostRunRetention) {
        recordedEnds_.pop_front();
    }
}

} // namespace cardamompost
