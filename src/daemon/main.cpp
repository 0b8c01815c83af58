#include "cp_daemon.hpp"

#include <boost/program_options.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace
{

namespace po = boost::program_options;

constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitStart = 4;

constexpr std::string_view exitCodes
    = "\nExit codes: 0 stopped on request, 2 invalid options, 3 invalid settings, 4 failed to start.\n";

int runDaemon(const std::string &file)
{
    std::ifstream input(file, std::ios::binary);
    if (!input) {
        std::cerr << "cardamompostd: can't read settings file '" << file << "'\n";
        return exitSettings;
    }
    std::ostringstream text;
    text << input.rdbuf();
    cardamompost::SettingsResult parsed = cardamompost::parseSettings(text.str());
    for (const cardamompost::ConfigError &error : parsed.errors) {
        std::cerr << file << ": " << error.toString() << "\n";
    }
    if (!parsed.errors.empty()) {
        return exitSettings;
    }
    cardamompost::Daemon daemon(std::move(parsed.settings));
    const cardamompost::Result<void> started = daemon.start();
    if (!started) {
        std::cerr << "cardamompostd: " << started.error().message << "\n";
        return exitStart;
    }
    return daemon.run();
}

} // namespace

int main(int argc, char **argv)
{
    po::options_description options("cardamompostd: one process of a cardamompost system");
    options.add_options()("settings", po::value<std::string>(),
                          "the process's settings, an INI file")("help", "show this text");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
    } catch (const po::error &error) {
        std::cerr << "cardamompostd: " << error.what() << "\n";
        return exitUsage;
    }
    if (values.count("help") != 0) {
        std::cout << options << exitCodes;
        return 0;
    }
    if (values.count("settings") == 0) {
        std::cerr << "cardamompostd: --settings FILE is required\n";
        return exitUsage;
    }
    return runDaemon(values["settings"].as<std::string>());
}
