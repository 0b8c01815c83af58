#include "support/cp_gateway_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

// Turns that the only server takes before it counts as full: a tenth more than its 16 slots.
constexpr int room = 18;
// Longer than the time for which rates have to be measured.
constexpr Milliseconds measuringTime {1100};

//! A cluster with one server, and one entry.
class OneServer
{
public:
    explicit OneServer(bool refusesPrograms)
    {
        cluster.platform.setList({{0}});
        if (refusesPrograms) {
            cluster.killLedgers();
            for (std::size_t i = 0; i < cluster.ledgerSettings.size(); ++i) {
                cluster.ledgerSettings[i].placement.refusesHopelessPrograms = true;
                cluster.restartLedger(i);
            }
        }
        leader = cluster.putDocument(3);
        entry = cluster.addEntry(cluster.seeds());
    }
    //! Begins the first turn of a program.
    std::future<HttpResponse> begin(const std::string &id, const std::string &path, int timeLeftMs,
                                    Milliseconds patience = Milliseconds(6000))
    {
        HttpHeaders headers = GatewayCluster::headers(id);
        headers["Program"] = "program-" + id;
        headers["Token-Usage"] = "100,50";
        headers["Token-Budget"] = "1000";
        headers["Program-Time-Left"] = std::to_string(timeLeftMs);
        return cluster.platform.begin(entry, "POST", path, headers, "in", patience);
    }
    //! Lets programs hold all slots until their deadlines.
    void fill()
    {
        for (int i = 0; i < room; ++i) {
            holders.push_back(begin("fill" + std::to_string(i), "/drafts/never", 4000));
        }
        const bool isFull = GatewayCluster::eventually([&] {
            int running = 0;
            for (int i = 0; i < room; ++i) {
                running += cluster.platform.runsOf("fill" + std::to_string(i)) > 0 ? 1 : 0;
            }
            return running == room;
        });
        BOOST_TEST(isFull);
    }
    [[nodiscard]] double leaderMetric(const std::string &series)
    {
        return cluster.metricValue(cluster.ledgerSettings[leader].directory, series);
    }

    GatewayCluster cluster;
    std::size_t leader = 0;
    Address entry;
    std::vector<std::future<HttpResponse>> holders;
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_admission)

// Guards against programs that wait although they can't be in time, and against refused ones that run all the same.
BOOST_AUTO_TEST_CASE(a_hopeless_program_is_refused_at_once_with_a_time_to_come_back_and_never_runs)
{
    OneServer test(true);
    BOOST_TEST(test.begin("first", "/drafts/1", 4000).get().status == 200U);
    std::this_thread::sleep_for(measuringTime);
    BOOST_TEST(test.begin("second", "/drafts/1", 4000).get().status == 200U);
    test.fill();
    constexpr int hopelessMs = 100;
    const HttpResponse refused = test.begin("hopeless", "/drafts/1", hopelessMs).get();
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(!refused.header("Retry-After").empty());
    // Without a refusal it would have waited for one of them.
    const auto isHeld = [](const std::future<HttpResponse> &holder) {
        return holder.wait_for(Milliseconds(0)) == std::future_status::timeout;
    };
    BOOST_TEST(std::any_of(test.holders.begin(), test.holders.end(), isHeld));
    BOOST_TEST(test.cluster.explainEnd("hopeless").cause.find("would have waited") != std::string::npos);
    BOOST_TEST(test.cluster.matchingLogCount("program.refused", "hopeless") == 1U);
    BOOST_TEST(test.leaderMetric("cardamompost_programs_refused_total{reason=\"too-late\"}") == 1);
    for (auto &holder : test.holders) {
        holder.wait();
    }
    BOOST_TEST(test.begin("afterwards", "/drafts/1", 4000).get().status == 200U);
    BOOST_TEST(test.cluster.platform.runsOf("hopeless") == 0U);
    BOOST_TEST(test.leaderMetric("cardamompost_turns_beginning") == 0);
}

// Guards against a leader's memory that grows with each caller that leaves while its turn waits for a slot.
BOOST_AUTO_TEST_CASE(turns_whose_callers_leave_the_queue_are_forgotten)
{
    OneServer test(false);
    test.fill();
    constexpr int impatientCallers = 8;
    std::vector<std::future<HttpResponse>> impatient;
    for (int i = 0; i < impatientCallers; ++i) {
        impatient.push_back(test.begin("left" + std::to_string(i), "/drafts/1", 4000, Milliseconds(300)));
    }
    for (auto &answer : impatient) {
        BOOST_TEST(answer.get().status == 0U);
    }
    for (auto &holder : test.holders) {
        holder.wait();
    }
    const bool areForgotten = GatewayCluster::eventually([&] {
        return test.leaderMetric("cardamompost_turns_beginning") == 0
            && test.leaderMetric("cardamompost_turns_waiting") == 0;
    });
    BOOST_TEST(areForgotten);
}

BOOST_AUTO_TEST_SUITE_END()
