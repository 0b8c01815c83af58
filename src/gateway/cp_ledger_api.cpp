#include "cp_ledger_api.hpp"

#include "cp_local_responses.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <fmt/format.h>

namespace cardamompost
{

namespace asio = boost::asio;

namespace
{

using OperationResult = LedgerService::OperationResult;

constexpr unsigned statusRedirect = 307;
constexpr unsigned statusInvalid = 400;
constexpr unsigned statusWrongMethod = 405;
constexpr unsigned statusConflict = 409;
constexpr std::uint64_t maxDocumentBytes = 32U << 20U;
// Part of the process's descriptors that operators' connections may take.
constexpr std::size_t descriptorsDivisor = 8;
constexpr std::string_view notConfirmed = "leadership can't be confirmed at present";

HttpLimits controlLimits(const LedgerApi::Parts &parts)
{
    HttpLimits limits;
    limits.bodyBytes = maxDocumentBytes;
    limits.connections = static_cast<int>(parts.settings.descriptors / descriptorsDivisor);
    limits.account = parts.account;
    return limits;
}

} // namespace

LedgerApi::LedgerApi(Parts parts)
    : parts_(parts)
    , control_(
          parts.io.get_executor(), controlLimits(parts),
          [this](HttpRequest &request, IHttpResponder &responder) { return onControl(request, responder); },
          errorResponse)
{
}

Result<void> LedgerApi::listen()
{
    return control_.listen(parts_.settings.control);
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
    // Every member validates the document itself, so that an invalid one is rejected without a redirect.
    Result<RouteDocument> document = parts_.adapter.readDocument(request.body);
    const Result<void> checked = document ? checkRouteDocument(document.value()) : Result<void>(document.error());
    if (!checked) {
        parts_.log.info("document.refused", {{"error", checked.error().message}});
        co_return failureResponse(statusInvalid, checked.error().message);
    }
    const std::uint64_t version = document.value().version;
    auto put = [this, version, body = std::move(request.body)](std::function<void(OperationResult)> done) mutable {
        parts_.service.putDocument(version, std::move(body), std::move(done));
    };
    const OperationResult result = co_await awaitCallback<OperationResult>(std::move(put));
    parts_.log.info("document.put",
                    {{"version", version},
                     {"result", static_cast<int>(result)},
                     {"in_force", parts_.service.state().documentVersion()}});
    co_return makeResponse(result, request, "{}");
}

asio::awaitable<HttpResponse> LedgerApi::getDocument(const HttpRequest &request)
{
    auto confirm
        = [this](std::function<void(OperationResult)> done) { parts_.service.confirmLeadership(std::move(done)); };
    const OperationResult result = co_await awaitCallback<OperationResult>(std::move(confirm));
    if (result == OperationResult::Done && parts_.service.state().document().empty()) {
        co_return unavailableResponse(notConfirmed);
    }
    co_return makeResponse(result, request, parts_.service.state().document());
}

asio::awaitable<HttpResponse> LedgerApi::retire(const HttpRequest &request)
{
    const VmName vm = request.path.substr(parts_.adapter.paths().retire.size());
    const bool isPost = request.method == "POST";
    if (!isPost && request.method != "GET") {
        co_return failureResponse(statusWrongMethod, "POST and GET only");
    }
    auto operation = [this, vm, isPost](std::function<void(OperationResult)> done) {
        if (isPost) {
            parts_.service.retire(vm, std::move(done));
        } else {
            parts_.service.queryRetirement(vm, std::move(done));
        }
    };
    const OperationResult result = co_await awaitCallback<OperationResult>(std::move(operation));
    const bool isCompleted = !isPost && result == OperationResult::Done;
    co_return makeResponse(result, request, parts_.adapter.writeRetirement(isCompleted));
}

HttpResponse LedgerApi::makeResponse(OperationResult result, const HttpRequest &request, std::string body) const
{
    switch (result) {
    case OperationResult::Done:
    case OperationResult::Running:
        return jsonResponse(statusOk, std::move(body));
    case OperationResult::NotFound:
        return failureResponse(statusNotFound, "no such VM");
    case OperationResult::NotEnoughVms:
        return failureResponse(statusConflict, "not enough live VMs would remain");
    case OperationResult::NotLeader:
        return redirect(request);
    case OperationResult::Unknown:
        break;
    }
    return unavailableResponse(notConfirmed);
}

HttpResponse LedgerApi::redirect(const HttpRequest &request) const
{
    const std::optional<Address> leader = parseAddress(parts_.service.leader());
    if (!leader || *leader == parts_.settings.peer) {
        return unavailableResponse(notConfirmed);
    }
    HttpResponse response = failureResponse(statusRedirect, "another member is the leader");
    const Address control {leader->host, parts_.settings.control.port};
    response.headers["Location"] = fmt::format("http://{}{}", control.toString(), request.path);
    return response;
}

} // namespace cardamompost
