#ifndef CARDAMOMPOST_CP_COMMAND_HPP_INCLUDED
#define CARDAMOMPOST_CP_COMMAND_HPP_INCLUDED

#include "cp_api_client.hpp"

#include <boost/program_options.hpp>

#include <functional>

namespace cardamompost::cli
{

//! Exit codes of the command line.
enum ExitCode : int {
    exitOk = 0,
    //! The system refused the request, or a call did not run.
    exitRefused = 1,
    exitUsage = 2,
    exitInvalidDocument = 3,
    exitUnreachable = 4,
    //! A history or an answer did not match the expected one.
    exitCheckFailed = 5,
    exitInterrupted = 130,
};

inline constexpr std::string_view exitCodeHelp
    = "Exit codes: 0 success, 1 refused or not run, 2 invalid options, 3 invalid document, 4 no entry answered,\n"
      "            5 a check failed, 130 interrupted.\n";

//! Options and arguments of a command.
struct CommandContext {
    std::vector<Address> entries;
    std::string key;
    //! Print JSON instead of tables.
    bool isJson = false;
    boost::program_options::variables_map values;
    //! Positional arguments.
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

//! Explains the outcome of a request from the log files given by --log. \returns the exit code
int explainFromLogs(const CommandContext &context);
void addLogOptions(boost::program_options::options_description &options);

//! Runs a coroutine to completion on the calling thread; rethrows its exception.
template<typename T>
T runBlocking(boost::asio::awaitable<T> task);

//! Reads a file or, for "-", standard input. Errors: InvalidRequest.
[[nodiscard]] Result<std::string> readFile(const std::string &name);

//! Prints the error of a response to standard error. \returns the exit code
int reportError(const CommandContext &context, const HttpResponse &response);
int reportError(const Error &error);

//! Prints a table with columns as wide as their longest cell.
void printTable(const std::vector<std::string> &headings, const std::vector<std::vector<std::string>> &rows);

//! True after the first Ctrl-C; the command stops after the pending request.
[[nodiscard]] bool wasInterrupted();
void installInterruptHandler();

} // namespace cardamompost::cli

#include "cp_run_blocking.hpp"

#endif // CARDAMOMPOST_CP_COMMAND_HPP_INCLUDED
