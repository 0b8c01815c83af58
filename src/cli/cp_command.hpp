#ifndef CARDAMOMPOST_CP_COMMAND_HPP_INCLUDED
#define CARDAMOMPOST_CP_COMMAND_HPP_INCLUDED

#include "cp_api_client.hpp"

#include <boost/program_options.hpp>

#include <functional>

namespace cardamompost::cli
{

//! How the command line ends.
enum ExitCode : int {
    exitOk = 0,
    //! The system refused the request, or a call did not run.
    exitRefused = 1,
    exitUsage = 2,
    exitFaultyDocument = 3,
    exitUnreachable = 4,
    //! A history or an answer is not what it has to be.
    exitCheckFailed = 5,
    exitInterrupted = 130,
};

inline constexpr std::string_view exitCodeHelp
    = "Exit codes: 0 done, 1 refused or not run, 2 wrong options, 3 faulty document, 4 no entry answers,\n"
      "            5 a check failed, 130 interrupted.\n";

//! What every command gets.
struct CommandContext {
    std::vector<Address> entries;
    std::string key;
    //! Print JSON instead of tables.
    bool isJson = false;
    boost::program_options::variables_map values;
    //! Words that belong to no option.
    std::vector<std::string> words;
};

//! One command of the command line.
struct Command {
    //! As typed: "config check".
    std::string name;
    std::string summary;
    std::string usage;
    //! Adds the command's own options.
    std::function<void(boost::program_options::options_description &options)> addOptions;
    std::function<int(const CommandContext &context)> run;
    bool needsEntry = true;
};

[[nodiscard]] std::vector<Command> configCommands();
[[nodiscard]] std::vector<Command> statusCommands();
[[nodiscard]] std::vector<Command> programCommands();
[[nodiscard]] std::vector<Command> loadCommands();

//! Tells from the log files of --log why a request ended as it did. \returns the exit code
int explainFromLogs(const CommandContext &context);
void addLogOptions(boost::program_options::options_description &options);

//! Runs a coroutine to its end on the calling thread.
template<typename T>
T runBlocking(boost::asio::awaitable<T> task);

//! Reads a file or, for "-", standard input. Errors: InvalidRequest.
[[nodiscard]] Result<std::string> readFile(const std::string &name);

//! Prints an answer's error for a person, and gives the exit code for it.
int reportError(const CommandContext &context, const HttpResponse &response);
int reportError(const Error &error);

//! Prints rows under headings, in columns as wide as they need.
void printTable(const std::vector<std::string> &headings, const std::vector<std::vector<std::string>> &rows);

//! True once the user has pressed Ctrl-C; the command ends after the answer that is on its way.
[[nodiscard]] bool wasInterrupted();
void watchInterrupts();

} // namespace cardamompost::cli

#include "cp_run_blocking.hpp"

#endif // CARDAMOMPOST_CP_COMMAND_HPP_INCLUDED
