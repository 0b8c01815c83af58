#include "cp_ledger_api.hpp"

#include "cp_local_responses.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <fmt/format.h>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

using OrderResult = LedgerService::OrderResult;

constexpr unsigned statusRedirect = 307;
constexpr unsigned statusInvalid = 400;
constexpr unsigned statusWrongMethod = 405;
constexpr unsigned statusConflict = 409;
constexpr std::uint64_t maxDocumentBytes = 32U << 20U;
constexpr std::string_view notSure = "no member can be sure now";

HttpLimits controlLimits()
{
    HttpLimits limits;
    limits.bodyBytes = maxDocumentBytes;
    return limits;
}

} // namespace

LedgerApi::LedgerApi(Parts parts)
    : parts_(parts)
    , control_(
          parts.io.get_executor(), controlLimits(),
          [this](HttpRequest &request, IHttpResponder &responder) { return onControl(request, responder); },
          errorResponse)
{
}

Result<void> LedgerApi::listen()
{
    return control_.listen(parts_.settings.control);
}

void LedgerApi::stop()
{
    control_.stopAccepting();
}

asio::awaitable<void> LedgerApi::onControl(HttpRequest &request, IHttpResponder &responder)
{
    const PathNames &paths = parts_.adapter.paths();
    HttpResponse response = failureResponse(statusNotFound, "no such path");
    if (request.path == paths.document && request.method == "PUT") {
        response = co_await putDocument(request);
    } else if (request.path == paths.document && request.method == "GET") {
        response = co_await getDocument(request);
    } else if (request.path == paths.document) {
        response = failureResponse(statusWrongMethod, "PUT and GET only");
    } else if (request.path.starts_with(paths.retire)) {
        response = co_await retire(request);
    }
    co_await responder.respond(std::move(response));
}

asio::awaitable<HttpResponse> LedgerApi::putDocument(HttpRequest &request)
{
    // What is invalid is refused by every member, whatever its version, and before anybody is asked.
    Result<RouteDocument> document = parts_.adapter.readDocument(request.body);
    const Result<void> checked = document ? checkRouteDocument(document.value()) : Result<void>(document.error());
    if (!checked) {
        parts_.log.info("document.refused", {{"error", checked.error().message}});
        co_return failureResponse(statusInvalid, checked.error().message);
    }
    const std::uint64_t version = document.value().version;
    auto put = [this, version, body = std::move(request.body)](std::function<void(OrderResult)> done) mutable {
        parts_.service.putDocument(version, std::move(body), std::move(done));
    };
    const OrderResult result = co_await awaitCallback<OrderResult>(std::move(put));
    parts_.log.info("document.put",
                    {{"version", version},
                     {"result", static_cast<int>(result)},
                     {"in_force", parts_.service.state().documentVersion()}});
    co_return answer(result, request, "{}");
}

asio::awaitable<HttpResponse> LedgerApi::getDocument(const HttpRequest &request)
{
    auto confirm = [this](std::function<void(OrderResult)> done) { parts_.service.confirm(std::move(done)); };
    const OrderResult result = co_await awaitCallback<OrderResult>(std::move(confirm));
    if (result == OrderResult::Done && parts_.service.state().document().empty()) {
        co_return unavailableResponse(notSure);
    }
    co_return answer(result, request, parts_.service.state().document());
}

asio::awaitable<HttpResponse> LedgerApi::retire(const HttpRequest &request)
{
    const VmName vm = request.path.substr(parts_.adapter.paths().retire.size());
    const bool isOrder = request.method == "POST";
    if (!isOrder && request.method != "GET") {
        co_return failureResponse(statusWrongMethod, "POST and GET only");
    }
    auto ask = [this, vm, isOrder](std::function<void(OrderResult)> done) {
        if (isOrder) {
            parts_.service.retire(vm, std::move(done));
        } else {
            parts_.service.retirement(vm, std::move(done));
        }
    };
    const OrderResult result = co_await awaitCallback<OrderResult>(std::move(ask));
    const bool isCompleted = !isOrder && result == OrderResult::Done;
    co_return answer(result, request, parts_.adapter.writeRetirement(isCompleted));
}

HttpResponse LedgerApi::answer(OrderResult result, const HttpRequest &request, std::string body) const
{
    switch (result) {
    case OrderResult::Done:
    case OrderResult::Running:
        return jsonResponse(statusOk, std::move(body));
    case OrderResult::NotFound:
        return failureResponse(statusNotFound, "no such VM");
    case OrderResult::TooFewLeft:
        return failureResponse(statusConflict, "too few VMs would be left");
    case OrderResult::NotLeader:
        return redirect(request);
    case OrderResult::Unknown:
        break;
    }
    return unavailableResponse(notSure);
}

HttpResponse LedgerApi::redirect(const HttpRequest &request) const
{
    const std::optional<Address> leader = parseAddress(parts_.service.leader());
    if (!leader || *leader == parts_.settings.peer) {
        return unavailableResponse(notSure);
    }
    HttpResponse response = failureResponse(statusRedirect, "another member leads");
    const Address control {leader->host, parts_.settings.control.port};
    response.headers["Location"] = fmt::format("http://{}{}", control.toString(), request.path);
    return response;
}

} // namespace cardamompost
