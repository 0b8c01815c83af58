#include "cp_program_script.hpp"

#include <fmt/format.h>

namespace cardamompost::cli
{

namespace
{

constexpr std::int64_t maxTokens = 1'000'000;
constexpr std::int64_t maxPauseMs = 3'600'000;

void readProgram(const IniSection &section, ProgramScriptResult &result)
{
    SectionReader reader(section, result.errors);
    result.script.deployment = reader.requiredText("deployment");
    result.script.workClass = reader.requiredText("class");
    result.script.budgetTokens = reader.integer("budget_tokens", 0, 1, 1'000'000'000);
    reader.finish();
}

void readTurn(const IniSection &section, ProgramScriptResult &result)
{
    SectionReader reader(section, result.errors);
    Turn turn;
    turn.name = section.name;
    const std::string kind = reader.requiredText("kind");
    if (const auto known = valueOf(turnKindNames, kind)) {
        turn.kind = *known;
    } else if (!kind.empty()) {
        reader.addError("kind", "expected model, service, pause or agent");
    }
    if (turn.kind == TurnKind::Model || turn.kind == TurnKind::Agent) {
        turn.content = reader.requiredText("content");
        turn.maxTokens = reader.integer("max_tokens", 64, 1, maxTokens);
    } else if (turn.kind == TurnKind::Pause) {
        turn.pauseMs = reader.integer("ms", 0, 0, maxPauseMs);
    } else {
        turn.service = reader.requiredText("service");
        turn.method = reader.requiredText("method");
        turn.path = reader.requiredText("path");
        turn.body = reader.text("body");
        turn.isIdempotent = reader.boolean("idempotent", false);
    }
    reader.finish();
    result.script.turns.push_back(std::move(turn));
}

} // namespace

ProgramScriptResult parseProgramScript(std::string_view text)
{
    ProgramScriptResult result;
    const IniDocument document = IniDocument::parse(text);
    result.errors = document.errors();
    for (const IniSection &section : document.sections()) {
        if (section.kind == "program") {
            readProgram(section, result);
        } else if (section.kind == "turn") {
            readTurn(section, result);
        } else {
            result.errors.push_back(
                {section.line, section.header(), {}, fmt::format("'{}' is not a kind of section", section.kind)});
        }
    }
    if (result.script.turns.empty()) {
        result.errors.push_back({0, {}, {}, "the script has no [turn NAME] section"});
    }
    return result;
}

} // namespace cardamompost::cli
