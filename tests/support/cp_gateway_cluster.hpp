#ifndef CARDAMOMPOST_TESTS_CP_GATEWAY_CLUSTER_HPP_INCLUDED
#define CARDAMOMPOST_TESTS_CP_GATEWAY_CLUSTER_HPP_INCLUDED

#include "support/cp_fake_platform.hpp"
#include "support/cp_fault_injecting_proxy.hpp"

#include <cardamompost/ledger/cp_ledger_command.hpp>
#include <cardamompost/observe/cp_log_explainer.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace cardamompost::tests
{

// Bound the waits of GatewayCluster::eventually().
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

//! Runs ledger VMs, each with its own data folder, and entries on the loopback interface, with a fake platform.
class GatewayCluster
{
public:
    explicit GatewayCluster(PlacementOptions placement = {})
        : placement_(placement)
        , folder_(std::filesystem::temp_directory_path() / ("cardamompost-path-" + std::to_string(randomIdentity())))
    {
        std::filesystem::create_directories(folder_);
        for (int i = 0; i < founderCount; ++i) {
            ledgerSettings.push_back(newLedgerSettings());
        }
        // Members are identified by address: each has its own port.
        for (GatewaySettings &settings : ledgerSettings) {
            for (const GatewaySettings &other : ledgerSettings) {
                settings.seeds.push_back(other.peer);
            }
        }
        for (const GatewaySettings &settings : ledgerSettings) {
            runLedger(settings);
        }
    }
    //! Starts an additional ledger VM.
    void addLedger(const std::string &failureDomain = "apapa")
    {
        GatewaySettings settings = newLedgerSettings();
        settings.failureDomain = failureDomain;
        settings.isFirstStart = false;
        settings.seeds = ledgerSettings.front().seeds;
        ledgerSettings.push_back(settings);
        runLedger(settings);
    }
    ~GatewayCluster()
    {
        entryThreads.clear();
        ledgerThreads.clear();
        // To find the cause of a failure that occurs in few runs.
        if (std::getenv("CARDAMOMPOST_TESTS_KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(folder_);
        }
    }

    GatewaySettings commonSettings(const std::string &vm)
    {
        GatewaySettings settings;
        settings.vm = vm;
        settings.failureDomain = "apapa";
        settings.peer = local(freePort());
        settings.peerListen = settings.peer;
        settings.listInterval = Milliseconds(200);
        settings.grace = commonGrace;
        settings.directoryLifetime = Milliseconds(2000);
        settings.logLevel = "info";
        settings.logFile = (folder_ / (vm + ".log")).string();
        return settings;
    }

    //! Settings of a new ledger VM, which other VMs reach through ledgerProxy.
    GatewaySettings newLedgerSettings()
    {
        GatewaySettings settings = commonSettings("ledger-" + std::to_string(ledgerSettings.size()));
        settings.role = GatewayRole::Ledger;
        settings.peer = local(freePort());
        ledgerProxy.forward(settings.peer, settings.peerListen);
        settings.control = local(freePort());
        settings.directory = local(freePort());
        settings.backendList = platform.listAddress();
        settings.dataFolder = (folder_ / settings.vm).string();
        // Small, so that histories are read back from the disk.
        settings.memoryBytes = 2U << 20U;
        settings.isFirstStart = true;
        settings.placement = placement_;
        return settings;
    }

    //! Peer addresses of all ledger VMs.
    [[nodiscard]] std::vector<Address> seeds() const
    {
        std::vector<Address> addresses;
        for (const GatewaySettings &ledger : ledgerSettings) {
            addresses.push_back(ledger.peer);
        }
        return addresses;
    }

    const GatewaySettings &startEntry(const std::vector<Address> &seeds)
    {
        GatewaySettings settings = commonSettings("entry-" + std::to_string(entryThreads.size()));
        settings.front = local(freePort());
        settings.ready = local(freePort());
        settings.seeds = seeds;
        entrySettings.push_back(settings);
        entryThreads.push_back(std::make_unique<GatewayThread>(settings));
        BOOST_REQUIRE(entryThreads.back()->isStarted());
        return entrySettings.back();
    }
    //! Stops all ledger VMs at once, without a graceful shutdown.
    void killLedgers()
    {
        ledgerThreads.clear();
    }
    //! Restarts a ledger VM, with an empty disk unless keepsDisk. After killLedgers(), documents can be put once the VM
    //! with the highest index has been restarted.
    void restartLedger(std::size_t number, bool keepsDisk = true)
    {
        GatewaySettings &settings = ledgerSettings[number];
        settings.isFirstStart = false;
        if (!keepsDisk) {
            std::filesystem::remove_all(settings.dataFolder);
        }
        if (ledgerThreads.size() <= number) {
            ledgerThreads.resize(number + 1);
        }
        ledgerThreads[number].reset();
        ledgerThreads[number] = std::make_unique<GatewayThread>(settings, ledgerDisks[number]);
        BOOST_REQUIRE(ledgerThreads[number]->isStarted());
    }
    //! Restarts all ledger VMs with a log whose last command is later than the one before by a time.
    void advanceLedgerTime(Milliseconds by)
    {
        restartLedgersAfter(UsageReport {}, by);
    }
    //! Restarts all ledger VMs with a command at the end of their logs.
    //! \param delay  between the last command of the log and this one
    void restartLedgersAfter(LedgerCommand::Action action, Milliseconds delay)
    {
        killLedgers();
        RaftStoredState latest;
        for (const GatewaySettings &settings : ledgerSettings) {
            const auto files = PosixFiles::openFolder(settings.dataFolder, true).value();
            RaftStoredState stored = LogStore::open(*files).value().loadRaft(controlGroup).value();
            const auto last = [](const RaftStoredState &state) {
                return state.entries.empty() ? std::pair(state.snapshot.term, state.snapshot.index)
                                             : std::pair(state.entries.back().term, state.entries.back().index);
            };
            if (last(latest) < last(stored)) {
                latest = std::move(stored);
            }
        }
        std::int64_t nowMs = 0;
        for (const LogEntry &entry : latest.entries) {
            if (entry.kind == EntryKind::Command) {
                nowMs = std::max(nowMs, decodeLedgerCommand(entry.payload).value().nowMs);
            }
        }
        BOOST_REQUIRE(!latest.entries.empty());
        const LogEntry &last = latest.entries.back();
        latest.entries.push_back({last.index + 1, last.term, EntryKind::Command,
                                  encodeLedgerCommand({nowMs + delay.count(), std::move(action)})});
        for (const GatewaySettings &settings : ledgerSettings) {
            const auto files = PosixFiles::openFolder(settings.dataFolder, true).value();
            LogStore store = LogStore::open(*files).value();
            LogBatch batch;
            batch.putHardState(controlGroup, latest.hard);
            for (const LogEntry &entry : latest.entries) {
                batch.putEntry(controlGroup, entry);
            }
            BOOST_REQUIRE(store.write(batch));
        }
        for (std::size_t number = 0; number < ledgerSettings.size(); ++number) {
            restartLedger(number);
        }
    }
    //! Changes the seeds in the settings of all ledger VMs, from their next starts on.
    void changeLedgerSeeds(const std::vector<std::size_t> &numbers)
    {
        std::vector<Address> seeds;
        for (const std::size_t number : numbers) {
            seeds.push_back(ledgerSettings[number].peer);
        }
        for (GatewaySettings &settings : ledgerSettings) {
            settings.seeds = seeds;
        }
    }
    //! True if a ledger VM is the leader or redirects control requests to it.
    [[nodiscard]] bool knowsLeader(std::size_t ledger)
    {
        const unsigned status
            = platform.call(ledgerSettings[ledger].control, "GET", "/cardamompost/configuration").status;
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
        const bool isReady = eventually([&] { return readiness(entryThreads.size() - 1) == 200; });
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
    //! Waits until a ledger VM that lost its disk holds all data and may vote. \returns false after a timeout
    [[nodiscard]] bool waitUntilRecovered(std::size_t ledger)
    {
        return eventually(
            [&] { return metricValue(ledgerSettings[ledger].directory, "cardamompost_ledger_whole") == 1; });
    }
    //! The directory response with the addresses of entries.
    [[nodiscard]] std::string directory()
    {
        return platform
            .call(ledgerSettings.front().directory, "GET", "/cardamompost/resolution?name=h.example&zone=apapa")
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
        std::size_t leader = ledgerSettings.size();
        const bool isAcknowledged = eventually([&] {
            for (std::size_t i = 0; i < ledgerSettings.size() && leader == ledgerSettings.size(); ++i) {
                const HttpResponse answer = ledgerThreads[i] == nullptr
                    ? HttpResponse {0, {}, {}}
                    : platform.call(ledgerSettings[i].control, "PUT", "/cardamompost/configuration", {}, text);
                leader = answer.status == 200 ? i : leader;
            }
            return leader != ledgerSettings.size();
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
        turnHeaders["Deadline-Milliseconds"] = std::to_string(turnTimeoutMs);
        turnHeaders["Program"] = "p1";
        turnHeaders["Token-Usage"] = "100,50";
        turnHeaders["Session"] = "s";
        turnHeaders["Program-Time-Left"] = "2000";
        turnHeaders["Token-Budget"] = std::to_string(budget);
        if (!previous.empty()) {
            turnHeaders["Previous-Turn"] = previous;
        }
        constexpr int marginMs = 1000;
        return platform.begin(entry, "POST", path, turnHeaders, "in-" + id + ";" + additionalBody,
                              Milliseconds(turnTimeoutMs + marginMs));
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

    //! Grace period of processes that are started from now on.
    Milliseconds commonGrace {2500};
    //! How long callers wait for their turns.
    int turnTimeoutMs = 4000;
    FakePlatform platform;
    FaultInjectingProxy ledgerProxy;
    std::vector<GatewaySettings> ledgerSettings;
    std::vector<GatewaySettings> entrySettings;
    std::vector<std::unique_ptr<GatewayThread>> ledgerThreads;
    //! Disk faults of each ledger VM.
    std::vector<FaultInjectingFiles::SharedFaults> ledgerDisks;
    std::vector<std::unique_ptr<GatewayThread>> entryThreads;

private:
    static constexpr int founderCount = 3;

    void runLedger(const GatewaySettings &settings)
    {
        ledgerDisks.push_back(std::make_shared<DiskFaults>());
        ledgerThreads.push_back(std::make_unique<GatewayThread>(settings, ledgerDisks.back()));
        BOOST_REQUIRE(ledgerThreads.back()->isStarted());
    }

    const PlacementOptions placement_;
    std::filesystem::path folder_;
};

} // namespace cardamompost::tests

#endif // CARDAMOMPOST_TESTS_CP_GATEWAY_CLUSTER_HPP_INCLUDED
