#ifndef CARDAMOMPOST_CP_ERROR_HPP_INCLUDED
#define CARDAMOMPOST_CP_ERROR_HPP_INCLUDED

#include <cardamompost/core/cp_error_kind.hpp>

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace cardamompost
{

//! An error with its message, outcome and retry hint.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    //! Set if more is known than the kind implies.
    std::optional<Outcome> outcome;
    //! Recommended delay before a retry.
    std::optional<std::chrono::milliseconds> retryAfter;

    //! The recorded outcome, or the one that the kind implies.
    [[nodiscard]] Outcome effectiveOutcome() const
    {
        return outcome.value_or(answerFor(kind).outcome);
    }
};

//! A value or an Error.
template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

//! An Error without outcome and retry hint.
[[nodiscard]] inline Error makeError(ErrorKind kind, std::string message)
{
    return Error {kind, std::move(message), std::nullopt, std::nullopt};
}

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ERROR_HPP_INCLUDED
