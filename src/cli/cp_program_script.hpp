#ifndef CARDAMOMPOST_CP_PROGRAM_SCRIPT_HPP_INCLUDED
#define CARDAMOMPOST_CP_PROGRAM_SCRIPT_HPP_INCLUDED

#include <cardamompost/config/cp_section_reader.hpp>
#include <cardamompost/core/cp_name_table.hpp>

#include <array>

namespace cardamompost::cli
{

//! What a turn of a scripted program does.
enum class TurnKind {
    Model,
    Service,
    //! Waits, as for a local tool of the program.
    Pause,
    //! Runs a sub-agent's program with one model call, charged to the same budget.
    Agent,
};

inline constexpr std::array turnKindNames {
    Named {TurnKind::Model, "model"},
    Named {TurnKind::Service, "service"},
    Named {TurnKind::Pause, "pause"},
    Named {TurnKind::Agent, "agent"},
};

struct Turn {
    std::string name;
    TurnKind kind = TurnKind::Model;
    std::string content;
    std::int64_t maxTokens = 0;
    std::int64_t pauseMs = 0;
    std::string service;
    std::string method;
    std::string path;
    std::string body;
    bool isIdempotent = false;
};

//! A scripted program, read from an INI file with a [program] section and [turn NAME] sections.
struct ProgramScript {
    std::string deployment;
    std::string workClass;
    std::int64_t budgetTokens = 0;
    std::vector<Turn> turns;
};

struct ProgramScriptResult {
    ProgramScript script;
    std::vector<ConfigError> errors;
};

[[nodiscard]] ProgramScriptResult parseProgramScript(std::string_view text);

} // namespace cardamompost::cli

#endif // CARDAMOMPOST_CP_PROGRAM_SCRIPT_HPP_INCLUDED
