#include "cp_command.hpp"

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

std::string textAt(const json::value &object, std::string_view key)
{
    const json::value *value = object.as_object().if_contains(key);
    if (value == nullptr) {
        return "-";
    }
    return value->is_string() ? std::string(value->as_string()) : json::serialize(*value);
}

int status(const CommandContext &context)
{
    ApiClient client(context.entries, context.key);
    HttpHeaders headers;
    const Result<ApiAnswer> answer
        = runBlocking(client.request("GET", "/v1/operator/status", {}, headers, requestTimeout));
    if (!answer) {
        return reportError(answer.error());
    }
    if (answer.value().response.status != 200) {
        return reportError(context, answer.value().response);
    }
    if (context.isJson) {
        std::cout << answer.value().response.body;
        return exitOk;
    }
    const json::value body = json::parse(answer.value().response.body);
    std::cout << fmt::format("leader {}  term {}  configuration {}  partitions {} ({} without owner)\n\n",
                             textAt(body, "leader"), textAt(body, "term"), textAt(body, "configuration_version"),
                             textAt(body, "partitions"), textAt(body, "partitions_without_owner"));
    std::vector<std::vector<std::string>> rows;
    for (const json::value &vm : body.at("vms").as_array()) {
        rows.push_back({textAt(vm, "name"), textAt(vm, "state"), textAt(vm, "failure_domain"), textAt(vm, "http"),
                        textAt(vm, "partitions"), textAt(vm, "programs"), textAt(vm, "configuration_version"),
                        textAt(vm, "since_contact_ms")});
    }
    printTable({"VM", "STATE", "DOMAIN", "HTTP", "PARTITIONS", "PROGRAMS", "CONFIGURATION", "SILENT MS"}, rows);
    std::vector<std::vector<std::string>> replicas;
    for (const json::value &queue : body.at("queues").as_array()) {
        for (const json::value &replica : queue.at("replicas").as_array()) {
            replicas.push_back({textAt(queue, "deployment"), textAt(queue, "waiting"), textAt(replica, "name"),
                                textAt(replica, "own"), textAt(replica, "others"), textAt(replica, "slots"),
                                textAt(replica, "closed")});
        }
    }
    if (!replicas.empty()) {
        std::cout << "\nqueues as reported by " << textAt(body, "vm") << ":\n";
        printTable({"DEPLOYMENT", "WAITING", "REPLICA", "OWN", "OTHERS", "SLOTS", "CLOSED"}, replicas);
    }
    return exitOk;
}

int entries(const CommandContext &context)
{
    ApiClient client(context.entries, context.key);
    const std::string program = context.values["program"].as<std::string>();
    const std::string target = program.empty() ? "/v1/entries" : "/v1/entries?program=" + program;
    HttpHeaders headers;
    const Result<ApiAnswer> answer = runBlocking(client.request("GET", target, {}, headers, requestTimeout));
    if (!answer) {
        return reportError(answer.error());
    }
    if (answer.value().response.status != 200) {
        return reportError(context, answer.value().response);
    }
    if (context.isJson) {
        std::cout << answer.value().response.body;
        return exitOk;
    }
    const json::value body = json::parse(answer.value().response.body);
    std::vector<std::vector<std::string>> rows;
    for (const json::value &entry : body.at("entries").as_array()) {
        rows.push_back({textAt(entry, "name"), textAt(entry, "address"), textAt(entry, "failure_domain"),
                        textAt(entry, "weight"), textAt(entry, "owner")});
    }
    printTable({"VM", "ADDRESS", "DOMAIN", "WEIGHT", "OWNER"}, rows);
    std::cout << "valid for " << textAt(body, "ttl_ms") << " ms\n";
    return exitOk;
}

int drain(const CommandContext &context)
{
    ApiClient client(context.entries, context.key);
    const std::string target = "/v1/operator/vms/" + context.words.at(0) + "/drain";
    HttpHeaders headers;
    const Result<ApiAnswer> answer = runBlocking(client.request("POST", target, {}, headers, requestTimeout));
    if (!answer) {
        return reportError(answer.error());
    }
    if (answer.value().response.status != 202) {
        return reportError(context, answer.value().response);
    }
    if (context.isJson) {
        std::cout << answer.value().response.body;
    } else {
        std::cout << context.words.at(0) << " is draining\n";
    }
    return exitOk;
}

} // namespace

std::vector<Command> statusCommands()
{
    const auto noOptions = [](po::options_description &) {};
    const auto entriesOptions = [](po::options_description &options) {
        options.add_options()("program", po::value<std::string>()->default_value(""), "put this program's owner first");
    };
    return {{"status", "show VMs, partitions and queues", "", noOptions, status},
            {"entries", "show the addresses that clients should use", "", entriesOptions, entries},
            {"drain", "take a VM out of service without interrupting requests", "VM", noOptions, drain}};
}

} // namespace cardamompost::cli
