#include "cp_operator_api.hpp"

#include "cp_answer_writer.hpp"

#include <cardamompost/net/cp_await.hpp>

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <charconv>

namespace cardamompost
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned statusAccepted = 202;
constexpr Milliseconds proposeTimeout {6000};
constexpr Milliseconds refreshTimeout {3000};
constexpr std::int64_t maxWaitMs = 60'000;
constexpr Milliseconds pollInterval {50};

HttpResponse jsonResponse(unsigned status, const json::object &body)
{
    HttpResponse response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = json::serialize(body) + "\n";
    return response;
}

std::optional<std::uint64_t> parseVersion(std::string_view text)
{
    // Accepts a bare version or a quoted entity tag.
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    std::uint64_t version = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    return error == std::errc {} && end == text.data() + text.size() && !text.empty() ? std::optional(version)
                                                                                      : std::nullopt;
}

HttpResponse invalidConfigurationResponse(const std::vector<ConfigError> &errors)
{
    const Error error
        = makeError(ErrorKind::InvalidConfiguration,
                    fmt::format("the document has {} errors; the configuration is unchanged", errors.size()));
    json::object body = errorBody(error);
    json::array list;
    for (const ConfigError &configError : errors) {
        list.push_back(json::object {{"line", configError.line},
                                     {"section", configError.section},
                                     {"key", configError.key},
                                     {"message", configError.message}});
    }
    body["error"].as_object()["faults"] = std::move(list);
    HttpResponse response = jsonResponse(answerFor(error.kind).status, body);
    response.headers["Cardamompost-Outcome"] = nameOf(outcomeNames, Outcome::NotRun);
    return response;
}

json::object vmBody(const VmRecord &vm)
{
    return {{"name", vm.name},
            {"state", nameOf(vmStateNames, vm.state)},
            {"http", vm.http.toString()},
            {"failure_domain", vm.failureDomain},
            {"keeper", vm.isKeeper}};
}

json::array queuesBody(const std::vector<Dispatcher::QueueStatus> &queues)
{
    json::array list;
    for (const Dispatcher::QueueStatus &queue : queues) {
        json::array replicas;
        for (const ReplicaView &replica : queue.replicas) {
            replicas.push_back(json::object {{"name", replica.name},
                                             {"slots", replica.slots},
                                             {"own", replica.ownInFlight},
                                             {"others", replica.othersInFlight},
                                             {"closed", replica.isClosed}});
        }
        list.push_back(json::object {
            {"deployment", queue.deployment}, {"waiting", queue.waiting}, {"replicas", std::move(replicas)}});
    }
    return list;
}

} // namespace

HttpResponse errorResponse(const Error &error)
{
    HttpResponse response = jsonResponse(answerFor(error.kind).status, errorBody(error));
    response.headers["Cardamompost-Outcome"] = nameOf(outcomeNames, error.effectiveOutcome());
    if (error.retryAfter) {
        response.headers["Retry-After"] = std::to_string((error.retryAfter->count() + 999) / 1000);
    }
    return response;
}

std::string_view bearerKey(const HttpRequest &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = request.header("Authorization");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string_view {};
}

OperatorApi::OperatorApi(Parts parts)
    : parts_(parts)
{
}

Result<std::string> OperatorApi::authenticate(const HttpRequest &request) const
{
    const std::string_view key = bearerKey(request);
    const auto view = parts_.replica.view();
    if (key.empty()) {
        return makeError(ErrorKind::Unauthenticated, "an operator key is required: Authorization: Bearer KEY");
    }
    if (const OperatorAccount *account = view->configuration.operatorByKey(key)) {
        return account->name;
    }
    // The bootstrap key from the settings is valid until the configuration declares operators.
    const bool isBootstrap = !view->configuration.hasOperators() && sha256Hex(key) == parts_.settings.bootstrapKeyHash;
    if (isBootstrap) {
        return std::string("bootstrap");
    }
    if (view->configuration.callerByKey(key) != nullptr) {
        return makeError(ErrorKind::Forbidden, "the key is a caller key, not an operator key");
    }
    return makeError(ErrorKind::Unauthenticated, "unknown key");
}

asio::awaitable<HttpResponse> OperatorApi::handle(const HttpRequest &request)
{
    const Result<std::string> author = authenticate(request);
    if (!author) {
        co_return errorResponse(author.error());
    }
    const std::vector<std::string_view> path = splitPath(request.path);
    const std::string_view resource = path.size() > 2 ? path[2] : std::string_view {};
    if (resource == "configuration" && path.size() == 3 && request.method == "GET") {
        co_return co_await getConfiguration();
    }
    if (resource == "configuration" && path.size() == 3 && request.method == "PUT") {
        co_return co_await putConfiguration(request, author.value());
    }
    if (resource == "status" && path.size() == 3 && request.method == "GET") {
        co_return co_await status();
    }
    if (resource == "vms" && path.size() == 5 && path[4] == "drain" && request.method == "POST") {
        co_return co_await drain(std::string(path[3]));
    }
    const bool isKnown = resource == "configuration" || resource == "status" || (resource == "vms" && path.size() == 5);
    co_return errorResponse(makeError(isKnown ? ErrorKind::MethodNotAllowed : ErrorKind::NotFound,
                                      request.method + " " + request.path + " is not supported"));
}

asio::awaitable<HttpResponse> OperatorApi::getConfiguration()
{
    const Result<void> refreshed = co_await parts_.control.refresh(refreshTimeout);
    if (!refreshed) {
        co_return errorResponse(refreshed.error());
    }
    const auto view = parts_.replica.view();
    HttpResponse response;
    response.headers["Content-Type"] = "text/plain; charset=utf-8";
    response.headers["ETag"] = fmt::format("\"{}\"", view->state.configurationVersion());
    response.body = view->state.document().text();
    co_return response;
}

HttpResponse OperatorApi::conflictResponse(const ControlState &state, std::uint64_t base,
                                           const std::string &submitted) const
{
    const Error error = makeError(ErrorKind::VersionConflict,
                                  fmt::format("the change is based on version {}, but the current version is {}", base,
                                              state.configurationVersion()));
    json::object body = errorBody(error);
    json::object &fields = body["error"].as_object();
    fields["current_version"] = state.configurationVersion();
    fields["difference"] = lineDifference(state.document().text(), submitted);
    HttpResponse response = jsonResponse(answerFor(error.kind).status, body);
    response.headers["Cardamompost-Outcome"] = nameOf(outcomeNames, Outcome::NotRun);
    return response;
}

asio::awaitable<HttpResponse> OperatorApi::putConfiguration(const HttpRequest &request, std::string author)
{
    const std::optional<std::uint64_t> base = parseVersion(request.header("If-Match"));
    if (!base) {
        co_return errorResponse(makeError(ErrorKind::InvalidRequest, "the header 'If-Match: VERSION' is required"));
    }
    const Configuration::ParseResult parsed = Configuration::parse(request.body);
    if (!parsed.errors.empty()) {
        co_return invalidConfigurationResponse(parsed.errors);
    }
    const Result<void> refreshed = co_await parts_.control.refresh(refreshTimeout);
    if (!refreshed) {
        co_return errorResponse(refreshed.error());
    }
    const auto view = parts_.replica.view();
    const std::string key(request.header("Idempotency-Key"));
    ConfigurationChange change;
    change.requestId = author + ":" + (key.empty() ? makeProgramId() : key);
    change.author = author;
    change.baseVersion = *base;
    change.documentHash = stableHash(request.body, *base);
    if (const auto recorded = view->state.findRequest(change.requestId)) {
        if (recorded->hash != change.documentHash) {
            co_return errorResponse(makeError(ErrorKind::IdempotencyConflict,
                                              "the idempotency key was already used for a different change"));
        }
        co_return co_await answerVersion(request, recorded->version);
    }
    if (*base != view->state.configurationVersion()) {
        co_return conflictResponse(view->state, *base, request.body);
    }
    change.delta = view->state.document().deltaTo(SectionDocument::fromText(request.body));
    ControlCommand command = std::move(change);
    const Result<ApplyResult> applied = co_await parts_.control.propose(std::move(command), proposeTimeout);
    if (!applied) {
        co_return errorResponse(applied.error());
    }
    const ApplyKind kind = applied.value().kind;
    if (kind == ApplyKind::VersionConflict) {
        co_return conflictResponse(parts_.replica.view()->state, *base, request.body);
    }
    if (kind == ApplyKind::IdempotencyConflict) {
        co_return errorResponse(
            makeError(ErrorKind::IdempotencyConflict, "the idempotency key was already used for a different change"));
    }
    parts_.log.info("configuration.accepted", {{"version", applied.value().version}, {"author", author}});
    co_return co_await answerVersion(request, applied.value().version);
}

// With "wait_ms", responds once every VM that is not lost has applied the version or the time is up; otherwise at once.
asio::awaitable<HttpResponse> OperatorApi::answerVersion(const HttpRequest &request, std::uint64_t version)
{
    std::int64_t waitMs = 0;
    const auto wait = request.query.find("wait_ms");
    if (wait != request.query.end()) {
        std::from_chars(wait->second.data(), wait->second.data() + wait->second.size(), waitMs);
    }
    const TimePoint deadline
        = std::chrono::steady_clock::now() + Milliseconds(std::clamp<std::int64_t>(waitMs, 0, maxWaitMs));
    json::object body {{"version", version}};
    while (waitMs > 0) {
        const Result<StatusReply> status = co_await parts_.control.status();
        json::array lagging;
        const auto view = parts_.replica.view();
        for (const auto &[name, vm] : view->state.vms()) {
            const auto isUpToDate
                = [&](const VmReport &report) { return report.name == name && report.configurationVersion >= version; };
            const bool hasApplied
                = status && std::any_of(status.value().reports.begin(), status.value().reports.end(), isUpToDate);
            if (vm.state != VmState::Lost && !hasApplied) {
                lagging.emplace_back(name);
            }
        }
        const bool isAppliedEverywhere = status && lagging.empty();
        body["in_force_everywhere"] = isAppliedEverywhere;
        body["lagging"] = std::move(lagging);
        if (isAppliedEverywhere || std::chrono::steady_clock::now() > deadline) {
            break;
        }
        co_await sleepFor(pollInterval);
    }
    HttpResponse response = jsonResponse(statusOk, body);
    response.headers["Cardamompost-Outcome"] = nameOf(outcomeNames, Outcome::Ran);
    response.headers["ETag"] = fmt::format("\"{}\"", version);
    co_return response;
}

asio::awaitable<HttpResponse> OperatorApi::drain(VmName name)
{
    const auto view = parts_.replica.view();
    const VmRecord *recorded = view->state.findVm(name);
    if (recorded == nullptr) {
        co_return errorResponse(makeError(ErrorKind::NotFound, "unknown VM '" + name + "'"));
    }
    VmRecord leaving = *recorded;
    if (leaving.state == VmState::Live) {
        leaving.state = VmState::Leaving;
        ControlCommand command = leaving;
        const Result<ApplyResult> applied = co_await parts_.control.propose(std::move(command), proposeTimeout);
        if (!applied) {
            co_return errorResponse(applied.error());
        }
        parts_.log.info("vm.drain", {{"name", name}});
    }
    HttpResponse response = jsonResponse(statusAccepted, vmBody(leaving));
    response.headers["Cardamompost-Outcome"] = nameOf(outcomeNames, Outcome::Ran);
    co_return response;
}

asio::awaitable<HttpResponse> OperatorApi::status()
{
    const Result<StatusReply> reported = co_await parts_.control.status();
    const auto view = parts_.replica.view();
    std::map<VmName, std::size_t> owned;
    std::size_t unowned = 0;
    for (const PartitionRecord &partition : view->state.partitions()) {
        unowned += partition.owner.empty() ? 1 : 0;
        ++owned[partition.owner];
    }
    json::array vms;
    for (const auto &[name, vm] : view->state.vms()) {
        json::object body = vmBody(vm);
        body["partitions"] = owned[name];
        if (reported) {
            for (const VmReport &report : reported.value().reports) {
                if (report.name == name) {
                    body["since_contact_ms"] = report.sinceContactMs;
                    body["configuration_version"] = report.configurationVersion;
                    body["control_index"] = report.appliedIndex;
                    body["programs"] = report.programs;
                }
            }
        }
        vms.push_back(std::move(body));
    }
    json::object body {{"vm", parts_.settings.vm},
                       {"leader", reported ? reported.value().leader : std::string()},
                       {"term", reported ? reported.value().term : 0},
                       {"configuration_version", view->state.configurationVersion()},
                       {"control_index", view->index},
                       {"partitions", view->state.partitions().size()},
                       {"partitions_without_owner", unowned},
                       {"vms", std::move(vms)},
                       {"queues", queuesBody(parts_.dispatcher.status())}};
    co_return jsonResponse(statusOk, body);
}

} // namespace cardamompost
