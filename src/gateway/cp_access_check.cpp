#include "cp_access_check.hpp"

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr Milliseconds retryAfterShort {250};
// Longest wait for the ledger; leaves time for a leader election.
constexpr Milliseconds admitTimeout {1750};

} // namespace

AccessCheck::AccessCheck(Parts parts)
    : parts_(parts)
    , unknownKeys_(parts.metrics.counter("cardamompost_requests_refused_total", {{"reason", "unknown-key"}}))
    , staleDocuments_(parts.metrics.counter("cardamompost_requests_refused_total", {{"reason", "old-document"}}))
    , limited_(parts.metrics.counter("cardamompost_requests_refused_total", {{"reason", "over-limit"}}))
{
}

bool AccessCheck::mustFailClosed() const
{
    return parts_.settings.failsClosed && parts_.ledger.updateAge() > parts_.settings.revocationTime;
}

LocalResponse AccessCheck::unknownKeyResponse()
{
    if (parts_.ledger.hasNewestDocument()) {
        unknownKeys_.add();
        return {statusUnauthorized, "no account holds this key", Milliseconds(0)};
    }
    // A 401 is final for the caller, so it is sent only if this entry is known to have the newest document. Otherwise
    // the key may have just been added.
    staleDocuments_.add();
    return {statusUnavailable, "the key is not known, and the document may be old", retryAfterShort};
}

std::optional<LocalResponse> AccessCheck::identify(ForwardedRequest &request)
{
    if (!request.table->hasAccounts()) {
        return std::nullopt;
    }
    request.keyHash = readKeyHash(request.message, parts_.adapter.headers());
    const Account *account = request.keyHash ? request.table->account(*request.keyHash) : nullptr;
    if (account != nullptr) {
        request.account = account->name;
        request.accountRank = account->rank;
        request.isLimited = account->limit.isBounded();
        if (request.isLimited) {
            request.admissionId = fmt::format("{:016x}", randomIdentity());
        }
    }
    if (request.route->allowsAnonymous) {
        return std::nullopt;
    }
    if (account == nullptr) {
        return unknownKeyResponse();
    }
    if (mustFailClosed()) {
        staleDocuments_.add();
        return LocalResponse {statusUnavailable, "can't verify that the key is still valid", retryAfterShort};
    }
    return std::nullopt;
}

std::optional<LocalResponse> AccessCheck::recheck(const ForwardedRequest &request, const RouteTable &newest)
{
    if (&newest == request.table.get() || request.route->allowsAnonymous || !newest.hasAccounts()) {
        return std::nullopt;
    }
    const Account *account = request.keyHash ? newest.account(*request.keyHash) : nullptr;
    if (account != nullptr && account->name == request.account) {
        return std::nullopt;
    }
    if (account == nullptr) {
        // The key was revoked while the request waited.
        return unknownKeyResponse();
    }
    if (request.runs > 0) {
        return LocalResponse {statusBadGateway, "the key has moved to another account, and the request may have run",
                              Milliseconds(0)};
    }
    return LocalResponse {statusUnavailable, "the key has moved to another account", retryAfterShort};
}

LocalResponse AccessCheck::overLimitResponse(Milliseconds retryAfter)
{
    limited_.add();
    return {statusTooManyRequests, "the account is over its limit", retryAfter};
}

asio::awaitable<std::optional<LocalResponse>> AccessCheck::admit(ForwardedRequest &request)
{
    if (!request.isLimited || request.isTurn()) {
        co_return std::nullopt;
    }
    AdmitRequest admission {request.account, scopedId(request.account, request.metadata.id), request.admissionId};
    const std::optional<AdmitReply> reply = co_await parts_.ledger.admit(
        std::move(admission), std::min(request.deadline, request.arrived + admitTimeout));
    request.admissionTime
        = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - request.arrived);
    if (!reply) {
        co_return LocalResponse {statusUnavailable, "can't check the account's limit: the ledger does not respond",
                                 retryAfterShort};
    }
    if (reply->status == AdmitStatus::Limited) {
        co_return overLimitResponse(Milliseconds(reply->retryAfterMs));
    }
    co_return std::nullopt;
}

} // namespace cardamompost
