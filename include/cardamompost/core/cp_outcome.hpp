#ifndef CARDAMOMPOST_CP_OUTCOME_HPP_INCLUDED
#define CARDAMOMPOST_CP_OUTCOME_HPP_INCLUDED

#include <cardamompost/core/cp_name_table.hpp>

#include <array>

namespace cardamompost
{

//! Whether a request was executed, as known at its final answer.
enum class Outcome {
    //! Executed; the answer is its result.
    Ran,
    //! Not executed, and never will be under its idempotency key.
    NotRun,
    //! May have been executed; will not be executed again.
    Unknown,
};

inline constexpr std::array outcomeNames {
    Named {Outcome::Ran, "ran"},
    Named {Outcome::NotRun, "not-run"},
    Named {Outcome::Unknown, "unknown"},
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_OUTCOME_HPP_INCLUDED
