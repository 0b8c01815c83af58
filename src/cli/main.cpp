#include "cp_command.hpp"

#include <cstdlib>
#include <iostream>

namespace
{

namespace po = boost::program_options;
using namespace cardamompost::cli;

std::vector<Command> allCommands()
{
    std::vector<Command> all;
    for (const auto &group : {configCommands(), statusCommands(), programCommands(), loadCommands()}) {
        all.insert(all.end(), group.begin(), group.end());
    }
    return all;
}

std::string fromEnvironment(const char *name)
{
    // Read before any thread is started.
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value == nullptr ? std::string() : std::string(value);
}

po::options_description commonOptions()
{
    po::options_description options("options of every command");
    options.add_options()(
        "entry", po::value<std::vector<std::string>>()->composing(),
        "IP:PORT of an entry, may be repeated; default: the comma-separated list in CARDAMOMPOST_ENTRIES")(
        "key", po::value<std::string>()->default_value(fromEnvironment("CARDAMOMPOST_KEY"), "CARDAMOMPOST_KEY"),
        "bearer key of a client or an operator")("output", po::value<std::string>()->default_value("table"),
                                                 "table or json")("help", "show the command's options");
    return options;
}

void printUsage(const std::vector<Command> &commands)
{
    std::cout << "cardamompost: command line of a cardamompost system\n\nusage: cardamompost COMMAND "
                 "[options]\n\ncommands:\n";
    for (const Command &command : commands) {
        std::cout << "  " << command.name << std::string(18 - std::min<std::size_t>(17, command.name.size()), ' ')
                  << command.summary << "\n";
    }
    std::cout << "\n'cardamompost COMMAND --help' shows a command's options.\n\n" << exitCodeHelp;
}

const Command *findCommand(const std::vector<Command> &commands, const std::vector<std::string> &arguments,
                           std::size_t &nameWordCount)
{
    for (const Command &command : commands) {
        const bool isTwoWords = command.name.find(' ') != std::string::npos;
        nameWordCount = isTwoWords ? 2 : 1;
        if (arguments.size() < nameWordCount) {
            continue;
        }
        const std::string typed = isTwoWords ? arguments[0] + " " + arguments[1] : arguments[0];
        if (typed == command.name) {
            return &command;
        }
    }
    return nullptr;
}

bool readEntries(CommandContext &context)
{
    std::vector<std::string> texts = cardamompost::splitList(fromEnvironment("CARDAMOMPOST_ENTRIES"));
    if (context.values.count("entry") != 0) {
        texts = context.values["entry"].as<std::vector<std::string>>();
    }
    for (const std::string &text : texts) {
        const auto address = cardamompost::parseAddress(text);
        if (!address) {
            std::cerr << "cardamompost: --entry '" << text << "' is not an IP address with a port\n";
            return false;
        }
        context.entries.push_back(*address);
    }
    return true;
}

int runCommand(const Command &command, const std::vector<std::string> &arguments)
{
    po::options_description options = commonOptions();
    po::options_description own("options of " + command.name);
    command.addOptions(own);
    options.add(own);
    po::options_description allOptions;
    allOptions.add(options).add_options()("words", po::value<std::vector<std::string>>());
    po::positional_options_description words;
    words.add("words", -1);
    CommandContext context;
    try {
        po::store(po::command_line_parser(arguments).options(allOptions).positional(words).run(), context.values);
        if (context.values.count("help") == 0) {
            po::notify(context.values);
        }
    } catch (const po::error &error) {
        std::cerr << "cardamompost " << command.name << ": " << error.what() << "\n";
        return exitUsage;
    }
    if (context.values.count("help") != 0) {
        std::cout << "cardamompost " << command.name << " " << command.usage << ": " << command.summary << "\n\n"
                  << options << "\n"
                  << exitCodeHelp;
        return exitOk;
    }
    if (context.values.count("words") != 0) {
        context.words = context.values["words"].as<std::vector<std::string>>();
    }
    context.key = context.values["key"].as<std::string>();
    const std::string output = context.values["output"].as<std::string>();
    context.isJson = output == "json";
    const bool isOutputKnown = output == "json" || output == "table";
    const std::size_t needed = command.usage.empty() ? 0 : 1;
    if (!isOutputKnown || context.words.size() != needed || !readEntries(context)) {
        std::cerr << "usage: cardamompost " << command.name << " " << command.usage << " [options]\n";
        return exitUsage;
    }
    if (command.needsEntry && context.entries.empty()) {
        std::cerr << "cardamompost " << command.name << ": --entry IP:PORT is required\n";
        return exitUsage;
    }
    return command.run(context);
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const std::vector<Command> commands = allCommands();
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "help") {
        printUsage(commands);
        return arguments.empty() ? exitUsage : exitOk;
    }
    std::size_t nameWordCount = 0;
    const Command *command = findCommand(commands, arguments, nameWordCount);
    if (command == nullptr) {
        std::cerr << "cardamompost: '" << arguments[0] << "' is not a command; see 'cardamompost --help'\n";
        return exitUsage;
    }
    installInterruptHandler();
    return runCommand(*command, {arguments.begin() + static_cast<std::ptrdiff_t>(nameWordCount), arguments.end()});
}
