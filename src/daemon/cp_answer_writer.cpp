#include "cp_answer_writer.hpp"

#include <cardamompost/net/cp_sse_parser.hpp>

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace cardamompost
{

namespace json = boost::json;

namespace
{

constexpr unsigned statusOk = 200;

json::object usageOf(const CallResult &result)
{
    return {{"prompt_tokens", result.promptTokens},
            {"completion_tokens", result.completionTokens},
            {"total_tokens", result.promptTokens + result.completionTokens},
            {"prompt_tokens_details", json::object {{"cached_tokens", result.cachedTokens}}}};
}

std::string_view finishReason(const CallResult &result)
{
    return result.isCutOff ? "length" : "stop";
}

std::string chatId(const AnswerContext &context)
{
    return fmt::format("chatcmpl-{}-{}", context.program, context.sequence);
}

json::object chatObject(const AnswerContext &context, std::string_view type)
{
    return {{"id", chatId(context)}, {"object", type}, {"created", context.createdMs / 1000}, {"model", context.model}};
}

json::object nativeFinal(const AnswerContext &context, const CallResult &result)
{
    json::object body {{"program", context.program},
                       {"sequence", context.sequence},
                       {"kind", nameOf(callKindNames, context.kind)},
                       {"outcome", nameOf(outcomeNames, result.outcome)},
                       {"attempts", result.attempt}};
    if (context.kind == CallKind::Model) {
        body["text"] = result.answer;
        body["usage"] = usageOf(result);
        body["finish_reason"] = finishReason(result);
    } else {
        body["status"] = result.status;
        body["body"] = result.answer;
    }
    return body;
}

json::object chatFinal(const AnswerContext &context, const CallResult &result)
{
    json::object body = chatObject(context, "chat.completion");
    const json::object message {{"role", "assistant"}, {"content", result.answer}};
    body["choices"]
        = json::array {json::object {{"index", 0}, {"message", message}, {"finish_reason", finishReason(result)}}};
    body["usage"] = usageOf(result);
    return body;
}

ApiChunk tokensChunk(const AnswerContext &context, const LiveEvent &event)
{
    ApiChunk chunk;
    chunk.status = statusOk;
    chunk.eventId = event.id;
    if (context.format == ApiFormat::Native) {
        chunk.body = formatSse(event.id, "tokens", json::serialize(json::object {{"text", event.text}}));
        return chunk;
    }
    json::object body = chatObject(context, "chat.completion.chunk");
    const json::object delta {{"role", "assistant"}, {"content", event.text}};
    body["choices"] = json::array {json::object {{"index", 0}, {"delta", delta}, {"finish_reason", nullptr}}};
    chunk.body = formatSse(event.id, {}, json::serialize(body));
    return chunk;
}

ApiChunk finalStreamChunk(const AnswerContext &context, const LiveEvent &event)
{
    const CallResult &result = event.result;
    ApiChunk chunk;
    chunk.status = statusOk;
    chunk.outcome = result.outcome;
    chunk.eventId = event.id;
    chunk.isLast = true;
    if (const auto error = errorOf(result)) {
        chunk.status = answerFor(error->kind).status;
        const bool isNative = context.format == ApiFormat::Native;
        chunk.body = formatSse(0, isNative ? "error" : "", json::serialize(errorBody(*error)))
            + (isNative ? "" : "data: [DONE]\n\n");
        return chunk;
    }
    if (context.format == ApiFormat::Native) {
        chunk.body = formatSse(event.id, "done", json::serialize(nativeFinal(context, result)));
        return chunk;
    }
    json::object last = chatObject(context, "chat.completion.chunk");
    last["choices"] = json::array {
        json::object {{"index", 0}, {"delta", json::object {}}, {"finish_reason", finishReason(result)}}};
    json::object usage = chatObject(context, "chat.completion.chunk");
    usage["choices"] = json::array {};
    usage["usage"] = usageOf(result);
    chunk.body = formatSse(0, {}, json::serialize(last)) + formatSse(event.id, {}, json::serialize(usage))
        + "data: [DONE]\n\n";
    return chunk;
}

std::optional<ApiChunk> restartChunk(const AnswerContext &context)
{
    ApiChunk chunk;
    chunk.status = statusOk;
    if (context.format == ApiFormat::Native) {
        chunk.body = formatSse(0, "restart", "{}");
        return chunk;
    }
    // The OpenAI format can't retract tokens that were sent, so the stream ends with an error.
    Error error = makeError(ErrorKind::BackendFailed,
                            "the answer was restarted after a failure; fetch the result from its program");
    error.outcome = Outcome::Unknown;
    chunk.body = formatSse(0, {}, json::serialize(errorBody(error))) + "data: [DONE]\n\n";
    chunk.outcome = Outcome::Unknown;
    chunk.isLast = true;
    return chunk;
}

} // namespace

json::object errorBody(const Error &error)
{
    json::object fields {{"kind", answerFor(error.kind).name},
                         {"message", error.message},
                         {"outcome", nameOf(outcomeNames, error.effectiveOutcome())}};
    if (error.retryAfter) {
        fields["retry_after_ms"] = error.retryAfter->count();
    }
    return {{"error", std::move(fields)}};
}

ApiChunk errorChunk(const Error &error)
{
    return jsonChunk(answerFor(error.kind).status, errorBody(error), error.effectiveOutcome());
}

ApiChunk jsonChunk(unsigned status, const json::object &body, std::optional<Outcome> outcome)
{
    ApiChunk chunk;
    chunk.status = status;
    chunk.outcome = outcome;
    chunk.body = json::serialize(body);
    chunk.isLast = true;
    return chunk;
}

std::optional<Error> errorOf(const CallResult &result)
{
    if (result.errorKind.empty()) {
        return std::nullopt;
    }
    Error error = makeError(errorKindFromName(result.errorKind).value_or(ErrorKind::Internal), result.errorMessage);
    error.outcome = result.outcome;
    return error;
}

std::optional<ApiChunk> chunkFor(const AnswerContext &context, const LiveEvent &event)
{
    if (event.kind == LiveEvent::Kind::Tokens) {
        return context.isStream ? std::optional(tokensChunk(context, event)) : std::nullopt;
    }
    if (event.kind == LiveEvent::Kind::Restart) {
        return context.isStream ? restartChunk(context) : std::nullopt;
    }
    if (context.isStream) {
        return finalStreamChunk(context, event);
    }
    if (const auto error = errorOf(event.result)) {
        return errorChunk(*error);
    }
    const json::object body
        = context.format == ApiFormat::Native ? nativeFinal(context, event.result) : chatFinal(context, event.result);
    return jsonChunk(statusOk, body, event.result.outcome);
}

json::object programBody(const Program &program)
{
    const BudgetUse &budget = program.budget();
    const auto open = program.firstOpenCall();
    json::object body {
        {"program", program.id()},
        {"deployment", program.created().deployment},
        {"class", program.created().workClass},
        {"state", program.hasEnded() ? "ended" : "live"},
        {"next_sequence", program.nextSequence()},
        {"calls", program.calls().size()},
        {"history_tokens", program.historyTokens()},
        {"budget", json::object {{"limit", budget.limit}, {"spent", budget.spent}, {"reserved", budget.reserved}}}};
    if (open) {
        body["open_call"] = *open;
    }
    if (!program.created().parent.empty()) {
        body["parent"] = program.created().parent;
    }
    if (program.hasEnded()) {
        body["end_reason"] = program.endReason();
    }
    return body;
}

} // namespace cardamompost
