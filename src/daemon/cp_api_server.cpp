#include "cp_api_server.hpp"

#include "cp_http_answer.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <charconv>

namespace cardamompost
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr std::size_t maxKeyBytes = 256;
constexpr int maxIdAttempts = 1'000'000;

//! Counts a request as active during its scope.
class ActiveRequestGuard
{
public:
    explicit ActiveRequestGuard(std::atomic<int> &count)
        : count_(count)
    {
        ++count_;
    }
    ~ActiveRequestGuard()
    {
        --count_;
    }
    ActiveRequestGuard(const ActiveRequestGuard &) = delete;
    ActiveRequestGuard &operator=(const ActiveRequestGuard &) = delete;

private:
    std::atomic<int> &count_;
};

Error unknownRoute(const HttpRequest &request)
{
    return makeError(ErrorKind::NotFound, request.method + " " + request.path + " is not supported");
}

Error methodNotAllowed(const HttpRequest &request)
{
    return makeError(ErrorKind::MethodNotAllowed, request.method + " is not supported at " + request.path);
}

template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc {} && end == text.data() + text.size() && !text.empty() ? std::optional(value)
                                                                                      : std::nullopt;
}

bool contains(const std::vector<std::string> &list, std::string_view item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

Result<void> checkPermissions(const Configuration &configuration, const Caller &caller, const std::string &deployment,
                              const std::string &workClass)
{
    const Deployment *declared = configuration.findDeployment(deployment);
    if (declared == nullptr || !contains(caller.deployments, deployment)) {
        return makeError(ErrorKind::Forbidden, "the caller may not use deployment '" + deployment + "'");
    }
    if (!contains(caller.classes, workClass) || !contains(declared->classes, workClass)) {
        return makeError(ErrorKind::Forbidden,
                         "the caller may not use class '" + workClass + "' of '" + deployment + "'");
    }
    return boost::outcome_v2::success();
}

HttpResponse textResponse(std::string body, std::string type)
{
    HttpResponse response;
    response.headers["Content-Type"] = std::move(type);
    response.body = std::move(body);
    return response;
}

} // namespace

ApiServer::ApiServer(asio::any_io_executor executor, Parts parts)
    : parts_(parts)
    , server_(
          std::move(executor), HttpLimits {},
          [this](HttpRequest &request, IHttpResponder &responder) { return handle(request, responder); },
          [](const Error &error) { return errorResponse(error); })
{
    parts_.metrics.gauge("cardamompost_open_connections", {},
                         [this] { return static_cast<double>(server_.openConnections()); });
    parts_.metrics.gauge("cardamompost_active_requests", {}, [this] { return static_cast<double>(active_); });
}

Result<void> ApiServer::start()
{
    return server_.listen(parts_.settings.http);
}

void ApiServer::stopAccepting()
{
    server_.stopAccepting();
}

asio::awaitable<void> ApiServer::handle(HttpRequest &request, IHttpResponder &responder)
{
    const ActiveRequestGuard guard(active_);
    co_await route(request, responder);
}

asio::awaitable<void> ApiServer::route(HttpRequest &request, IHttpResponder &responder)
{
    if (std::optional<HttpResponse> publicResponse = publicRoute(request)) {
        co_await responder.respond(std::move(*publicResponse));
        co_return;
    }
    if (request.path.starts_with("/v1/operator/")) {
        co_await handleOperator(request, responder);
        co_return;
    }
    co_await handleCaller(request, responder);
}

asio::awaitable<void> ApiServer::handleOperator(HttpRequest &request, IHttpResponder &responder)
{
    // The work may outlast the request.
    auto handleCopy = [](OperatorApi &operators, HttpRequest copy) -> asio::awaitable<HttpResponse> {
        co_return co_await operators.handle(copy);
    };
    asio::awaitable<HttpResponse> work = handleCopy(parts_.operators, request);
    std::optional<HttpResponse> response = co_await awaitUntilShutdown<HttpResponse>(parts_.shutdown, std::move(work));
    if (!response) {
        response = errorResponse(shuttingDownError(request.method == "GET" ? Outcome::NotRun : Outcome::Unknown));
    }
    co_await responder.respond(std::move(*response));
}

std::optional<HttpResponse> ApiServer::publicRoute(const HttpRequest &request) const
{
    const bool isRead = request.method == "GET";
    if (request.path == "/healthz" && isRead) {
        return textResponse("ok\n", "text/plain");
    }
    if (request.path == "/readyz" && isRead) {
        const bool isReady = parts_.control.isConfigurationCurrent() && !parts_.control.isLeaving();
        HttpResponse response = textResponse(isReady ? "ready\n" : "not ready\n", "text/plain");
        response.status = isReady ? 200 : 503;
        return response;
    }
    if (request.path == "/metrics" && isRead) {
        return textResponse(parts_.metrics.text(), "text/plain; version=0.0.4");
    }
    if (request.path == "/v1/entries" && isRead) {
        return listEntries(request);
    }
    return std::nullopt;
}

HttpResponse ApiServer::listEntries(const HttpRequest &request) const
{
    const auto view = parts_.replica.view();
    const auto program = request.query.find("program");
    VmName owner;
    if (program != request.query.end()) {
        owner = view->state.partitions()[parts_.table.partitionOf(program->second)].owner;
    }
    std::vector<const VmRecord *> vms;
    for (const auto &[name, vm] : view->state.vms()) {
        // A leaving VM still serves existing clients but is not listed for new ones.
        if (vm.state == VmState::Live) {
            vms.push_back(&vm);
        }
    }
    // The owner comes first; the rest is shuffled per request to spread clients that use the first address.
    const std::uint64_t salt = randomIdentity();
    const auto rank = [&](const VmRecord *vm) { return std::pair(vm->name != owner, stableHash(vm->name, salt)); };
    std::sort(vms.begin(), vms.end(), [&](const VmRecord *a, const VmRecord *b) { return rank(a) < rank(b); });
    json::array list;
    for (const VmRecord *vm : vms) {
        list.push_back(json::object {{"name", vm->name},
                                     {"address", vm->http.toString()},
                                     {"failure_domain", vm->failureDomain},
                                     {"weight", 1},
                                     {"owner", vm->name == owner}});
    }
    const json::object body {{"entries", std::move(list)}, {"ttl_ms", parts_.settings.directoryTtlMs}};
    return textResponse(json::serialize(body) + "\n", "application/json");
}

HttpResponse ApiServer::listModels(const Caller &caller) const
{
    const auto view = parts_.replica.view();
    std::set<std::string> names;
    for (const std::string &name : caller.deployments) {
        if (const Deployment *deployment = view->configuration.findDeployment(name)) {
            names.insert(deployment->model);
        }
    }
    json::array list;
    for (const std::string &name : names) {
        list.push_back(json::object {{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", "cardamompost"}});
    }
    return textResponse(json::serialize(json::object {{"object", "list"}, {"data", std::move(list)}}) + "\n",
                        "application/json");
}

asio::awaitable<void> ApiServer::handleCaller(HttpRequest &request, IHttpResponder &responder)
{
    const auto view = parts_.replica.view();
    const std::string_view key = bearerKey(request);
    const Caller *caller = key.empty() ? nullptr : view->configuration.callerByKey(key);
    if (!parts_.control.isConfigurationCurrent()) {
        // Without contact with the leader, this VM may hold an outdated configuration.
        Error error = makeError(ErrorKind::NotReady, "this VM has lost contact with the leader; retry on another VM");
        error.retryAfter = Milliseconds(1000);
        co_await responder.respond(errorResponse(error));
        co_return;
    }
    if (caller == nullptr) {
        co_await responder.respond(errorResponse(
            makeError(ErrorKind::Unauthenticated, "a caller key is required: Authorization: Bearer KEY")));
        co_return;
    }
    if (request.path == "/v1/models" && request.method == "GET") {
        co_await responder.respond(listModels(*caller));
        co_return;
    }
    Result<ApiRequest> api = toApiRequest(request, *caller);
    if (!api) {
        co_await responder.respond(errorResponse(api.error()));
        co_return;
    }
    const ApiOperation operation = api.value().operation;
    if (operation == ApiOperation::SubmitCall || operation == ApiOperation::SingleCall) {
        co_await forwardCall(std::move(api.value()), responder);
    } else {
        co_await forward(std::move(api.value()), responder);
    }
}

asio::awaitable<void> ApiServer::forwardCall(ApiRequest request, IHttpResponder &responder)
{
    const std::string caller = request.caller;
    const Result<void> admitted = co_await parts_.admission.admit(caller);
    if (!admitted && request.idempotencyKey.empty()) {
        const Error refusal = parts_.shutdown.isGiven() ? shuttingDownError(Outcome::NotRun) : admitted.error();
        HttpResponse response = errorResponse(refusal);
        co_await responder.respond(std::move(response));
        co_return;
    }
    if (!admitted) {
        // The owner records the refusal under the idempotency key, or returns the call accepted under this key before.
        request.refusal = admitted.error();
    }
    co_await forward(std::move(request), responder);
    if (admitted) {
        parts_.admission.release(caller);
    }
}

asio::awaitable<void> ApiServer::forward(ApiRequest request, IHttpResponder &responder)
{
    HttpAnswer answer(request, responder);
    Router::Deliver deliver = [&answer](ApiChunk chunk) { return answer.deliver(std::move(chunk)); };
    co_await parts_.router.forward(std::move(request), std::move(deliver));
}

Result<ApiRequest> ApiServer::toApiRequest(const HttpRequest &request, const Caller &caller) const
{
    ApiRequest api;
    api.caller = caller.name;
    api.idempotencyKey = std::string(request.header("Idempotency-Key"));
    api.body = request.body;
    if (api.idempotencyKey.size() > maxKeyBytes || !isCleanUtf8(api.idempotencyKey)) {
        return makeError(ErrorKind::InvalidRequest,
                         fmt::format("'Idempotency-Key' must be valid UTF-8 text of at most {} bytes", maxKeyBytes));
    }
    if (!isCleanUtf8(request.body)) {
        return makeError(ErrorKind::InvalidRequest, "the body is not valid UTF-8 text");
    }
    const std::vector<std::string_view> path = splitPath(request.path);
    if (path.size() >= 2 && path[0] == "v1" && path[1] == "programs") {
        if (path.size() == 2) {
            BOOST_OUTCOME_TRYV(parseCreation(request, caller, api));
        } else {
            BOOST_OUTCOME_TRYV(parseProgramRoute(request, path, api));
        }
        return api;
    }
    if (request.path == "/v1/chat/completions") {
        BOOST_OUTCOME_TRYV(parseChat(request, caller, api));
        return api;
    }
    return unknownRoute(request);
}

ProgramId ApiServer::newProgramId(const ApiRequest &api, const ProgramId &parent) const
{
    const bool hasKey = !api.idempotencyKey.empty();
    ProgramId id = hasKey ? programIdForKey(api.caller, api.idempotencyKey) : makeProgramId();
    // A child program shares its parent's partition, so that one owner manages the budget of both.
    for (int i = 0;
         !parent.empty() && i < maxIdAttempts && parts_.table.partitionOf(id) != parts_.table.partitionOf(parent);
         ++i) {
        id = hasKey ? programIdForKey(api.caller, fmt::format("{}#{}", api.idempotencyKey, i)) : makeProgramId();
    }
    return id;
}

Result<void> ApiServer::parseCreation(const HttpRequest &request, const Caller &caller, ApiRequest &api) const
{
    if (request.method != "POST") {
        return methodNotAllowed(request);
    }
    BOOST_OUTCOME_TRY(const ProgramRequest programRequest, parseProgramRequest(request.body));
    BOOST_OUTCOME_TRYV(checkPermissions(parts_.replica.view()->configuration, caller, programRequest.deployment,
                                        programRequest.workClass));
    api.operation = ApiOperation::CreateProgram;
    api.program = newProgramId(api, programRequest.parent);
    return boost::outcome_v2::success();
}

Result<void> ApiServer::parseProgramRoute(const HttpRequest &request, const std::vector<std::string_view> &path,
                                          ApiRequest &api) const
{
    api.program = std::string(path[2]);
    if (!isProgramId(api.program)) {
        return makeError(ErrorKind::NotFound, "unknown program '" + api.program + "'");
    }
    const std::string_view part = path.size() > 3 ? path[3] : std::string_view {};
    const bool isRead = request.method == "GET";
    if (path.size() == 3) {
        api.operation = isRead ? ApiOperation::GetProgram : ApiOperation::EndProgram;
        return isRead || request.method == "DELETE" ? Result<void>(boost::outcome_v2::success())
                                                    : Result<void>(methodNotAllowed(request));
    }
    if (path.size() == 4 && (part == "history" || part == "explanation")) {
        api.operation = part == "history" ? ApiOperation::GetHistory : ApiOperation::Explain;
        return isRead ? Result<void>(boost::outcome_v2::success()) : Result<void>(methodNotAllowed(request));
    }
    if (path.size() == 4 && part == "calls") {
        if (request.method != "POST") {
            return methodNotAllowed(request);
        }
        BOOST_OUTCOME_TRY(const CallRequest call, parseCallRequest(request.body));
        api.operation = ApiOperation::SubmitCall;
        api.sequence = call.sequence;
        api.isStream = call.isStream;
        return boost::outcome_v2::success();
    }
    if (path.size() == 5 && part == "calls") {
        const auto sequence = parseNumber<std::uint32_t>(path[4]);
        if (!sequence || !isRead) {
            return sequence ? methodNotAllowed(request) : unknownRoute(request);
        }
        api.operation = ApiOperation::FetchCall;
        api.sequence = *sequence;
        const std::string_view last = request.header("Last-Event-ID");
        api.lastEventId = parseNumber<std::uint64_t>(last).value_or(0);
        api.isStream = !last.empty() || request.header("Accept") == "text/event-stream";
        return boost::outcome_v2::success();
    }
    return unknownRoute(request);
}

Result<void> ApiServer::parseChat(const HttpRequest &request, const Caller &caller, ApiRequest &api) const
{
    if (request.method != "POST") {
        return methodNotAllowed(request);
    }
    std::string model;
    BOOST_OUTCOME_TRY(const CallRequest call, parseChatRequest(request.body, model));
    const auto view = parts_.replica.view();
    const Deployment *deployment = view->configuration.findModel(model, caller);
    if (deployment == nullptr) {
        return makeError(ErrorKind::NotFound, "unknown model '" + model + "'");
    }
    api.format = ApiFormat::ChatCompletion;
    api.isStream = call.isStream;
    api.program = std::string(request.header("Cardamompost-Program"));
    if (!api.program.empty()) {
        api.operation = ApiOperation::SubmitCall;
        return isProgramId(api.program)
            ? Result<void>(boost::outcome_v2::success())
            : Result<void>(makeError(ErrorKind::NotFound, "unknown program '" + api.program + "'"));
    }
    api.operation = ApiOperation::SingleCall;
    api.program = newProgramId(api, {});
    api.workClass = std::string(request.header("Cardamompost-Class"));
    for (const std::string &workClass : caller.classes) {
        if (api.workClass.empty() && contains(deployment->classes, workClass)) {
            api.workClass = workClass;
        }
    }
    return checkPermissions(view->configuration, caller, deployment->name, api.workClass);
}

} // namespace cardamompost
