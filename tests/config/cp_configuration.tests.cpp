#include <cardamompost/config/cp_configuration.hpp>
#include <cardamompost/config/cp_section_document.hpp>
#include <cardamompost/config/cp_settings.hpp>
#include <cardamompost/core/cp_ids.hpp>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace cardamompost;

namespace
{

std::string validDocument()
{
    return fmt::format(R"([class plan]
rank = 0

; the small one
[deployment agents]
model = m-7b
classes = plan

[replica agents/0]
deployment = agents
address = 127.0.0.1:9000
failure_domain = apapa

[caller officers]
key_sha256 = {}
deployments = agents
classes = plan

[operator duty]
key_sha256 = {}
)",
                       sha256Hex("officer"), sha256Hex("duty"));
}

std::vector<std::string> errorsOf(const std::string &text)
{
    std::vector<std::string> errors;
    const Configuration::ParseResult parsed = Configuration::parse(text);
    for (const ConfigError &error : parsed.errors) {
        errors.push_back(error.toString());
    }
    return errors;
}

bool hasError(const std::string &text, const std::string &part)
{
    const std::vector<std::string> errors = errorsOf(text);
    return std::any_of(errors.begin(), errors.end(),
                       [&](const std::string &error) { return error.find(part) != std::string::npos; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(a_valid_document_is_parsed_completely)
{
    const Configuration::ParseResult parsed = Configuration::parse(validDocument());
    BOOST_REQUIRE(parsed.errors.empty());
    const Deployment *deployment = parsed.configuration.findDeployment("agents");
    BOOST_REQUIRE(deployment != nullptr);
    BOOST_TEST(deployment->replicas.size() == 1U);
    BOOST_TEST(deployment->placementPolicy == "warm-detour");
    const Caller *caller = parsed.configuration.callerByKey("officer");
    BOOST_REQUIRE(caller != nullptr);
    BOOST_TEST(caller->name == "officers");
    BOOST_TEST(parsed.configuration.callerByKey("other") == nullptr);
    BOOST_TEST(parsed.configuration.operatorByKey("duty") != nullptr);
    BOOST_TEST(parsed.configuration.operatorByKey("officer") == nullptr);
}

BOOST_AUTO_TEST_CASE(every_error_is_reported_at_once_with_line_section_and_key)
{
    const std::string text = R"([class plan]
rank = high
colour = red

[deployment agents]
classes = plan, missing

[replica r]
deployment = nowhere
address = host:1
failure_domain = a

[class plan]

[shelf x]
no equals sign
)";
    BOOST_TEST(hasError(text, "line 2: [class plan] rank: 'high' is not a whole number"));
    BOOST_TEST(hasError(text, "line 3: [class plan] colour: unknown key in this section"));
    BOOST_TEST(hasError(text, "line 5: [deployment agents] model: a value is required"));
    BOOST_TEST(hasError(text, "line 6: [deployment agents] classes: 'missing' is not declared"));
    BOOST_TEST(hasError(text, "line 9: [replica r] deployment: 'nowhere' is not declared"));
    BOOST_TEST(hasError(text, "line 10: [replica r] address: 'host:1' is not an IP address with a port"));
    BOOST_TEST(hasError(text, "line 13: [class plan] duplicate section"));
    BOOST_TEST(hasError(text, "line 15: [shelf x] 'shelf' is not a kind of section"));
    BOOST_TEST(hasError(text, "line 16: [shelf x] expected 'key = value'"));
    BOOST_TEST(errorsOf(text).size() == 9U);
}

BOOST_AUTO_TEST_CASE(two_accounts_cannot_share_a_key)
{
    BOOST_TEST(hasError(validDocument() + fmt::format("[caller others]\nkey_sha256 = {}\n", sha256Hex("duty")),
                        "another account has the same key"));
}

BOOST_AUTO_TEST_CASE(invalid_utf8_is_rejected)
{
    BOOST_TEST(hasError("[class \xff]\n", "line 1: the line is not valid UTF-8 text"));
    BOOST_TEST(!isCleanUtf8("\xc0\xaf"));
    BOOST_TEST(!isCleanUtf8("\xed\xa0\x80"));
    BOOST_TEST(!isCleanUtf8("\xf4\x90\x80\x80"));
    BOOST_TEST(isCleanUtf8("\xe2\x82\xac and \xf0\x9f\x9a\xa2"));
}

BOOST_AUTO_TEST_CASE(a_delta_holds_only_changed_sections)
{
    const SectionDocument before = SectionDocument::fromText(validDocument());
    std::string text = validDocument();
    text.replace(text.find("rank = 0"), 8, "rank = 3");
    const SectionDocument after = SectionDocument::fromText(text);
    const DocumentDelta delta = before.deltaTo(after);
    BOOST_REQUIRE(delta.upserts.size() == 1U);
    BOOST_TEST(delta.upserts[0].header == "class plan");
    BOOST_TEST(delta.removals.empty());
}

BOOST_AUTO_TEST_CASE(applying_a_delta_gives_the_other_document_with_its_comments)
{
    SectionDocument document = SectionDocument::fromText(validDocument());
    const std::string next = "[class plan]\nrank = 1\n[class trim]\nrank = 2\n\n; the small one, now with two kinds of "
                             "work\n[deployment agents]\nmodel = m\n";
    const SectionDocument wanted = SectionDocument::fromText(next);
    document.apply(document.deltaTo(wanted));
    BOOST_TEST(document.text() == wanted.text());
    BOOST_TEST(document.deltaTo(wanted).isEmpty());
}

BOOST_AUTO_TEST_CASE(the_line_difference_shows_old_and_new_lines)
{
    const std::string difference
        = lineDifference("[class a]\nrank = 1\n[class b]\n", "[class a]\nrank = 2\n[class c]\n");
    BOOST_TEST(difference == "- [class a]\n- rank = 1\n- [class b]\n+ [class a]\n+ rank = 2\n+ [class c]\n");
}

BOOST_AUTO_TEST_CASE(missing_settings_are_reported)
{
    const SettingsResult parsed
        = parseSettings("[vm]\nname = vm-1\nhttp = 127.0.0.1:1\npeer = 127.0.0.1:2\nkeeper = true\n");
    std::string all;
    for (const ConfigError &error : parsed.errors) {
        all += error.toString() + "\n";
    }
    BOOST_TEST(all.find("failure_domain: a value is required") != std::string::npos);
    BOOST_TEST(all.find("data_folder: a keeper needs a data folder") != std::string::npos);
    BOOST_TEST(all.find("at least one [keeper NAME] section is required") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
