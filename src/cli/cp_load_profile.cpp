#include "cp_load_profile.hpp"

namespace cardamompost::cli
{

namespace
{

LoadProfile okpara()
{
    const LoadShape plans {"plan-session", 0.25, {4, 15}, {20, 200}, {30, 150}, {20, 60}, 0.1, 0.1};
    const LoadShape checks {"trim-check", 0.65, {1, 3}, {10, 60}, {20, 80}, {10, 40}, 0.0, 0.0};
    const LoadShape archive {"archive-pull", 0.10, {1, 2}, {0, 0}, {200, 600}, {40, 80}, 0.0, 0.0};
    return {"okpara", {plans, checks, archive}, 20.0, 3.0, 2.0};
}

LoadProfile gatewise()
{
    const LoadShape sessions {"dispatcher-session", 0.3, {10, 40}, {50, 400}, {40, 120}, {20, 50}, 0.1, 0.05};
    const LoadShape reshuffles {"gate-reshuffle", 0.6, {3, 6}, {10, 80}, {40, 120}, {20, 60}, 0.1, 0.1};
    const LoadShape archive {"archive-pull", 0.1, {1, 2}, {0, 0}, {200, 600}, {40, 80}, 0.0, 0.0};
    return {"gatewise", {sessions, reshuffles, archive}, 15.0, 4.0, 3.0};
}

//! Programs with a single call and a fixed answer length, for comparing the cost per token.
LoadProfile singleCalls(const std::string &name, std::int64_t tokens)
{
    const LoadShape calls {"trim-check", 1.0, {1, 1}, {0, 0}, {20, 20}, {tokens, tokens}, 0.0, 0.0};
    return {name, {calls}, 0.0, 0.0, 1.0};
}

} // namespace

std::optional<LoadProfile> findProfile(const std::string &name)
{
    if (name == "okpara") {
        return okpara();
    }
    if (name == "gatewise") {
        return gatewise();
    }
    if (name == "short-answers") {
        return singleCalls(name, 5);
    }
    if (name == "long-answers") {
        return singleCalls(name, 60);
    }
    return std::nullopt;
}

} // namespace cardamompost::cli
