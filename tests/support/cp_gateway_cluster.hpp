#ifndef CARDAMOMPOST_TESTS_CP_PLATFORM_SYSTEM_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_PLATFORM_SYSTEM_HPP_INCLUDED

#include "support/cp_fake_platform.hpp"
#include "support/cp_fault_injecting_proxy.hpp"

#include <cardamompost/observe/cp_log_explainer.hpp>

#include <filesystem>
#include <fstream>

namespace cardamompost::tests
{

// Bounds of the waits below.
constexpr int maxTries = 400;
constexpr Milliseconds tryPause {25};

//! A route document.
//! \param moreRoutes  number of additional routes, from "/more-1/" on
inline std::string document(int version, int moreRoutes = 0)
{
    std::string additionalRoutes;
    for (int i = 1; i <= moreRoutes; ++i) {
        const std::string name = "more-" + std::to_string(i);
        additionalRoutes += R"({"name":")" + name + R"(","host":"h.example","path-prefix":"/)" + name
            + R"(/","kind":"unsafe","timeout-ms":4000,"service":"engines","max-attempts":1},)";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + additionalRoutes + R"(
 {"name":"plans","host":"h.example","path-prefix":"/plans/","kind":"streaming","timeout-ms":4000,"priority":0,
  "service":"engines","max-attempts":1,"retains-context":true,"retention-s":60.0,"sticky-sessions":true},
 {"name":"drafts","host":"h.example","path-prefix":"/drafts/","kind":"streaming","timeout-ms":4000,"priority":1,
  "service":"engines","max-attempts":1,"retains-context":false,"retention-s":60.0,"sticky-sessions":true},
 {"name":"tools","host":"h.example","path-prefix":"/tools/","kind":"unsafe","timeout-ms":4000,"service":"engines",
  "max-attempts":1},
 {"name":"reads","host":"h.example","path-prefix":"/reads/","kind":"safe","timeout-ms":4000,"service":"engines",
  "max-attempts":2},
 {"name":"resumes","host":"h.example","path-prefix":"/resumes/","kind":"streaming","timeout-ms":4000,"service":"engines",
  "max-attempts":2,"retention-s":60.0,"sticky-sessions":true,"resumable":true}],
 "services":[{"name":"engines","max-connections":100,"engine":{"slots":16,"key-value-tokens":1000,"stride":10}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":100000,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

//! A complete system on the loopback interface: ledger VMs with their own data folders, and entries.
class System
{
public:
    System()
        : folder_(std::filesystem::temp_directory_path() / ("cardamompost-path-" + std::to_string(randomIdentity())))
    {
        std::filesystem::create_directories(folder_);
        for (int i = 0; i < founders; ++i) {
            ledgers.push_back(ledgerSettings());
        }
        // Members are identified by address: each has its own port.
        for (GatewaySettings &settings : ledgers) {
            for (const GatewaySettings &other : ledgers) {
                settings.seeds.push_back(other.peer);
            }
        }
        for (const GatewaySettings &settings : ledgers) {
            runLedger(settings);
        }
    }
    //! Starts an additional ledger VM.
    void addLedger(const std::string &failureDomain = "apapa")
    {
        GatewaySettings settings = ledgerSettings();
        settings.failureDomain = failureDomain;
        settings.isFirstStart = false;
        settings.seeds = ledgers.front().seeds;
        ledgers.push_back(settings);
        runLedger(settings);
    }
    ~System()
    {
        entries.clear();
        running.clear();
        std::filesystem::remove_all(folder_);
    }

    GatewaySettings commonSettings(const std::string &vm)
    {
        GatewaySettings settings;
        settings.vm = vm;
        settings.failureDomain = "apapa";
        settings.peer = local(freePort());
        settings.peerListen = settings.peer;
        settings.listInterval = Milliseconds(200);
        settings.grace = Milliseconds(2500);
        settings.directoryLifetime = Milliseconds(2000);
        settings.logLevel = "info";
        settings.logFile = (folder_ / (vm + ".log")).string();
        return settings;
    }

    //! Settings of a new ledger VM, which other processes reach through the proxy.
    GatewaySettings ledgerSettings()
    {
        GatewaySettings settings = commonSettings("ledger-" + std::to_string(ledgers.size()));
        settings.role = GatewayRole::Ledger;
        settings.peer = local(freePort());
        link.forward(settings.peer, settings.peerListen);
        settings.control = local(freePort());
        settings.directory = local(freePort());
        settings.backendList = platform.listAddress();
        settings.dataFolder = (folder_ / settings.vm).string();
        // Small, so that histories are read back from the disk.
        settings.memoryBytes = 2U << 20U;
        settings.isFirstStart = true;
        return settings;
    }

    //! Peer addresses of all ledger VMs.
    [[nodiscard]] std::vector<Address> seeds() const
    {
        std::vector<Address> addresses;
        for (const GatewaySettings &ledger : ledgers) {
            addresses.push_back(ledger.peer);
        }
        return addresses;
    }

    const GatewaySettings &startEntry(const std::vector<Address> &seeds)
    {
        GatewaySettings settings = commonSettings("entry-" + std::to_string(entries.size()));
        settings.front = local(freePort());
        settings.ready = local(freePort());
        settings.seeds = seeds;
        entrySettings.push_back(settings);
        entries.push_back(std::make_unique<GatewayThread>(settings));
        BOOST_REQUIRE(entries.back()->isStarted());
        return entrySettings.back();
    }
    //! Stops all ledger VMs.
    void killLedgers()
    {
        running.clear();
    }
    //! Restarts a ledger VM. After killLedgers() they are restarted in order.
    void restartLedger(std::size_t number, bool keepsDisk = true)
    {
        GatewaySettings &settings = ledgers[number];
        settings.isFirstStart = false;
        if (!keepsDisk) {
            std::filesystem::remove_all(settings.dataFolder);
        }
        if (running.size() <= number) {
            running.resize(number + 1);
        }
        running[number].reset();
        running[number] = std::make_unique<GatewayThread>(settings, disks[number]);
        BOOST_REQUIRE(running[number]->isStarted());
    }
    //! Changes the seeds in the settings of all ledger VMs, from their next starts on.
    void changeLedgerSeeds(const std::vector<std::size_t> &numbers)
    {
        std::vector<Address> seeds;
        for (const std::size_t number : numbers) {
            seeds.push_back(ledgers[number].peer);
        }
        for (GatewaySettings &settings : ledgers) {
            settings.seeds = seeds;
        }
    }
    //! True if a ledger VM is the leader or redirects control requests to it.
    [[nodiscard]] bool knowsLeader(std::size_t ledger)
    {
        const unsigned status = platform.call(ledgers[ledger].control, "GET", "/cardamompost/configuration").status;
        return status == 200 || status == 307;
    }
    [[nodiscard]] unsigned readiness(std::size_t entry)
    {
        return platform.call(entrySettings[entry].ready, "GET", "/cardamompost/readiness").status;
    }
    //! Starts an entry and waits until it is ready. \returns its address for clients
    Address addEntry(const std::vector<Address> &seeds)
    {
        const Address front = startEntry(seeds).front;
        const bool isReady = eventually([&] { return readiness(entries.size() - 1) == 200; });
        BOOST_REQUIRE(isReady);
        return front;
    }
    //! The value of a metric; 0 if it is missing.
    [[nodiscard]] double metricValue(const Address &metrics, const std::string &series)
    {
        const std::string text = platform.call(metrics, "GET", "/metrics").body;
        const std::size_t at = text.find("\n" + series + " ");
        return at == std::string::npos ? 0 : std::stod(text.substr(at + series.size() + 2));
    }
    //! Waits until a ledger VM that lost its disk is complete and may vote.
    [[nodiscard]] bool isRecovered(std::size_t ledger)
    {
        return eventually([&] { return metricValue(ledgers[ledger].directory, "cardamompost_ledger_whole") == 1; });
    }
    //! The directory response with the addresses of entries.
    [[nodiscard]] std::string directory()
    {
        return platform.call(ledgers.front().directory, "GET", "/cardamompost/resolution?name=h.example&zone=apapa")
            .body;
    }

    template<typename Condition>
    static bool eventually(Condition condition)
    {
        for (int i = 0; i < maxTries; ++i) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(tryPause);
        }
        return false;
    }

    //! Puts a document. \returns the index of the ledger VM that acknowledged it, which is the leader
    std::size_t putDocument(int version, int moreRoutes = 0)
    {
        return put(document(version, moreRoutes));
    }
    std::size_t put(const std::string &text)
    {
        std::size_t leader = ledgers.size();
        const bool isAcknowledged = eventually([&] {
            for (std::size_t i = 0; i < ledgers.size() && leader == ledgers.size(); ++i) {
                const HttpResponse answer = running[i] == nullptr
                    ? HttpResponse {0, {}, {}}
                    : platform.call(ledgers[i].control, "PUT", "/cardamompost/configuration", {}, text);
                leader = answer.status == 200 ? i : leader;
            }
            return leader != ledgers.size();
        });
        BOOST_REQUIRE(isAcknowledged);
        return leader;
    }

    static HttpHeaders headers(const std::string &id)
    {
        return {{"Host", "h.example"}, {"Request-Id", id}, {"Deadline-Milliseconds", "4000"}};
    }
    std::future<HttpResponse> beginTurn(const Address &entry, const std::string &id, const std::string &previous,
                                        int budget = 1000, const std::string &path = "/plans/1",
                                        const std::string &additionalBody = {})
    {
        HttpHeaders turnHeaders = headers(id);
        turnHeaders["Program"] = "p1";
        turnHeaders["Token-Usage"] = "100,50";
        turnHeaders["Session"] = "s";
        turnHeaders["Program-Time-Left"] = "2000";
        turnHeaders["Token-Budget"] = std::to_string(budget);
        if (!previous.empty()) {
            turnHeaders["Previous-Turn"] = previous;
        }
        return platform.begin(entry, "POST", path, turnHeaders, "in-" + id + ";" + additionalBody);
    }
    HttpResponse turn(const Address &entry, const std::string &id, const std::string &previous, int budget = 1000,
                      const std::string &path = "/plans/1")
    {
        return beginTurn(entry, id, previous, budget, path).get();
    }

    //! Explains a request from the logs of all processes, as `cardamompost explain` does.
    [[nodiscard]] Explanation explain(const std::string &id) const
    {
        LogExplainer explainer;
        for (const auto &item : std::filesystem::directory_iterator(folder_)) {
            std::ifstream input(item.path());
            for (std::string line; std::getline(input, line);) {
                explainer.add(line);
            }
        }
        return explainer.explain(id);
    }

    //! Waits for the log line of the request's end, which is written after the response.
    [[nodiscard]] Explanation explainEnd(const std::string &id) const
    {
        const auto isEnd = [](const ExplainedLine &line) { return line.event == "request.end"; };
        const bool isWritten = eventually([&] {
            const Explanation explanation = explain(id);
            return std::any_of(explanation.lines.begin(), explanation.lines.end(), isEnd);
        });
        BOOST_TEST(isWritten);
        return explain(id);
    }

    //! The number of log lines of an event, over all processes.
    [[nodiscard]] std::size_t logCount(const std::string &event) const
    {
        return matchingLogCount(event, {});
    }
    //! The number of log lines of an event that contain a text.
    [[nodiscard]] std::size_t matchingLogCount(const std::string &event, const std::string &text) const
    {
        std::size_t count = 0;
        for (const auto &item : std::filesystem::directory_iterator(folder_)) {
            std::ifstream input(item.path());
            for (std::string line; std::getline(input, line);) {
                const bool isEvent = line.find('"' + event + '"') != std::string::npos;
                count += isEvent && line.find(text) != std::string::npos ? 1 : 0;
            }
        }
        return count;
    }

    FakePlatform platform;
    FaultInjectingProxy link;
    std::vector<GatewaySettings> ledgers;
    std::vector<GatewaySettings> entrySettings;
    std::vector<std::unique_ptr<GatewayThread>> running;
    //! Disk faults of the ledger VMs.
    std::vector<FaultInjectingFiles::SharedFaults> disks;
    std::vector<std::unique_ptr<GatewayThread>> entries;

private:
    static constexpr int founders = 3;

    void runLedger(const GatewaySettings &settings)
    {
        disks.push_back(std::make_shared<DiskFaults>());
        running.push_back(std::make_unique<GatewayThread>(settings, disks.back()));
        BOOST_REQUIRE(running.back()->isStarted());
    }

    std::filesystem::path folder_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_PLATFORM_SYSTEM_HPP_INCLUDED
