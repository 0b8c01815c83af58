#include "support/cp_platform_stage.hpp"

#include <cardamompost/observe/cp_log_explainer.hpp>

#include <boost/test/unit_test.hpp>

#include <fstream>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

constexpr int ledgerVms = 3;
// Bounds of the waits below; nothing is said of how long anything takes.
constexpr int maxTries = 400;
constexpr Milliseconds tryPause {25};

std::string document(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
 {"name":"plans","host":"h.example","path-prefix":"/plans/","kind":"streaming","timeout-ms":4000,"priority":0,
  "service":"engines","max-attempts":1,"retains-context":true,"retention-s":60.0,"sticky-sessions":true},
 {"name":"drafts","host":"h.example","path-prefix":"/drafts/","kind":"streaming","timeout-ms":4000,"priority":1,
  "service":"engines","max-attempts":1,"retains-context":false,"retention-s":60.0,"sticky-sessions":true},
 {"name":"tools","host":"h.example","path-prefix":"/tools/","kind":"unsafe","timeout-ms":4000,"service":"engines",
  "max-attempts":1}],
 "services":[{"name":"engines","max-connections":100,"engine":{"slots":16,"key-value-tokens":1000,"stride":10}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":100000,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

//! A whole system on the loopback: ledger VMs with disks of their own, and entries.
class System
{
public:
    System()
        : folder_(std::filesystem::temp_directory_path() / ("cardamompost-path-" + std::to_string(randomIdentity())))
    {
        std::filesystem::create_directories(folder_);
        for (int i = 0; i < ledgerVms; ++i) {
            GatewaySettings settings = common("ledger-" + std::to_string(i));
            settings.role = GatewayRole::Ledger;
            settings.control = local(freePort());
            settings.directory = local(freePort());
            settings.backendList = local(stage.port);
            settings.dataFolder = (folder_ / settings.vm).string();
            settings.isFirstStart = true;
            ledgers.push_back(settings);
        }
        // Members are known by address; on one machine each has a port of its own.
        for (GatewaySettings &settings : ledgers) {
            for (const GatewaySettings &other : ledgers) {
                settings.seeds.push_back(other.peer);
            }
        }
        for (const GatewaySettings &settings : ledgers) {
            running.push_back(std::make_unique<GatewayThread>(settings));
            BOOST_REQUIRE(running.back()->isStarted());
        }
    }
    ~System()
    {
        entries.clear();
        running.clear();
        std::filesystem::remove_all(folder_);
    }

    GatewaySettings common(const std::string &vm)
    {
        GatewaySettings settings;
        settings.vm = vm;
        settings.failureDomain = "apapa";
        settings.peer = local(freePort());
        settings.peerListen = settings.peer;
        settings.listInterval = Milliseconds(200);
        settings.grace = Milliseconds(1000);
        settings.directoryLifetime = Milliseconds(2000);
        settings.logLevel = "info";
        settings.logFile = (folder_ / (vm + ".log")).string();
        return settings;
    }

    //! Starts an entry and waits until it is ready. \returns where callers connect
    Address addEntry(const std::vector<Address> &seeds)
    {
        GatewaySettings settings = common("entry-" + std::to_string(entries.size()));
        settings.front = local(freePort());
        settings.ready = local(freePort());
        settings.seeds = seeds;
        entries.push_back(std::make_unique<GatewayThread>(settings));
        BOOST_REQUIRE(entries.back()->isStarted());
        const bool isReady
            = eventually([&] { return stage.call(settings.ready, "GET", "/cardamompost/readiness").status == 200; });
        BOOST_REQUIRE(isReady);
        return settings.front;
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

    //! The number of the VM that acknowledges a document; operators follow no redirection here.
    std::size_t putDocument(int version)
    {
        std::size_t leader = ledgers.size();
        const bool isPut = eventually([&] {
            for (std::size_t i = 0; i < ledgers.size() && leader == ledgers.size(); ++i) {
                const HttpResponse answer = running[i] == nullptr
                    ? HttpResponse {0, {}, {}}
                    : stage.call(ledgers[i].control, "PUT", "/cardamompost/configuration", {}, document(version));
                leader = answer.status == 200 ? i : leader;
            }
            return leader != ledgers.size();
        });
        BOOST_REQUIRE(isPut);
        return leader;
    }

    HttpResponse turn(const Address &entry, const std::string &id, const std::string &previous, int budget = 1000,
                      const std::string &path = "/plans/1")
    {
        HttpHeaders headers {{"Host", "h.example"},
                             {"Request-Id", id},
                             {"Program", "p1"},
                             {"Token-Usage", "100,50"},
                             {"Session", "s"},
                             {"Program-Time-Left", "2000"},
                             {"Deadline-Milliseconds", "4000"}};
        headers["Token-Budget"] = std::to_string(budget);
        if (!previous.empty()) {
            headers["Previous-Turn"] = previous;
        }
        return stage.call(entry, "POST", path, headers, "in-" + id + ";");
    }

    //! What the logs of all processes say of a request, as `cardamompost explain` tells it.
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

    PlatformStage stage;
    std::vector<GatewaySettings> ledgers;
    std::vector<std::unique_ptr<GatewayThread>> running;
    std::vector<std::unique_ptr<GatewayThread>> entries;

private:
    std::filesystem::path folder_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_path)

// CI failed once: a process of this test could not listen on its port, though the port had been free a moment before.
// The port was one of those that outgoing connections are given, and a connection of an earlier process took it.
BOOST_AUTO_TEST_CASE(a_free_port_is_none_that_an_outgoing_connection_can_take)
{
    std::set<std::uint16_t> ports;
    constexpr std::size_t many = 64;
    for (std::size_t i = 0; i < many; ++i) {
        ports.insert(freePort());
    }
    BOOST_TEST(ports.size() == many);
    BOOST_TEST(*ports.begin() != 0);
    BOOST_TEST(*ports.rbegin() < firstEphemeralPort());
}

// A plan review goes on through two entries while the VM that leads the ledger is killed in between: the next turn must
// reach the engine with everything that was said before, and a turn that never was must be refused.
BOOST_AUTO_TEST_CASE(a_history_outlives_the_ledgers_leader_and_is_found_through_any_entry)
{
    System system;
    const std::size_t leader = system.putDocument(3);
    std::vector<Address> seeds;
    for (const GatewaySettings &ledger : system.ledgers) {
        seeds.push_back(ledger.peer);
    }
    const Address one = system.addEntry(seeds);
    const HttpResponse first = system.turn(one, "a1", {});
    BOOST_TEST(first.status == 200U);
    BOOST_TEST(first.header("Server-Signature") == "sig-a1");
    BOOST_TEST(first.body == "id: 1\ndata: a-a1\n\nid: 2\ndata: b-a1\n\n");
    BOOST_TEST(system.stage.bodyOf("a1") == "in-a1;");
    system.running[leader].reset();
    const Address two = system.addEntry(seeds);
    BOOST_TEST(system.turn(two, "a2", "a1").status == 200U);
    BOOST_TEST(system.stage.bodyOf("a2") == "in-a1;a-a1\nb-a1\nin-a2;");
    BOOST_TEST(system.turn(one, "a3", "a2").status == 200U);
    BOOST_TEST(system.stage.bodyOf("a3") == "in-a1;a-a1\nb-a1\nin-a2;a-a2\nb-a2\nin-a3;");
    BOOST_TEST(system.turn(two, "a4", "nobody").status == 404U);
    BOOST_TEST(system.stage.bodyOf("a4").empty());
}

// Two events of 10 tokens are handed out a turn. A loop that may spend 100 gets turns as long as another 50 fit, and a
// 402 for each one more, from whichever entry it asks.
BOOST_AUTO_TEST_CASE(a_budget_is_one_over_all_entries)
{
    System system;
    system.putDocument(3);
    const std::vector<Address> seeds {system.ledgers[0].peer, system.ledgers[1].peer, system.ledgers[2].peer};
    const Address one = system.addEntry(seeds);
    const Address two = system.addEntry(seeds);
    int served = 0;
    int refused = 0;
    for (int i = 0; i < 8; ++i) {
        const HttpResponse answer = system.turn(i % 2 == 0 ? one : two, "t" + std::to_string(i), {}, 100);
        served += answer.status == 200 ? 1 : 0;
        refused += answer.status == 402 ? 1 : 0;
    }
    BOOST_TEST(served == 3);
    BOOST_TEST(refused == 5);
    BOOST_TEST(system.stage.arrivals() == 3);
}

// The seeds were exchanged while the system ran, and an entry starts that is told of one VM only, which does not lead.
// It refused everything for good, though the ledger was sound (okpara-stow scale-1, 2026-12-02).
BOOST_AUTO_TEST_CASE(an_entry_finds_a_leader_that_is_none_of_its_seeds)
{
    System system;
    const std::size_t leader = system.putDocument(3);
    const std::size_t other = (leader + 1) % system.ledgers.size();
    const Address entry = system.addEntry({system.ledgers[other].peer});
    BOOST_TEST(system.turn(entry, "b1", {}).status == 200U);
}

BOOST_AUTO_TEST_CASE(operators_are_answered_truthfully)
{
    System system;
    const std::size_t leader = system.putDocument(5);
    const Address control = system.ledgers[leader].control;
    const std::string path = "/cardamompost/configuration";
    BOOST_TEST(system.stage.call(control, "GET", path).body == document(5));
    // The same again, or an older one, is acknowledged and changes nothing.
    BOOST_TEST(system.stage.call(control, "PUT", path, {}, document(5)).status == 200U);
    BOOST_TEST(system.stage.call(control, "PUT", path, {}, document(4)).status == 200U);
    BOOST_TEST(system.stage.call(control, "GET", path).body == document(5));
    BOOST_TEST(system.stage.call(control, "PUT", path, {}, document(6).substr(0, 300)).status == 400U);
    const std::size_t other = (leader + 1) % system.ledgers.size();
    const HttpResponse sent = system.stage.call(system.ledgers[other].control, "GET", path);
    BOOST_TEST(sent.status == 307U);
    BOOST_TEST(system.stage.call(control, "POST", "/cardamompost/retire/nobody").status == 404U);
    // With three VMs, none can be spared.
    const bool isRefused = System::eventually(
        [&] { return system.stage.call(control, "POST", "/cardamompost/retire/ledger-0").status == 409; });
    BOOST_TEST(isRefused);
}

// Three users complain: a plan review that was refused, a cargo declaration without an answer, a program that was
// stopped. All that is left are the logs; docs/OPERATIONS.md tells how to go from the request's id to the cause.
BOOST_AUTO_TEST_CASE(three_failed_requests_are_explained_by_their_logs)
{
    System system;
    const std::size_t leader = system.putDocument(3);
    const std::vector<Address> seeds {system.ledgers[0].peer, system.ledgers[1].peer, system.ledgers[2].peer};
    const Address entry = system.addEntry(seeds);

    const HttpHeaders tool {{"Host", "h.example"}, {"Request-Id", "c1"}, {"Deadline-Milliseconds", "3000"}};
    BOOST_TEST(system.stage.call(entry, "POST", "/tools/lost", tool, "declare").status == 502U);
    BOOST_TEST(system.explain("c1").cause.find("may have run, so it was not sent again") != std::string::npos);
    BOOST_TEST(system.explain("c1").cause.find("'i-1'") != std::string::npos);

    BOOST_TEST(system.turn(entry, "d1", {}, 60).status == 200U);
    BOOST_TEST(system.turn(entry, "d2", {}, 60).status == 402U);
    BOOST_TEST(system.explain("d2").cause.find("spent 20 and reserved 0 for turns under way of its budget of 60 tokens")
               != std::string::npos);

    system.running[leader].reset();
    system.running[(leader + 1) % system.running.size()].reset();
    BOOST_TEST(system.turn(entry, "e1", {}).status == 503U);
    const Explanation refused = system.explain("e1");
    BOOST_TEST(refused.cause.find("found no leader of the ledger") != std::string::npos);
    BOOST_TEST(refused.missing.empty());
    const auto isLost = [](const ExplainedLine &line) { return line.event == "ledger.lost"; };
    BOOST_TEST(std::any_of(refused.surroundings.begin(), refused.surroundings.end(), isLost));
    BOOST_TEST(!system.explain("nobody").missing.empty());
}

BOOST_AUTO_TEST_SUITE_END()
