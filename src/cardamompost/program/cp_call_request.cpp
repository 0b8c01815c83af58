#include <cardamompost/config/cp_ini_document.hpp>
#include <cardamompost/program/cp_call_request.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace cardamompost
{

namespace json = boost::json;

namespace
{

constexpr std::size_t maxJsonDepth = 32;
constexpr std::size_t maxMessages = 10'000;
constexpr std::int64_t maxTokensOfCall = 1'000'000;
constexpr std::int64_t messageOverheadTokens = 8;
constexpr std::int64_t maxBudgetTokens = 1'000'000'000;
constexpr std::int64_t maxTimeLimitMs = 86'400'000;

const std::array<std::string_view, 8> samplingFields {
    "temperature", "top_p", "stop", "seed", "presence_penalty", "frequency_penalty", "response_format", "tools"};
const std::array<std::string_view, 5> serviceMethods {"GET", "POST", "PUT", "DELETE", "PATCH"};

Error invalidField(std::string_view field, std::string_view text)
{
    return makeError(ErrorKind::InvalidRequest,
                     field.empty() ? std::string(text) : fmt::format("'{}' {}", field, text));
}

Result<std::string> readText(const json::object &object, std::string_view field, bool isRequired)
{
    const json::value *value = object.if_contains(field);
    if (value == nullptr) {
        if (isRequired) {
            return invalidField(field, "is required");
        }
        return std::string();
    }
    if (!value->is_string()) {
        return invalidField(field, "must be a string");
    }
    return std::string(value->as_string());
}

Result<std::int64_t> readNumber(const json::object &object, std::string_view field, std::int64_t fallback,
                                std::int64_t min, std::int64_t max)
{
    const json::value *value = object.if_contains(field);
    if (value == nullptr || value->is_null()) {
        return fallback;
    }
    if (!value->is_int64() || value->as_int64() < min || value->as_int64() > max) {
        return invalidField(field, fmt::format("must be a whole number from {} to {}", min, max));
    }
    return value->as_int64();
}

Result<bool> readBool(const json::object &object, std::string_view field, bool fallback)
{
    const json::value *value = object.if_contains(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_bool()) {
        return invalidField(field, "must be true or false");
    }
    return value->as_bool();
}

Result<json::array> readMessages(const json::object &object)
{
    const json::value *value = object.if_contains("messages");
    if (value == nullptr || !value->is_array()) {
        return invalidField("messages", "must be a list");
    }
    const json::array &messages = value->as_array();
    if (messages.empty() || messages.size() > maxMessages) {
        return invalidField("messages", fmt::format("must hold 1 to {} messages", maxMessages));
    }
    for (std::size_t i = 0; i < messages.size(); ++i) {
        const json::object *message = messages[i].if_object();
        const json::value *role = message == nullptr ? nullptr : message->if_contains("role");
        if (role == nullptr || !role->is_string()) {
            return invalidField(fmt::format("messages[{}].role", i), "must be a string");
        }
        if (!message->contains("content")) {
            return invalidField(fmt::format("messages[{}].content", i), "is required");
        }
    }
    return messages;
}

Result<void> readModelFields(const json::object &object, CallRequest &request)
{
    BOOST_OUTCOME_TRY(request.messages, readMessages(object));
    const std::string_view field = object.contains("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    BOOST_OUTCOME_TRY(request.maxTokens, readNumber(object, field, 0, 1, maxTokensOfCall));
    BOOST_OUTCOME_TRY(request.isStream, readBool(object, "stream", false));
    for (const std::string_view name : samplingFields) {
        if (const json::value *value = object.if_contains(name)) {
            request.parameters.emplace(name, *value);
        }
    }
    return boost::outcome_v2::success();
}

Result<void> readServiceFields(const json::object &object, CallRequest &request)
{
    request.kind = CallKind::Service;
    BOOST_OUTCOME_TRY(request.service, readText(object, "service", true));
    BOOST_OUTCOME_TRY(request.method, readText(object, "method", true));
    BOOST_OUTCOME_TRY(request.path, readText(object, "path", true));
    BOOST_OUTCOME_TRY(request.isIdempotent, readBool(object, "idempotent", false));
    if (std::find(serviceMethods.begin(), serviceMethods.end(), request.method) == serviceMethods.end()) {
        return invalidField("method", "must be GET, POST, PUT, DELETE or PATCH");
    }
    const auto isForbidden
        = [](char c) { return static_cast<unsigned char>(c) <= ' ' || static_cast<unsigned char>(c) >= 0x7FU; };
    if (request.path.empty() || request.path.front() != '/'
        || std::any_of(request.path.begin(), request.path.end(), isForbidden)) {
        return invalidField("path", "must begin with '/' and contain no whitespace or control characters");
    }
    if (const json::value *body = object.if_contains("body")) {
        request.body = body->is_string() ? std::string(body->as_string()) : json::serialize(*body);
    }
    return boost::outcome_v2::success();
}

Result<void> rejectUnknownFields(const json::object &object, std::initializer_list<std::string_view> known)
{
    for (const auto &field : object) {
        const bool isSampling
            = std::find(samplingFields.begin(), samplingFields.end(), field.key()) != samplingFields.end();
        if (!isSampling && std::find(known.begin(), known.end(), std::string_view(field.key())) == known.end()) {
            return invalidField(field.key(), "is not known");
        }
    }
    return boost::outcome_v2::success();
}

} // namespace

Result<json::object> parseJsonObject(std::string_view text)
{
    json::parse_options options;
    options.max_depth = maxJsonDepth;
    boost::system::error_code error;
    json::value value = json::parse(text, error, {}, options);
    if (error) {
        return invalidField({}, "the body is not JSON: " + error.message());
    }
    if (!value.is_object()) {
        return invalidField({}, "the body must be a JSON object");
    }
    return std::move(value.as_object());
}

Result<CallRequest> parseCallRequest(std::string_view text)
{
    BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(text));
    CallRequest request;
    BOOST_OUTCOME_TRY(const std::int64_t sequence, readNumber(object, "sequence", 0, 1, 1'000'000));
    if (sequence == 0) {
        return invalidField("sequence", "is required");
    }
    request.sequence = static_cast<std::uint32_t>(sequence);
    BOOST_OUTCOME_TRY(const std::string kind, readText(object, "kind", true));
    if (kind == "model") {
        BOOST_OUTCOME_TRYV(rejectUnknownFields(object, {"sequence", "kind", "messages", "max_tokens", "stream"}));
        BOOST_OUTCOME_TRYV(readModelFields(object, request));
    } else if (kind == "service") {
        BOOST_OUTCOME_TRYV(
            rejectUnknownFields(object, {"sequence", "kind", "service", "method", "path", "body", "idempotent"}));
        BOOST_OUTCOME_TRYV(readServiceFields(object, request));
    } else {
        return invalidField("kind", "must be 'model' or 'service'");
    }
    return request;
}

Result<CallRequest> parseChatRequest(std::string_view text, std::string &modelName)
{
    BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(text));
    CallRequest request;
    BOOST_OUTCOME_TRY(modelName, readText(object, "model", true));
    BOOST_OUTCOME_TRY(const std::int64_t count, readNumber(object, "n", 1, 1, 1));
    static_cast<void>(count);
    BOOST_OUTCOME_TRYV(readModelFields(object, request));
    return request;
}

Result<ProgramRequest> parseProgramRequest(std::string_view text)
{
    BOOST_OUTCOME_TRY(const json::object object, parseJsonObject(text));
    BOOST_OUTCOME_TRYV(rejectUnknownFields(object, {"deployment", "class", "budget_tokens", "deadline_ms", "parent"}));
    ProgramRequest request;
    BOOST_OUTCOME_TRY(request.deployment, readText(object, "deployment", true));
    BOOST_OUTCOME_TRY(request.workClass, readText(object, "class", true));
    BOOST_OUTCOME_TRY(request.budgetTokens, readNumber(object, "budget_tokens", 0, 1, maxBudgetTokens));
    BOOST_OUTCOME_TRY(request.timeLimitMs, readNumber(object, "deadline_ms", 0, 1, maxTimeLimitMs));
    BOOST_OUTCOME_TRY(request.parent, readText(object, "parent", false));
    if (!request.parent.empty() && !isProgramId(request.parent)) {
        return invalidField("parent", "must be a program's id");
    }
    return request;
}

std::string encodeCallRequest(const CallRequest &request)
{
    json::object object;
    if (request.kind == CallKind::Model) {
        object["messages"] = request.messages;
        object["max_tokens"] = request.maxTokens;
        object["parameters"] = request.parameters;
    } else {
        object["service"] = request.service;
        object["method"] = request.method;
        object["path"] = request.path;
        object["body"] = request.body;
    }
    return json::serialize(object);
}

CallRequest decodeCallRequest(CallKind kind, std::string_view text)
{
    CallRequest request;
    request.kind = kind;
    const json::value value = json::parse(text);
    const json::object &object = value.as_object();
    if (kind == CallKind::Model) {
        request.messages = object.at("messages").as_array();
        request.maxTokens = object.at("max_tokens").as_int64();
        request.parameters = object.at("parameters").as_object();
    } else {
        request.service = object.at("service").as_string();
        request.method = object.at("method").as_string();
        request.path = object.at("path").as_string();
        request.body = object.at("body").as_string();
    }
    return request;
}

std::int64_t promptTokenBound(const json::array &messages)
{
    std::int64_t bound = 0;
    for (const json::value &message : messages) {
        bound += static_cast<std::int64_t>(json::serialize(message.as_object().at("content")).size())
            + messageOverheadTokens;
    }
    return bound;
}

json::array historyMessages(const Program &program, std::uint32_t before)
{
    json::array messages;
    for (const auto &[sequence, call] : program.calls()) {
        if (sequence >= before) {
            break;
        }
        if (call.accepted.kind != CallKind::Model || !call.result || call.result->outcome != Outcome::Ran) {
            continue;
        }
        for (json::value &message : decodeCallRequest(CallKind::Model, call.accepted.request).messages) {
            messages.push_back(std::move(message));
        }
        messages.push_back(json::object {{"role", "assistant"}, {"content", call.result->answer}});
    }
    return messages;
}

json::array historyCalls(const Program &program)
{
    json::array calls;
    for (const auto &[sequence, call] : program.calls()) {
        json::object entry;
        entry["sequence"] = sequence;
        entry["kind"] = nameOf(callKindNames, call.accepted.kind);
        entry["state"] = nameOf(callStateNames, call.machine.state());
        entry["request"] = json::parse(call.accepted.request);
        if (call.result) {
            entry["outcome"] = nameOf(outcomeNames, call.result->outcome);
            entry["answer"] = call.result->answer;
            if (!call.result->errorKind.empty()) {
                entry["error"]
                    = json::object {{"kind", call.result->errorKind}, {"message", call.result->errorMessage}};
            }
        }
        calls.push_back(std::move(entry));
    }
    return calls;
}

json::array withoutHistory(const json::array &messages, const json::array &history)
{
    // Compares role and content only, as clients may drop or reorder other fields.
    const auto isSame = [](const json::value &a, const json::value &b) {
        return a.at("role") == b.at("role") && a.at("content") == b.at("content");
    };
    if (messages.size() <= history.size() || !std::equal(history.begin(), history.end(), messages.begin(), isSame)) {
        return messages;
    }
    return json::array(messages.begin() + history.size(), messages.end());
}

} // namespace cardamompost
