#ifndef CARDAMOMPOST_CP_ERROR_KIND_HPP_INCLUDED
#define CARDAMOMPOST_CP_ERROR_KIND_HPP_INCLUDED

#include <cardamompost/core/cp_outcome.hpp>

#include <optional>
#include <string_view>

namespace cardamompost
{

//! All kinds of errors. Callers get the name, never the number.
enum class ErrorKind {
    InvalidRequest,
    InvalidConfiguration,
    Unauthenticated,
    Forbidden,
    NotFound,
    MethodNotAllowed,
    RequestTimeout,
    TooLarge,
    HeadersTooLarge,
    OutOfOrder,
    IdempotencyConflict,
    VersionConflict,
    ProgramEnded,
    BudgetExhausted,
    OverLimit,
    Overloaded,
    NotReady,
    NotOwner,
    NotLeader,
    DeadlineExceeded,
    Cancelled,
    BackendFailed,
    PeerLost,
    StorageFailed,
    StorageCorrupt,
    Internal,
};

//! The answer to a caller for one kind of error.
struct ErrorAnswer {
    ErrorKind kind;
    std::string_view name;
    //! HTTP status code.
    unsigned status;
    //! Outcome unless the error has a more precise one.
    Outcome outcome;
};

//! Defined for every kind.
[[nodiscard]] const ErrorAnswer &answerFor(ErrorKind kind);

//! The kind with a name; empty for an unknown name.
[[nodiscard]] std::optional<ErrorKind> errorKindFromName(std::string_view name);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_ERROR_KIND_HPP_INCLUDED
