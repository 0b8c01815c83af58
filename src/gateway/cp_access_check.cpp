#include "cp_access_check.hpp"

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusTooMany = 429;
constexpr unsigned statusUnavailable = 503;
constexpr Milliseconds retryAfterShort {250};
// Longest wait for the ledger's leader before a request is refused; an election of a new one fits in.
constexpr Milliseconds admitTimeout {1750};

} // namespace

AccessCheck::AccessCheck(Parts parts)
    : parts_(parts)
    , unknownKeys_(parts.metrics.counter("cardamompost_requests_refused_total", {{"reason", "unknown-key"}}))
    , unsure_(parts.metrics.counter("cardamompost_requests_refused_total", {{"reason", "old-document"}}))
    , limited_(parts.metrics.counter("cardamompost_requests_refused_total", {{"reason", "over-limit"}}))
{
}

bool AccessCheck::isCutOff() const
{
    return parts_.settings.failsClosed && parts_.ledger.updateAge() > parts_.settings.revocationTime;
}

LocalResponse AccessCheck::unknownKey()
{
    if (parts_.ledger.hasNewestDocument()) {
        unknownKeys_.add();
        return {statusUnauthorized, "no account holds this key", Milliseconds(0)};
    }
    // Guards callers whose key was added a moment ago: a 401 is final for them, and an entry without the newest
    // document can't know that there is no such key.
    unsure_.add();
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
    }
    if (request.route->allowsAnonymous) {
        return std::nullopt;
    }
    if (account == nullptr) {
        return unknownKey();
    }
    if (isCutOff()) {
        unsure_.add();
        return LocalResponse {statusUnavailable, "it is not known whether the key still holds", retryAfterShort};
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
    // Guards against a key that was taken away, or moved to another account, while the request waited for a place.
    return unknownKey();
}

LocalResponse AccessCheck::limited(Milliseconds retryAfter)
{
    limited_.add();
    return {statusTooMany, "the account is over its limit", retryAfter};
}

asio::awaitable<std::optional<LocalResponse>> AccessCheck::admit(ForwardedRequest &request)
{
    if (!request.isLimited || request.isTurn()) {
        co_return std::nullopt;
    }
    AdmitRequest ask {request.account, scopedId(request.account, request.facts.id)};
    const std::optional<AdmitReply> reply
        = co_await parts_.ledger.admit(std::move(ask), std::min(request.deadline, request.arrived + admitTimeout));
    request.waited = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - request.arrived);
    if (!reply) {
        co_return LocalResponse {statusUnavailable, "nobody can say whether the account's limit allows it",
                                 retryAfterShort};
    }
    if (reply->status == AdmitStatus::Limited) {
        co_return limited(Milliseconds(reply->retryAfterMs));
    }
    co_return std::nullopt;
}

} // namespace cardamompost
