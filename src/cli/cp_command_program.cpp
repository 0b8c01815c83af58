#include "cp_command.hpp"
#include "cp_program_script.hpp"

#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/net/cp_await.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace cardamompost::cli
{

namespace asio = boost::asio;
namespace json = boost::json;
namespace po = boost::program_options;

namespace
{

constexpr Milliseconds requestTimeout {10'000};
constexpr Milliseconds callTimeout {120'000};

//! Progress and messages of a program, kept in a file so that a later run can continue and check it.
struct Transcript {
    std::string program;
    std::int64_t nextSequence = 1;
    std::int64_t elapsedMs = 0;
    json::array messages;

    static Transcript load(const std::string &file)
    {
        Transcript transcript;
        const Result<std::string> text = file.empty() ? Result<std::string>(std::string()) : readFile(file);
        if (!text || text.value().empty()) {
            return transcript;
        }
        const json::value value = json::parse(text.value());
        transcript.program = value.at("program").as_string();
        transcript.nextSequence = value.at("next_sequence").as_int64();
        transcript.elapsedMs = value.at("elapsed_ms").as_int64();
        transcript.messages = value.at("messages").as_array();
        return transcript;
    }

    void save(const std::string &file) const
    {
        if (file.empty()) {
            return;
        }
        const json::object body {
            {"program", program}, {"next_sequence", nextSequence}, {"elapsed_ms", elapsedMs}, {"messages", messages}};
        std::ofstream(file, std::ios::binary) << json::serialize(body);
    }
};

//! Runs the turns of a script in order.
class ScriptRunner
{
public:
    ScriptRunner(const CommandContext &context, ProgramScript script)
        : context_(context)
        , client_(context.entries, context.key)
        , script_(std::move(script))
        , transcript_(Transcript::load(context.values["transcript"].as<std::string>()))
    {
    }

    asio::awaitable<int> run()
    {
        if (transcript_.program.empty()) {
            const int created = co_await create(std::string(), transcript_.program);
            if (created != exitOk) {
                co_return created;
            }
        }
        co_await client_.refreshEntries(transcript_.program);
        const std::size_t from = static_cast<std::size_t>(context_.values["from"].as<int>()) - 1;
        const std::size_t to
            = std::min(static_cast<std::size_t>(context_.values["to"].as<int>()), script_.turns.size());
        const auto startedAt = std::chrono::steady_clock::now();
        int code = exitOk;
        for (std::size_t i = from; i < to && code == exitOk; ++i) {
            if (wasInterrupted()) {
                code = exitInterrupted;
                break;
            }
            code = co_await runTurn(script_.turns[i]);
        }
        transcript_.elapsedMs += toMs(std::chrono::steady_clock::now() - startedAt);
        if (code == exitOk) {
            code = co_await checkHistory();
        }
        if (code == exitOk && context_.values.count("keep") == 0) {
            code = co_await end(transcript_.program);
        }
        transcript_.save(context_.values["transcript"].as<std::string>());
        printResult(code);
        co_return code;
    }

private:
    asio::awaitable<int> create(std::string parent, std::string &program)
    {
        json::object body {{"deployment", script_.deployment}, {"class", script_.workClass}};
        if (!parent.empty()) {
            body["parent"] = parent;
            body["budget_tokens"] = agentBudgetTokens_;
        } else if (script_.budgetTokens != 0) {
            body["budget_tokens"] = script_.budgetTokens;
        }
        HttpHeaders headers;
        headers["Idempotency-Key"] = makeProgramId();
        headers["Content-Type"] = "application/json";
        std::string text = json::serialize(body);
        const Result<ApiAnswer> answer
            = co_await client_.request("POST", "/v1/programs", std::move(text), std::move(headers), requestTimeout);
        if (!answer) {
            co_return reportError(answer.error());
        }
        if (answer.value().response.status != 201) {
            co_return reportError(context_, answer.value().response);
        }
        program = json::parse(answer.value().response.body).at("program").as_string();
        co_return exitOk;
    }

    asio::awaitable<int> end(std::string program)
    {
        HttpHeaders headers;
        std::string target = "/v1/programs/" + program;
        const Result<ApiAnswer> answer
            = co_await client_.request("DELETE", std::move(target), std::string(), std::move(headers), requestTimeout);
        if (!answer) {
            co_return reportError(answer.error());
        }
        co_return answer.value().response.status == 200 ? exitOk : reportError(context_, answer.value().response);
    }

    asio::awaitable<int> runTurn(const Turn &turn)
    {
        switch (turn.kind) {
        case TurnKind::Pause: {
            co_await sleepFor(Milliseconds(turn.pauseMs));
            rows_.push_back({turn.name, "pause", "-", fmt::format("{} ms", turn.pauseMs), "-", "-", ""});
            co_return exitOk;
        }
        case TurnKind::Model:
            co_return co_await runModel(turn, transcript_.program, transcript_.nextSequence, true);
        case TurnKind::Agent:
            co_return co_await runAgent(turn);
        case TurnKind::Service:
            break;
        }
        co_return co_await runService(turn);
    }

    asio::awaitable<int> runModel(const Turn &turn, std::string program, std::int64_t sequence, bool isMainProgram)
    {
        const json::object message {{"role", "user"}, {"content", turn.content}};
        json::object call {{"sequence", sequence},
                           {"kind", "model"},
                           {"messages", json::array {message}},
                           {"max_tokens", turn.maxTokens}};
        const StreamedCall streamed
            = co_await client_.streamCall(program, std::move(call), makeProgramId(), callTimeout);
        addRow(turn, streamed, isMainProgram ? "model" : "agent");
        if (streamed.outcome != "ran") {
            std::cerr << "cardamompost: turn " << turn.name << ": " << json::serialize(streamed.error) << "\n";
            co_return exitRefused;
        }
        // The concatenated stream must equal the final text.
        if (streamed.text != streamed.final.at("text").as_string()) {
            std::cerr << "cardamompost: turn " << turn.name << ": the streamed answer differs from the final one\n";
            co_return exitCheckFailed;
        }
        if (isMainProgram) {
            transcript_.messages.push_back(message);
            transcript_.messages.push_back(json::object {{"role", "assistant"}, {"content", streamed.text}});
            ++transcript_.nextSequence;
        }
        co_return exitOk;
    }

    asio::awaitable<int> runAgent(const Turn &turn)
    {
        std::string child;
        const int created = co_await create(transcript_.program, child);
        if (created != exitOk) {
            co_return created;
        }
        const int code = co_await runModel(turn, child, 1, false);
        const int ended = co_await end(child);
        co_return code == exitOk ? ended : code;
    }

    asio::awaitable<int> runService(const Turn &turn)
    {
        const json::object call {{"sequence", transcript_.nextSequence},
                                 {"kind", "service"},
                                 {"service", turn.service},
                                 {"method", turn.method},
                                 {"path", turn.path},
                                 {"body", turn.body},
                                 {"idempotent", turn.isIdempotent}};
        HttpHeaders headers;
        headers["Idempotency-Key"] = makeProgramId();
        headers["Content-Type"] = "application/json";
        std::string target = "/v1/programs/" + transcript_.program + "/calls";
        std::string text = json::serialize(call);
        const auto startedAt = std::chrono::steady_clock::now();
        const Result<ApiAnswer> answer
            = co_await client_.request("POST", std::move(target), std::move(text), std::move(headers), callTimeout);
        const std::int64_t durationMs = toMs(std::chrono::steady_clock::now() - startedAt);
        if (!answer) {
            co_return reportError(answer.error());
        }
        const HttpResponse &response = answer.value().response;
        const std::string outcome(response.header("Cardamompost-Outcome"));
        rows_.push_back({turn.name, "service", outcome, fmt::format("{} ms", durationMs), "-", "-", ""});
        if (outcome != "ran") {
            co_return reportError(context_, response);
        }
        ++transcript_.nextSequence;
        co_return exitOk;
    }

    asio::awaitable<int> checkHistory()
    {
        HttpHeaders headers;
        std::string target = "/v1/programs/" + transcript_.program + "/history";
        const Result<ApiAnswer> answer
            = co_await client_.request("GET", std::move(target), std::string(), std::move(headers), requestTimeout);
        if (!answer) {
            co_return reportError(answer.error());
        }
        if (answer.value().response.status != 200) {
            co_return reportError(context_, answer.value().response);
        }
        const json::value body = json::parse(answer.value().response.body);
        isHistoryComplete_ = body.at("messages") == transcript_.messages
            && body.at("history").as_array().size() + 1 == static_cast<std::size_t>(transcript_.nextSequence);
        co_return isHistoryComplete_ ? exitOk : exitCheckFailed;
    }

    void addRow(const Turn &turn, const StreamedCall &streamed, std::string_view kind)
    {
        const json::value *usage = streamed.final.if_contains("usage");
        const std::string cached
            = usage == nullptr ? "-" : json::serialize(usage->at("prompt_tokens_details").at("cached_tokens"));
        const std::string first
            = streamed.firstToken.count() < 0 ? "-" : fmt::format("{} ms", streamed.firstToken.count());
        rows_.push_back({turn.name, std::string(kind), streamed.outcome, fmt::format("{} ms", streamed.total.count()),
                         first, cached,
                         streamed.resumes == 0 ? "" : fmt::format("resumed {} times", streamed.resumes)});
    }

    void printResult(int code) const
    {
        if (context_.isJson) {
            json::array turns;
            for (const auto &row : rows_) {
                turns.push_back(json::object {{"turn", row[0]},
                                              {"kind", row[1]},
                                              {"outcome", row[2]},
                                              {"total", row[3]},
                                              {"first_token", row[4]},
                                              {"cached_tokens", row[5]}});
            }
            const json::object body {{"program", transcript_.program},
                                     {"latency_ms", transcript_.elapsedMs},
                                     {"history_whole", isHistoryComplete_},
                                     {"exit_code", code},
                                     {"turns", std::move(turns)}};
            std::cout << json::serialize(body) << "\n";
            return;
        }
        std::cout << "program " << transcript_.program << "\n";
        printTable({"TURN", "KIND", "OUTCOME", "TOTAL", "FIRST TOKEN", "CACHED", ""}, rows_);
        std::cout << "program latency " << transcript_.elapsedMs << " ms, history "
                  << (isHistoryComplete_ ? "complete and in order" : "NOT CHECKED OR BROKEN") << "\n";
    }

    static constexpr std::int64_t agentBudgetTokens_ = 4000;

    const CommandContext &context_;
    ApiClient client_;
    ProgramScript script_;
    Transcript transcript_;
    std::vector<std::vector<std::string>> rows_;
    bool isHistoryComplete_ = false;
};

int runScript(const CommandContext &context)
{
    const Result<std::string> text = readFile(context.words.at(0));
    if (!text) {
        reportError(text.error());
        return exitUsage;
    }
    ProgramScriptResult parsed = parseProgramScript(text.value());
    for (const ConfigError &error : parsed.errors) {
        std::cerr << context.words.at(0) << ": " << error.toString() << "\n";
    }
    if (!parsed.errors.empty()) {
        return exitInvalidDocument;
    }
    ScriptRunner runner(context, std::move(parsed.script));
    return runBlocking(runner.run());
}

int printBody(const CommandContext &context, const std::string &method, const std::string &suffix)
{
    ApiClient client(context.entries, context.key);
    HttpHeaders headers;
    const Result<ApiAnswer> answer = runBlocking(
        client.request(method, "/v1/programs/" + context.words.at(0) + suffix, {}, headers, requestTimeout));
    if (!answer) {
        return reportError(answer.error());
    }
    const HttpResponse &response = answer.value().response;
    if (response.status >= 300) {
        return reportError(context, response);
    }
    if (context.isJson) {
        std::cout << response.body << "\n";
        return exitOk;
    }
    const json::value body = json::parse(response.body);
    for (const auto &field : body.as_object()) {
        if (!field.value().is_array()) {
            std::cout << fmt::format("{:<16} {}\n", std::string(field.key()),
                                     field.value().is_string() ? std::string(field.value().as_string())
                                                               : json::serialize(field.value()));
            continue;
        }
        std::cout << field.key() << ":\n";
        for (const json::value &item : field.value().as_array()) {
            std::cout << "  " << json::serialize(item) << "\n";
        }
    }
    return exitOk;
}

} // namespace

std::vector<Command> programCommands()
{
    const auto noOptions = [](po::options_description &) {};
    const auto runOptions = [](po::options_description &options) {
        options.add_options()("transcript", po::value<std::string>()->default_value(""),
                              "file with the state of the program; read if it exists, then written")(
            "from", po::value<int>()->default_value(1),
            "first turn to run")("to", po::value<int>()->default_value(1'000'000),
                                 "last turn to run")("keep", "do not end the program after the last turn");
    };
    const auto show = [](const CommandContext &context) { return printBody(context, "GET", ""); };
    const auto history = [](const CommandContext &context) { return printBody(context, "GET", "/history"); };
    // With --log, explains a failed request from log files; otherwise fetches the explanation of a program from an
    // entry.
    const auto explain = [](const CommandContext &context) {
        if (context.values.count("log") != 0) {
            return explainFromLogs(context);
        }
        if (context.entries.empty()) {
            std::cerr << "cardamompost explain: --log FILE or --entry IP:PORT is required\n";
            return static_cast<int>(exitUsage);
        }
        return printBody(context, "GET", "/explanation");
    };
    const auto end = [](const CommandContext &context) { return printBody(context, "DELETE", ""); };
    return {{"program run", "run a scripted program and check its history", "SCRIPT", runOptions, runScript},
            {"program show", "show a program's state and budget", "PROGRAM", noOptions, show},
            {"program history", "show a program's calls", "PROGRAM", noOptions, history},
            {"program end", "end a program", "PROGRAM", noOptions, end},
            {"explain", "show where a program's calls went, or from logs why a request failed", "ID", addLogOptions,
             explain, false}};
}

} // namespace cardamompost::cli
