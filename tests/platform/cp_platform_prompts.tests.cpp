#include "support/cp_gateway_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace cardamompost;
using namespace cardamompost::tests;

namespace
{

PlacementOptions namingSources(bool isOn)
{
    PlacementOptions options;
    options.namesPromptSources = isOn;
    return options;
}

//! Runs the first turn of a program, and has its engine leave before the second one.
class LeavingEngineCluster : public GatewayCluster
{
public:
    LeavingEngineCluster(bool namesSources, bool canFetch)
        : GatewayCluster(namingSources(namesSources))
    {
        platform.setList({{0}, {1}, {2}});
        std::string text = document(3);
        const std::string stride = R"("stride":10)";
        text.replace(text.find(stride), stride.size(), stride + R"(,"moves":)" + (canFetch ? "true" : "false"));
        put(text);
        entry = addEntry(seeds());
        BOOST_REQUIRE(turn("f1", {}).status == 200U);
        home = platform.serversOf("f1").front();
        // The log lines of the entry's start precede that of the turn.
        BOOST_TEST(!explainEnd("f1").lines.empty());
    }
    //! Changes the list, and waits until the entry uses it.
    void changeList(std::vector<ListedServer> list)
    {
        const std::size_t before = logCount("backends.taken");
        platform.setList(std::move(list));
        BOOST_REQUIRE(eventually([&] { return logCount("backends.taken") > before; }));
    }
    void leave()
    {
        std::vector<ListedServer> list {{0}, {1}, {2}};
        list[home].isLeaving = true;
        changeList(std::move(list));
    }
    //! The caller sets the header, too.
    HttpResponse turn(const std::string &id, const std::string &previous, const std::string &path = "/plans/1")
    {
        HttpHeaders turnHeaders = headers(id);
        turnHeaders["Program"] = "p1";
        turnHeaders["Token-Usage"] = "20000,50";
        turnHeaders["Token-Budget"] = "1000";
        turnHeaders["Kv-Fetch"] = "127.0.0.9:9";
        if (!previous.empty()) {
            turnHeaders["Previous-Turn"] = previous;
        }
        return platform.call(entry, "POST", path, turnHeaders, "in-" + id + ";");
    }
    [[nodiscard]] double fetches()
    {
        return metricValue(entrySettings.front().ready, "cardamompost_prompt_fetches_total");
    }
    [[nodiscard]] std::string sourceOf(const std::string &id)
    {
        return platform.headerOf(id, "Kv-Fetch");
    }

    Address entry;
    std::size_t home = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_prompts)

// Guards against computing a program's prompt again because its engine leaves.
BOOST_AUTO_TEST_CASE(a_turn_fetches_its_prompt_from_the_leaving_engine_of_its_program)
{
    LeavingEngineCluster cluster(true, true);
    BOOST_TEST(cluster.sourceOf("f1").empty());
    cluster.leave();
    BOOST_TEST(cluster.turn("f2", "f1").status == 200U);
    const std::size_t next = cluster.platform.serversOf("f2").front();
    BOOST_TEST(next != cluster.home);
    BOOST_TEST(cluster.sourceOf("f2") == cluster.platform.addressOf(cluster.home).toString());
    BOOST_TEST(cluster.fetches() == 1);
    BOOST_TEST(!cluster.explainEnd("f2").lines.empty());
    const std::string field = R"("prompt_source":"i-)" + std::to_string(cluster.home + 1) + '"';
    BOOST_TEST(cluster.matchingLogCount("request.end", field) == 1U);
    // The program stays where it is now.
    BOOST_TEST(cluster.turn("f3", "f2").status == 200U);
    BOOST_TEST((cluster.platform.serversOf("f3") == std::vector {next}));
    BOOST_TEST(cluster.sourceOf("f3").empty());
    BOOST_TEST(cluster.fetches() == 1);
}

// Guards against naming engines that can't serve prompts: those of a service without fetches, and those that are gone.
BOOST_AUTO_TEST_CASE(no_prompt_is_fetched_where_engines_cannot_or_the_setting_is_off_or_the_engine_is_gone)
{
    for (const auto &[namesSources, canFetch] : {std::pair(true, false), std::pair(false, true)}) {
        LeavingEngineCluster cluster(namesSources, canFetch);
        cluster.leave();
        BOOST_TEST(cluster.turn("f2", "f1").status == 200U);
        BOOST_TEST(cluster.platform.serversOf("f2").front() != cluster.home);
        BOOST_TEST(cluster.sourceOf("f2").empty());
        BOOST_TEST(cluster.fetches() == 0);
    }
    LeavingEngineCluster cluster(true, true);
    std::vector<ListedServer> list {{0}, {1}, {2}};
    list.erase(list.begin() + static_cast<std::ptrdiff_t>(cluster.home));
    cluster.changeList(list);
    BOOST_TEST(cluster.turn("f2", "f1").status == 200U);
    BOOST_TEST(cluster.platform.serversOf("f2").front() != cluster.home);
    BOOST_TEST(cluster.sourceOf("f2").empty());
}

// Guards against a turn that every engine refuses for the source that it names.
BOOST_AUTO_TEST_CASE(a_turn_that_is_refused_with_its_source_is_sent_again_without_it)
{
    LeavingEngineCluster cluster(true, true);
    cluster.leave();
    BOOST_TEST(cluster.turn("f2", "f1", "/plans/no-fetch").status == 200U);
    const std::vector<std::size_t> servers = cluster.platform.serversOf("f2");
    BOOST_REQUIRE(servers.size() == 2U);
    BOOST_TEST(servers[0] != servers[1]);
    BOOST_TEST(cluster.sourceOf("f2").empty());
    BOOST_TEST(cluster.platform.bodyOf("f2") == "in-f1;a-f1\nb-f1\nin-f2;");
    BOOST_TEST(cluster.fetches() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
