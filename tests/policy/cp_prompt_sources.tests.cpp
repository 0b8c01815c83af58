#include <cardamompost/policy/cp_turn_placement.hpp>

#include <boost/test/unit_test.hpp>

using namespace cardamompost;

namespace
{

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr std::uint32_t longPrompt = 20'000;

BackendServer engine(std::string id, bool isLeaving = false, std::uint64_t incarnation = 0,
                     std::string softwareVersion = {})
{
    return {std::move(id), "engines", {"127.0.0.1", 1}, "apapa", 4, isLeaving, incarnation, std::move(softwareVersion)};
}

SlotRequest turn(std::string id, std::string program = "p")
{
    SlotRequest request {std::move(id), std::move(program), "engines", "apapa", 0, true, false, Milliseconds(4000)};
    request.promptTokens = longPrompt;
    return request;
}

PlacementOptions namingSources()
{
    PlacementOptions options;
    options.namesPromptSources = true;
    return options;
}

//! A placement with engines "a" and "b", where program "p" has just ended a turn.
class SourcesFixture
{
public:
    explicit SourcesFixture(PlacementOptions options = namingSources(),
                            std::vector<BackendServer> engines = {engine("a"), engine("b")})
        : placement(7, options)
    {
        placement.setServers(engines, start);
        home = place(turn("first"));
        placement.release("first", start);
        other = home == "a" ? "b" : "a";
    }
    //! \returns the engine of a turn that is placed at once
    std::string place(const SlotRequest &request)
    {
        std::string placed = "-";
        placement.request(request, start, [&](const std::string &engineId) { placed = engineId; });
        return placed;
    }
    //! Places a turn of the program, which must not get its former engine. \returns its source
    std::string sourceElsewhere(const SlotRequest &request)
    {
        BOOST_TEST(place(request) == other);
        return placement.promptSourceOf(request.turn);
    }

    TurnPlacement placement;
    std::string home;
    std::string other;
};

} // namespace

BOOST_AUTO_TEST_SUITE(prompt_sources)

// Guards against computing the prompt again when a program leaves an engine for its load.
BOOST_AUTO_TEST_CASE(a_turn_that_leaves_a_loaded_engine_fetches_its_prompt_from_there)
{
    SourcesFixture fixture;
    std::string placed = fixture.home;
    int turns = 0;
    while (placed == fixture.home && turns < 100) {
        const std::string name = "t" + std::to_string(turns++);
        placed = fixture.place(turn(name));
        BOOST_TEST(fixture.placement.promptSourceOf(name) == (placed == fixture.home ? "" : fixture.home));
    }
    BOOST_TEST(placed == fixture.other);
    // The program lives at the other engine now.
    BOOST_TEST(fixture.place(turn("next")) == fixture.other);
    BOOST_TEST(fixture.placement.promptSourceOf("next").empty());
}

// Guards against computing the prompts of all programs again when a release replaces the engines.
BOOST_AUTO_TEST_CASE(an_engine_that_leaves_is_a_source_for_as_long_as_it_is_listed)
{
    for (const bool isUpdate : {true, false}) {
        SourcesFixture fixture;
        const auto setLeaving = [&](bool isListed) {
            if (isUpdate) {
                fixture.placement.updateServers(
                    isListed ? std::vector {engine(fixture.home, true)} : std::vector<BackendServer> {},
                    isListed ? std::vector<std::string> {} : std::vector {fixture.home}, start);
            } else {
                std::vector<BackendServer> listed {engine(fixture.other)};
                if (isListed) {
                    listed.push_back(engine(fixture.home, true));
                }
                fixture.placement.setServers(listed, start);
            }
        };
        fixture.placement.recordLastEngine("q", fixture.home, start);
        setLeaving(true);
        BOOST_TEST(fixture.sourceElsewhere(turn("p1")) == fixture.home);
        BOOST_TEST(fixture.sourceElsewhere(turn("p2")).empty());
        setLeaving(false);
        BOOST_TEST(fixture.sourceElsewhere(turn("q1", "q")).empty());
        // The source of a turn that has been placed stays as the entry was told.
        BOOST_TEST(fixture.placement.promptSourceOf("p1") == fixture.home);
    }
}

// Guards against a leaving engine that is known only from the new leader's first list.
BOOST_AUTO_TEST_CASE(a_new_leader_names_the_engines_recorded_in_the_log)
{
    TurnPlacement follower(7, namingSources());
    follower.recordLastEngine("p", "a", start);
    follower.clear();
    follower.setServers({engine("a", true), engine("b")}, start);
    std::string placed;
    follower.request(turn("t"), start, [&](const std::string &engineId) { placed = engineId; });
    BOOST_TEST(placed == "b");
    BOOST_TEST(follower.promptSourceOf("t") == "a");
    // Without a list, nothing is known of the engine.
    follower.clear();
    follower.request(turn("u"), start, [&](const std::string &engineId) { placed = engineId; });
    BOOST_TEST(follower.promptSourceOf("u").empty());
}

// Guards against waiting for an engine that does not answer.
BOOST_AUTO_TEST_CASE(an_engine_that_is_avoided_is_no_source)
{
    const TimePoint until = start + std::chrono::seconds(1);
    SourcesFixture open;
    open.placement.avoid(open.home, until);
    BOOST_TEST(open.sourceElsewhere(turn("t")).empty());
    SourcesFixture avoidedFirst;
    avoidedFirst.placement.avoid(avoidedFirst.home, until);
    avoidedFirst.placement.updateServers({engine(avoidedFirst.home, true)}, {}, start);
    BOOST_TEST(avoidedFirst.sourceElsewhere(turn("t")).empty());
    SourcesFixture leavingFirst;
    leavingFirst.placement.updateServers({engine(leavingFirst.home, true)}, {}, start);
    leavingFirst.placement.avoid(leavingFirst.home, until);
    BOOST_TEST(leavingFirst.sourceElsewhere(turn("t")).empty());
}

// Guards against asking an engine for prompts that it lost in a restart.
BOOST_AUTO_TEST_CASE(an_engine_that_restarted_under_its_id_is_no_source)
{
    const auto list = [](std::uint64_t incarnation) {
        return std::vector {engine("a", false, incarnation), engine("b", false, incarnation)};
    };
    // With or without a time between in which it was listed as leaving.
    for (const bool wasLeaving : {false, true}) {
        SourcesFixture fixture(namingSources(), list(1000));
        if (wasLeaving) {
            fixture.placement.updateServers({engine(fixture.home, true, 1000)}, {}, start);
        }
        fixture.placement.updateServers({engine(fixture.home, true, 2000)}, {}, start);
        BOOST_TEST(fixture.sourceElsewhere(turn("t")).empty());
    }
    SourcesFixture same(namingSources(), list(1000));
    same.placement.updateServers({engine(same.home, true, 1000)}, {}, start);
    BOOST_TEST(same.sourceElsewhere(turn("t")) == same.home);
}

// Guards against cached data of one software version in servers of another.
BOOST_AUTO_TEST_CASE(a_source_has_the_service_and_software_version_of_the_engine_that_fetches)
{
    const auto sourceOf = [](const std::string &homeVersion, const std::string &otherVersion) {
        SourcesFixture fixture;
        fixture.placement.updateServers(
            {engine(fixture.home, true, 0, homeVersion), engine(fixture.other, false, 0, otherVersion)}, {}, start);
        return fixture.sourceElsewhere(turn("t")) == fixture.home;
    };
    BOOST_TEST(sourceOf("v1", "v1"));
    BOOST_TEST(!sourceOf("v1", "v2"));
    BOOST_TEST(sourceOf("v1", ""));
    BOOST_TEST(sourceOf("", "v2"));
    SourcesFixture fixture;
    BackendServer elsewhere = engine("c");
    elsewhere.service = "others";
    fixture.placement.updateServers({elsewhere}, {}, start);
    SlotRequest request = turn("t");
    request.service = "others";
    BOOST_TEST(fixture.place(request) == "c");
    BOOST_TEST(fixture.placement.promptSourceOf("t").empty());
}

BOOST_AUTO_TEST_CASE(short_prompts_and_new_programs_have_no_source)
{
    const auto hasSource = [](std::uint32_t promptTokens, bool isInProgress, const std::string &program) {
        SourcesFixture fixture;
        fixture.placement.updateServers({engine(fixture.home, true)}, {}, start);
        SlotRequest request = turn("t", program);
        request.promptTokens = promptTokens;
        request.isInProgress = isInProgress;
        return !fixture.sourceElsewhere(request).empty();
    };
    BOOST_TEST(hasSource(longPrompt, true, "p"));
    BOOST_TEST(hasSource(longPrompt, false, "p"));
    BOOST_TEST(!hasSource(100, true, "p"));
    // The length is unknown.
    BOOST_TEST(hasSource(0, true, "p"));
    BOOST_TEST(!hasSource(0, false, "p"));
    BOOST_TEST(!hasSource(longPrompt, true, "unknown"));
}

BOOST_AUTO_TEST_CASE(no_source_is_named_by_default)
{
    SourcesFixture fixture(PlacementOptions {});
    fixture.placement.updateServers({engine(fixture.home, true)}, {}, start);
    BOOST_TEST(fixture.sourceElsewhere(turn("t")).empty());
}

// Guards against a repeated request that is told another source than the first one.
BOOST_AUTO_TEST_CASE(a_repeated_request_keeps_its_source_until_its_slot_is_released)
{
    SourcesFixture fixture;
    fixture.placement.updateServers({engine(fixture.home, true)}, {}, start);
    BOOST_TEST(fixture.sourceElsewhere(turn("t")) == fixture.home);
    BOOST_TEST(fixture.sourceElsewhere(turn("t")) == fixture.home);
    fixture.placement.release("t", start);
    BOOST_TEST(fixture.placement.promptSourceOf("t").empty());
}

BOOST_AUTO_TEST_SUITE_END()
