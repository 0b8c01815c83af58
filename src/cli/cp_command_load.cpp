#include "cp_command.hpp"
#include "cp_load_profile.hpp"
#include "cp_load_report.hpp"

#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/net/cp_await.hpp>

#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <array>
#include <cmath>
#include <fstream>
#include <iostream>
#include <thread>

namespace cardamompost::cli
{

namespace asio = boost::asio;
namespace json = boost::json;
namespace po = boost::program_options;

namespace
{

constexpr Milliseconds requestTimeout {30'000};
constexpr Milliseconds callTimeout {300'000};
constexpr Milliseconds progressInterval {1000};
constexpr Milliseconds directoryInterval {2000};
constexpr std::int64_t agentBudgetTokens = 4000;

constexpr std::array<std::string_view, 16> vocabulary {"hold",  "hatch",   "grain", "clinker", "trim", "berth",
                                                       "draft", "ballast", "gate",  "stand",   "bank", "inbound",
                                                       "crane", "shift",   "port",  "survey"};

std::string makeText(std::int64_t count, std::mt19937_64 &random)
{
    std::string text;
    for (std::int64_t i = 0; i < count; ++i) {
        text += i == 0 ? "" : " ";
        text += vocabulary[random() % vocabulary.size()];
    }
    return text;
}

//! Runs one program of the load and records its outcome.
class LoadProgram
{
public:
    LoadProgram(ApiClient &client, LoadReport &report, std::string deployment, std::string service,
                const LoadShape &shape, std::uint64_t seed)
        : client_(client)
        , report_(report)
        , deployment_(std::move(deployment))
        , service_(std::move(service))
        , shape_(shape)
        , random_(seed)
    {
        outcome_.workClass = shape.workClass;
    }

    asio::awaitable<void> run()
    {
        const bool isDone = co_await runTurns();
        outcome_.isFinished = isDone;
        if (!program_.empty()) {
            co_await end(program_);
        }
        report_.add(outcome_);
    }

private:
    asio::awaitable<bool> runTurns()
    {
        program_ = co_await create(std::string());
        if (program_.empty()) {
            co_return false;
        }
        const std::int64_t turns = shape_.turns.draw(random_);
        for (std::int64_t turn = 0; turn < turns; ++turn) {
            const double choice = std::uniform_real_distribution<>(0.0, 1.0)(random_);
            bool isDone = false;
            if (choice < shape_.agentShare) {
                isDone = co_await runAgent();
            } else if (choice < shape_.agentShare + shape_.serviceShare && !service_.empty()) {
                isDone = co_await runService();
            } else {
                isDone = co_await runModel(program_, nextSequence_, true);
            }
            if (!isDone) {
                co_return false;
            }
            co_await sleepFor(Milliseconds(shape_.pauseMs.draw(random_)));
        }
        co_return co_await checkHistory();
    }

    asio::awaitable<std::string> create(std::string parent)
    {
        json::object body {{"deployment", deployment_}, {"class", shape_.workClass}};
        if (!parent.empty()) {
            body["parent"] = parent;
            body["budget_tokens"] = agentBudgetTokens;
        }
        HttpHeaders headers;
        headers["Idempotency-Key"] = makeProgramId();
        std::string text = json::serialize(body);
        const Result<ApiAnswer> answer
            = co_await client_.request("POST", "/v1/programs", std::move(text), std::move(headers), requestTimeout);
        if (!answer || answer.value().response.status != 201) {
            outcome_.error
                = "create: " + (answer ? answer.value().response.body.substr(0, 160) : answer.error().message);
            ++outcome_.notRun;
            co_return std::string();
        }
        const json::value created = json::parse(answer.value().response.body);
        co_return std::string(created.at("program").as_string());
    }

    asio::awaitable<void> end(std::string program)
    {
        HttpHeaders headers;
        std::string target = "/v1/programs/" + program;
        const Result<ApiAnswer> answer
            = co_await client_.request("DELETE", std::move(target), std::string(), std::move(headers), requestTimeout);
        if (!answer && outcome_.error.empty()) {
            outcome_.error = "end: " + answer.error().message;
        }
    }

    asio::awaitable<bool> runModel(std::string program, std::int64_t sequence, bool isMainProgram)
    {
        const json::object message {{"role", "user"}, {"content", makeText(shape_.promptWords.draw(random_), random_)}};
        json::object call {{"sequence", sequence},
                           {"kind", "model"},
                           {"messages", json::array {message}},
                           {"max_tokens", shape_.maxTokens.draw(random_)}};
        const StreamedCall streamed
            = co_await client_.streamCall(program, std::move(call), makeProgramId(), callTimeout);
        ++outcome_.calls;
        outcome_.resumes += static_cast<std::uint64_t>(streamed.resumes);
        outcome_.workMs += static_cast<double>(streamed.total.count());
        outcome_.longestSilenceMs
            = std::max(outcome_.longestSilenceMs, static_cast<double>(streamed.longestSilence.count()));
        if (streamed.outcome != "ran") {
            outcome_.notRun += streamed.outcome == "not-run" ? 1 : 0;
            outcome_.unknown += streamed.outcome == "not-run" ? 0 : 1;
            outcome_.error
                = streamed.outcome.empty() ? "no answer in time" : json::serialize(streamed.error).substr(0, 160);
            co_return false;
        }
        outcome_.firstTokenMs.push_back(static_cast<double>(streamed.firstToken.count()));
        const json::value &usage = streamed.final.at("usage");
        outcome_.promptTokens += usage.at("prompt_tokens").as_int64();
        outcome_.completionTokens += usage.at("completion_tokens").as_int64();
        outcome_.cachedTokens += usage.at("prompt_tokens_details").at("cached_tokens").as_int64();
        outcome_.isHistoryBroken = outcome_.isHistoryBroken || streamed.text != streamed.final.at("text").as_string();
        if (isMainProgram) {
            messages_.push_back(message);
            messages_.push_back(json::object {{"role", "assistant"}, {"content", streamed.text}});
            ++nextSequence_;
        }
        co_return true;
    }

    asio::awaitable<bool> runAgent()
    {
        const std::string child = co_await create(program_);
        if (child.empty()) {
            co_return false;
        }
        const bool isDone = co_await runModel(child, 1, false);
        co_await end(child);
        co_return isDone;
    }

    asio::awaitable<bool> runService()
    {
        const json::object call {{"sequence", nextSequence_}, {"kind", "service"}, {"service", service_},
                                 {"method", "POST"},          {"path", "/load"},   {"body", makeText(5, random_)},
                                 {"idempotent", false}};
        HttpHeaders headers;
        headers["Idempotency-Key"] = makeProgramId();
        std::string target = "/v1/programs/" + program_ + "/calls";
        std::string text = json::serialize(call);
        const auto startedAt = std::chrono::steady_clock::now();
        const Result<ApiAnswer> answer
            = co_await client_.request("POST", std::move(target), std::move(text), std::move(headers), callTimeout);
        outcome_.workMs
            += std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - startedAt).count();
        ++outcome_.calls;
        const std::string outcome
            = answer ? std::string(answer.value().response.header("Cardamompost-Outcome")) : "unknown";
        if (outcome == "ran") {
            ++nextSequence_;
            co_return true;
        }
        outcome_.notRun += outcome == "not-run" ? 1 : 0;
        outcome_.unknown += outcome == "not-run" ? 0 : 1;
        outcome_.error = answer ? answer.value().response.body.substr(0, 160) : answer.error().message;
        // An answered call with outcome "unknown" keeps its sequence number, so the program continues after it.
        nextSequence_ += outcome == "unknown" ? 1 : 0;
        co_return outcome == "unknown" && answer.has_value();
    }

    asio::awaitable<bool> checkHistory()
    {
        HttpHeaders headers;
        std::string target = "/v1/programs/" + program_ + "/history";
        const Result<ApiAnswer> answer
            = co_await client_.request("GET", std::move(target), std::string(), std::move(headers), requestTimeout);
        if (!answer || answer.value().response.status != 200) {
            outcome_.error
                = "history: " + (answer ? answer.value().response.body.substr(0, 160) : answer.error().message);
            co_return false;
        }
        const json::value body = json::parse(answer.value().response.body);
        const bool isComplete = body.at("messages") == messages_
            && body.at("history").as_array().size() + 1 == static_cast<std::size_t>(nextSequence_);
        outcome_.isHistoryBroken = outcome_.isHistoryBroken || !isComplete;
        co_return true;
    }

    ApiClient &client_;
    LoadReport &report_;
    std::string deployment_;
    std::string service_;
    LoadShape shape_;
    std::mt19937_64 random_;
    std::string program_;
    std::int64_t nextSequence_ = 1;
    json::array messages_;
    ProgramOutcome outcome_;
};

struct LoadOptions {
    LoadProfile profile;
    std::string deployment;
    std::string service;
    double programsPerSecond = 0;
    double seconds = 0;
    std::uint64_t seed = 0;
};

const LoadShape &drawShape(const LoadProfile &profile, std::mt19937_64 &random)
{
    std::vector<double> shares;
    for (const LoadShape &shape : profile.shapes) {
        shares.push_back(shape.share);
    }
    return profile.shapes[std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random)];
}

asio::awaitable<void> runProgram(std::unique_ptr<LoadProgram> program)
{
    co_await program->run();
}

// Open-loop arrivals: programs start whether or not earlier ones have ended.
asio::awaitable<void> generateArrivals(ApiClient &client, LoadReport &report, LoadOptions options,
                                       asio::any_io_executor executor)
{
    std::mt19937_64 random(options.seed);
    const auto startedAt = std::chrono::steady_clock::now();
    double elapsedSeconds = 0;
    while (elapsedSeconds < options.seconds && !wasInterrupted()) {
        const LoadProfile &profile = options.profile;
        const bool isBurst = profile.burstEverySeconds > 0
            && std::fmod(elapsedSeconds, profile.burstEverySeconds) < profile.burstSeconds;
        const double rate = options.programsPerSecond * (isBurst ? profile.burstFactor : 1.0);
        elapsedSeconds += std::exponential_distribution<>(rate)(random);
        asio::steady_timer timer(co_await asio::this_coro::executor,
                                 startedAt + Milliseconds(static_cast<std::int64_t>(elapsedSeconds * 1000)));
        co_await timer.async_wait(asio::use_awaitable);
        auto program = std::make_unique<LoadProgram>(client, report, options.deployment, options.service,
                                                     drawShape(profile, random), random());
        report.recordStart();
        asio::co_spawn(asio::make_strand(executor), runProgram(std::move(program)), asio::detached);
    }
}

asio::awaitable<void> refreshEntriesPeriodically(ApiClient &client, const std::atomic<bool> &isOver)
{
    while (!isOver) {
        co_await client.refreshEntries(std::string());
        co_await sleepFor(directoryInterval);
    }
}

int load(const CommandContext &context)
{
    const std::optional<LoadProfile> profile = findProfile(context.words.at(0));
    if (!profile) {
        std::cerr << "cardamompost load: PROFILE must be okpara, gatewise, short-answers or long-answers\n";
        return exitUsage;
    }
    LoadOptions options {*profile,
                         context.values["deployment"].as<std::string>(),
                         context.values["service"].as<std::string>(),
                         context.values["rate"].as<double>(),
                         context.values["seconds"].as<double>(),
                         context.values["seed"].as<std::uint64_t>()};
    ApiClient client(context.entries, context.key);
    LoadReport report;
    asio::io_context io;
    std::atomic<bool> isArriving {true};
    std::atomic<bool> isOver {false};
    asio::co_spawn(asio::make_strand(io.get_executor()), generateArrivals(client, report, options, io.get_executor()),
                   [&](std::exception_ptr) { isArriving = false; });
    asio::io_context directoryIo;
    asio::co_spawn(directoryIo, refreshEntriesPeriodically(client, isOver), asio::detached);
    std::thread directory([&] { directoryIo.run(); });
    std::vector<std::thread> threads;
    for (int i = 0; i < context.values["threads"].as<int>(); ++i) {
        threads.emplace_back([&] { io.run(); });
    }
    std::atomic<bool> isFinished {false};
    std::thread progress([&] {
        while (!isFinished) {
            std::cerr << "\r" << report.progressLine() << (isArriving ? "" : " (no more arrivals)") << "   "
                      << std::flush;
            std::this_thread::sleep_for(progressInterval);
        }
        std::cerr << "\n";
    });
    for (std::thread &thread : threads) {
        thread.join();
    }
    isFinished = true;
    isOver = true;
    progress.join();
    directory.join();
    const std::string text = json::serialize(report.body());
    const std::string file = context.values["report"].as<std::string>();
    if (!file.empty()) {
        std::ofstream(file, std::ios::binary) << text << "\n";
    }
    if (context.isJson) {
        std::cout << text << "\n";
    } else {
        report.print();
    }
    return wasInterrupted() ? exitInterrupted : report.isClean() ? exitOk : exitCheckFailed;
}

} // namespace

std::vector<Command> loadCommands()
{
    const auto options = [](po::options_description &description) {
        auto add = description.add_options();
        add("deployment", po::value<std::string>()->required(), "deployment used by the programs");
        add("service", po::value<std::string>()->default_value(""), "service for non-idempotent calls");
        add("rate", po::value<double>()->default_value(5.0), "arrival rate in programs per second");
        add("seconds", po::value<double>()->default_value(10.0), "duration of the arrivals in seconds");
        add("seed", po::value<std::uint64_t>()->default_value(1), "seed of the random generator");
        add("threads", po::value<int>()->default_value(2), "number of worker threads");
        add("report", po::value<std::string>()->default_value(""), "file to write the JSON report to");
    };
    return {{"load", "generate load with many programs and report the results", "PROFILE", options, load}};
}

} // namespace cardamompost::cli
