#ifndef CARDAMOMPOST_CP_LOAD_PROFILE_HPP_INCLUDED
#define CARDAMOMPOST_CP_LOAD_PROFILE_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cardamompost::cli
{

//! Inclusive bounds of a uniformly distributed integer.
struct Range {
    std::int64_t min = 0;
    std::int64_t max = 0;

    std::int64_t draw(std::mt19937_64 &random) const
    {
        return std::uniform_int_distribution<std::int64_t>(min, max)(random);
    }
};

//! Distribution of the programs of one work class.
struct LoadShape {
    std::string workClass;
    //! Share of all programs, relative to the other shapes.
    double share = 1.0;
    Range turns;
    Range pauseMs;
    Range promptWords;
    Range maxTokens;
    //! Probability that a turn runs a sub-agent's program.
    double agentShare = 0.0;
    //! Probability that a turn is a non-idempotent service call.
    double serviceShare = 0.0;
};

//! Mix of program classes with an arrival pattern.
struct LoadProfile {
    std::string name;
    std::vector<LoadShape> shapes;
    //! Period of the bursts; 0 for none.
    double burstEverySeconds = 0;
    double burstSeconds = 0;
    //! Factor on the arrival rate during a burst.
    double burstFactor = 1.0;
};

//! \param name  "okpara", "gatewise", "short-answers" or "long-answers"
[[nodiscard]] std::optional<LoadProfile> findProfile(const std::string &name);

} // namespace cardamompost::cli

#endif // CARDAMOMPOST_CP_LOAD_PROFILE_HPP_INCLUDED
