#include "cp_command.hpp"

#include <cardamompost/config/cp_configuration.hpp>
#include <cardamompost/config/cp_section_document.hpp>
#include <cardamompost/config/cp_settings.hpp>
#include <cardamompost/core/cp_ids.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <iostream>

namespace cardamompost::cli
{

namespace json = boost::json;
namespace po = boost::program_options;

namespace
{

constexpr Milliseconds requestTimeout {10'000};

int printErrors(const CommandContext &context, const std::string &file, const std::vector<ConfigError> &errors)
{
    if (context.isJson) {
        json::array list;
        for (const ConfigError &error : errors) {
            list.push_back(json::object {
                {"line", error.line}, {"section", error.section}, {"key", error.key}, {"message", error.message}});
        }
        std::cout << json::serialize(json::object {{"faults", std::move(list)}}) << "\n";
    } else {
        for (const ConfigError &error : errors) {
            std::cerr << file << ": " << error.toString() << "\n";
        }
        std::cout << (errors.empty() ? "no faults\n" : fmt::format("{} faults\n", errors.size()));
    }
    return errors.empty() ? exitOk : exitInvalidDocument;
}

int check(const CommandContext &context)
{
    const Result<std::string> text = readFile(context.words.at(0));
    if (!text) {
        reportError(text.error());
        return exitUsage;
    }
    return printErrors(context, context.words.at(0), Configuration::parse(text.value()).errors);
}

Result<ApiAnswer> fetchConfiguration(ApiClient &client)
{
    HttpHeaders headers;
    return runBlocking(client.request("GET", "/v1/operator/configuration", {}, headers, requestTimeout));
}

int show(const CommandContext &context)
{
    ApiClient client(context.entries, context.key);
    const Result<ApiAnswer> answer = fetchConfiguration(client);
    if (!answer) {
        return reportError(answer.error());
    }
    const HttpResponse &response = answer.value().response;
    if (response.status != 200) {
        return reportError(context, response);
    }
    if (context.isJson) {
        const json::object body {{"version", std::string(response.header("ETag"))}, {"document", response.body}};
        std::cout << json::serialize(body) << "\n";
    } else {
        std::cout << "; version " << response.header("ETag") << "\n" << response.body;
    }
    return exitOk;
}

int diff(const CommandContext &context)
{
    const Result<std::string> text = readFile(context.words.at(0));
    if (!text) {
        reportError(text.error());
        return exitUsage;
    }
    ApiClient client(context.entries, context.key);
    const Result<ApiAnswer> answer = fetchConfiguration(client);
    if (!answer) {
        return reportError(answer.error());
    }
    if (answer.value().response.status != 200) {
        return reportError(context, answer.value().response);
    }
    const std::string difference = lineDifference(answer.value().response.body, text.value());
    if (context.isJson) {
        std::cout << json::serialize(json::object {{"difference", difference}}) << "\n";
    } else {
        std::cout << (difference.empty() ? "no difference\n" : difference);
    }
    return exitOk;
}

int submit(const CommandContext &context)
{
    const Result<std::string> text = readFile(context.words.at(0));
    if (!text) {
        reportError(text.error());
        return exitUsage;
    }
    const std::vector<ConfigError> errors = Configuration::parse(text.value()).errors;
    if (!errors.empty()) {
        return printErrors(context, context.words.at(0), errors);
    }
    ApiClient client(context.entries, context.key);
    std::string base = context.values["base"].as<std::string>();
    if (base.empty()) {
        const Result<ApiAnswer> current = fetchConfiguration(client);
        if (!current) {
            return reportError(current.error());
        }
        if (current.value().response.status != 200) {
            return reportError(context, current.value().response);
        }
        base = std::string(current.value().response.header("ETag"));
    }
    HttpHeaders headers;
    headers["If-Match"] = base;
    headers["Content-Type"] = "text/plain; charset=utf-8";
    const std::string given = context.values["idempotency-key"].as<std::string>();
    headers["Idempotency-Key"] = given.empty() ? makeProgramId() : given;
    const std::string target = fmt::format("/v1/operator/configuration?wait_ms={}", context.values["wait"].as<int>());
    const Result<ApiAnswer> answer = runBlocking(client.request(
        "PUT", target, text.value(), headers, requestTimeout + Milliseconds(context.values["wait"].as<int>())));
    if (!answer) {
        return reportError(answer.error());
    }
    if (answer.value().response.status != 200) {
        return reportError(context, answer.value().response);
    }
    const json::value body = json::parse(answer.value().response.body);
    const json::value *inForce = body.as_object().if_contains("in_force_everywhere");
    if (context.isJson) {
        std::cout << answer.value().response.body;
    } else {
        const std::string where = inForce == nullptr ? ""
            : inForce->as_bool()                     ? ", in force on every VM"
                                                     : ", not yet in force on every VM";
        std::cout << "version " << body.at("version").as_int64() << where << "\n";
    }
    return inForce == nullptr || inForce->as_bool() ? exitOk : exitCheckFailed;
}

int keys(const CommandContext & /*context*/)
{
    for (const auto *all : {&configurationKeys(), &settingsKeys()}) {
        for (const auto &[section, names] : *all) {
            for (const std::string &name : names) {
                std::cout << section << " " << name << "\n";
            }
        }
    }
    return exitOk;
}

} // namespace

std::vector<Command> configCommands()
{
    const auto noOptions = [](po::options_description &) {};
    const auto submitOptions = [](po::options_description &options) {
        options.add_options()("base", po::value<std::string>()->default_value(""),
                              "version that the document is based on; default: the version in force")(
            "wait", po::value<int>()->default_value(0)->implicit_value(10'000),
            "wait up to this many ms until it is in force on every VM")(
            "idempotency-key", po::value<std::string>()->default_value(""),
            "key that identifies retries of the same submission");
    };
    return {{"config check", "report all errors in a document", "FILE", noOptions, check, false},
            {"config submit", "submit a document as the new configuration", "FILE", submitOptions, submit},
            {"config show", "print the document in force", "", noOptions, show},
            {"config keys", "list the keys of the document and of a process's settings", "", noOptions, keys, false},
            {"config diff", "print what a document would change", "FILE", noOptions, diff}};
}

} // namespace cardamompost::cli
