#include "cp_command.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace cardamompost::cli
{

namespace json = boost::json;

namespace
{

std::atomic<int> interrupts {0};

void onInterrupt(int /*signal*/)
{
    // The second Ctrl-C terminates the process immediately.
    if (interrupts.fetch_add(1) > 0) {
        std::_Exit(exitInterrupted);
    }
}

} // namespace

bool wasInterrupted()
{
    return interrupts > 0;
}

void installInterruptHandler()
{
    std::signal(SIGINT, onInterrupt);
}

Result<std::string> readFile(const std::string &name)
{
    std::ostringstream text;
    if (name == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream input(name, std::ios::binary);
    if (!input) {
        return makeError(ErrorKind::InvalidRequest, "can't read '" + name + "'");
    }
    text << input.rdbuf();
    return text.str();
}

int reportError(const Error &error)
{
    std::cerr << "cardamompost: " << error.message << "\n";
    return exitUnreachable;
}

int reportError(const CommandContext &context, const HttpResponse &response)
{
    boost::system::error_code error;
    const json::value body = json::parse(response.body, error);
    const json::object *object = body.if_object();
    const json::value *fields = object == nullptr ? nullptr : object->if_contains("error");
    if (context.isJson || fields == nullptr || !fields->is_object()) {
        std::cerr << response.body << (response.body.ends_with('\n') ? "" : "\n");
        return exitRefused;
    }
    const json::object &details = fields->as_object();
    const auto text = [&](std::string_view key) {
        const json::value *value = details.if_contains(key);
        return value == nullptr  ? std::string()
            : value->is_string() ? std::string(value->as_string())
                                 : json::serialize(*value);
    };
    std::cerr << "cardamompost: " << text("kind") << ": " << text("message") << " (" << text("outcome") << ")\n";
    if (const json::value *errors = details.if_contains("faults")) {
        for (const json::value &configError : errors->as_array()) {
            std::cerr << fmt::format("  line {}: [{}] {}: {}\n", configError.at("line").as_int64(),
                                     configError.at("section").as_string().c_str(),
                                     configError.at("key").as_string().c_str(),
                                     configError.at("message").as_string().c_str());
        }
        return exitInvalidDocument;
    }
    if (details.contains("difference")) {
        std::cerr << "the current version is " << text("current_version") << "; changes in the submitted document:\n"
                  << text("difference");
    }
    if (details.contains("retry_after_ms")) {
        std::cerr << "retry after " << text("retry_after_ms") << " ms\n";
    }
    return exitRefused;
}

void printTable(const std::vector<std::string> &headings, const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const std::string &heading : headings) {
        widths.push_back(heading.size());
    }
    for (const auto &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    const auto printRow = [&](const std::vector<std::string> &row) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += fmt::format("{:<{}}", row[i], i + 1 == row.size() ? 0 : widths[i] + 2);
        }
        std::cout << line << "\n";
    };
    printRow(headings);
    for (const auto &row : rows) {
        printRow(row);
    }
}

} // namespace cardamompost::cli
