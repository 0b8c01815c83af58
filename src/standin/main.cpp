#include "cp_standin_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <iostream>
#include <thread>

namespace
{

namespace po = boost::program_options;
using cardamompost::standin::EngineServer;
using cardamompost::standin::EngineSettings;
using cardamompost::standin::ServiceServer;

constexpr int exitUsage = 2;
constexpr int exitStartFailed = 4;

po::options_description makeOptions(EngineSettings &settings)
{
    po::options_description options("cardamompost-standin: simulates model engines and HTTP services");
    auto add = options.add_options();
    add("help", "show this text");
    add("engine-ports", po::value<std::vector<std::uint16_t>>()->multitoken(), "one engine on each port");
    add("service-ports", po::value<std::vector<std::uint16_t>>()->multitoken(), "one service on each port");
    add("slots", po::value(&settings.slots), "concurrent calls per engine");
    add("prefill-ms", po::value(&settings.prefillMsPerToken), "prefill time per token in ms");
    add("decode-ms", po::value(&settings.decodeMsPerToken), "decode time per token in ms");
    add("cache-tokens", po::value(&settings.cacheTokens), "capacity of an engine's prefix cache in tokens");
    add("checks-fencing", po::value(&settings.checksFencing), "refuse orders with a stale fencing token");
    add("threads", po::value<int>()->default_value(2), "number of worker threads");
    return options;
}

template<typename Server>
bool listenAll(const po::variables_map &values, const char *option, std::vector<std::unique_ptr<Server>> &servers,
               const std::function<std::unique_ptr<Server>(std::uint16_t)> &make)
{
    if (values.count(option) == 0) {
        return true;
    }
    for (const std::uint16_t port : values[option].as<std::vector<std::uint16_t>>()) {
        servers.push_back(make(port));
        const cardamompost::Result<void> listening = servers.back()->listen({"127.0.0.1", port});
        if (!listening) {
            std::cerr << "cardamompost-standin: " << listening.error().message << "\n";
            return false;
        }
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    EngineSettings settings;
    const po::options_description options = makeOptions(settings);
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << "cardamompost-standin: " << error.what() << "\n";
        return exitUsage;
    }
    if (values.count("help") != 0) {
        std::cout << options
                  << "\nExit codes: 0 terminated by a signal, 2 invalid options, 4 cannot listen on a port.\n";
        return 0;
    }
    const int threads = values["threads"].as<int>();
    boost::asio::io_context io(threads);
    std::vector<std::unique_ptr<EngineServer>> engines;
    std::vector<std::unique_ptr<ServiceServer>> services;
    const bool isListening
        = listenAll<EngineServer>(
              values, "engine-ports", engines,
              [&](std::uint16_t port) { return std::make_unique<EngineServer>(io.get_executor(), settings, port); })
        && listenAll<ServiceServer>(values, "service-ports", services,
                                    [&](std::uint16_t) { return std::make_unique<ServiceServer>(io.get_executor()); });
    if (!isListening) {
        return exitStartFailed;
    }
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &, int) { io.stop(); });
    std::vector<std::thread> workers;
    for (int i = 0; i < threads; ++i) {
        workers.emplace_back([&io] { io.run(); });
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
    return 0;
}
