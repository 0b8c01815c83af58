#include "cp_command.hpp"

#include <cardamompost/observe/cp_log_explainer.hpp>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <fstream>
#include <iostream>

namespace cardamompost::cli
{

namespace
{

void readLines(std::istream &input, LogExplainer &explainer)
{
    std::string line;
    while (std::getline(input, line)) {
        explainer.add(line);
    }
}

boost::json::array toJson(const std::vector<ExplainedLine> &lines)
{
    boost::json::array array;
    for (const ExplainedLine &line : lines) {
        array.emplace_back(line.text);
    }
    return array;
}

void print(const Explanation &explanation)
{
    const auto show = [](const std::vector<ExplainedLine> &lines) {
        for (const ExplainedLine &line : lines) {
            std::cout << "  " << line.text << "\n";
        }
    };
    std::cout << "lines of the request:\n";
    show(explanation.lines);
    std::cout << "around its end:\n";
    show(explanation.contextLines);
    std::cout << "cause: " << (explanation.cause.empty() ? "not known" : explanation.cause) << "\n";
    if (!explanation.missing.empty()) {
        std::cout << "missing: " << explanation.missing << "\n";
    }
}

} // namespace

int explainFromLogs(const CommandContext &context)
{
    LogExplainer explainer;
    for (const std::string &file : context.values["log"].as<std::vector<std::string>>()) {
        if (file == "-") {
            readLines(std::cin, explainer);
            continue;
        }
        std::ifstream input(file);
        if (!input) {
            std::cerr << "cardamompost explain: can't read '" << file << "'\n";
            return exitUsage;
        }
        readLines(input, explainer);
    }
    const Explanation explanation = explainer.explain(context.words.front());
    if (context.isJson) {
        std::cout << boost::json::serialize(boost::json::object {{"lines", toJson(explanation.lines)},
                                                                 {"surroundings", toJson(explanation.contextLines)},
                                                                 {"cause", explanation.cause},
                                                                 {"missing", explanation.missing}})
                  << "\n";
    } else {
        print(explanation);
    }
    return explanation.lines.empty() ? exitRefused : exitOk;
}

void addLogOptions(boost::program_options::options_description &options)
{
    namespace po = boost::program_options;
    options.add_options()("log", po::value<std::vector<std::string>>()->composing(),
                          "log file of any process, may be repeated; - for standard input");
}

} // namespace cardamompost::cli
