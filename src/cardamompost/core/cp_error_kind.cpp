#include <cardamompost/core/cp_error_kind.hpp>

#include <array>
#include <cstddef>

namespace cardamompost
{

namespace
{

constexpr std::array answers {
    ErrorAnswer {ErrorKind::InvalidRequest, "invalid-request", 400, Outcome::NotRun},
    ErrorAnswer {ErrorKind::InvalidConfiguration, "invalid-configuration", 422, Outcome::NotRun},
    ErrorAnswer {ErrorKind::Unauthenticated, "unauthenticated", 401, Outcome::NotRun},
    ErrorAnswer {ErrorKind::Forbidden, "forbidden", 403, Outcome::NotRun},
    ErrorAnswer {ErrorKind::NotFound, "not-found", 404, Outcome::NotRun},
    ErrorAnswer {ErrorKind::MethodNotAllowed, "method-not-allowed", 405, Outcome::NotRun},
    ErrorAnswer {ErrorKind::RequestTimeout, "request-timeout", 408, Outcome::NotRun},
    ErrorAnswer {ErrorKind::TooLarge, "too-large", 413, Outcome::NotRun},
    ErrorAnswer {ErrorKind::HeadersTooLarge, "headers-too-large", 431, Outcome::NotRun},
    ErrorAnswer {ErrorKind::OutOfOrder, "out-of-order", 409, Outcome::NotRun},
    ErrorAnswer {ErrorKind::IdempotencyConflict, "idempotency-conflict", 409, Outcome::NotRun},
    ErrorAnswer {ErrorKind::VersionConflict, "version-conflict", 412, Outcome::NotRun},
    ErrorAnswer {ErrorKind::ProgramEnded, "program-ended", 410, Outcome::NotRun},
    ErrorAnswer {ErrorKind::BudgetExhausted, "budget-exhausted", 402, Outcome::NotRun},
    ErrorAnswer {ErrorKind::OverLimit, "over-limit", 429, Outcome::NotRun},
    ErrorAnswer {ErrorKind::Overloaded, "overloaded", 503, Outcome::NotRun},
    ErrorAnswer {ErrorKind::NotReady, "not-ready", 503, Outcome::NotRun},
    ErrorAnswer {ErrorKind::NotOwner, "not-owner", 503, Outcome::Unknown},
    ErrorAnswer {ErrorKind::NotLeader, "not-leader", 503, Outcome::Unknown},
    ErrorAnswer {ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, Outcome::Unknown},
    ErrorAnswer {ErrorKind::Cancelled, "cancelled", 409, Outcome::Unknown},
    ErrorAnswer {ErrorKind::BackendFailed, "backend-failed", 502, Outcome::Unknown},
    ErrorAnswer {ErrorKind::PeerLost, "peer-lost", 502, Outcome::Unknown},
    ErrorAnswer {ErrorKind::StorageFailed, "storage-failed", 503, Outcome::Unknown},
    ErrorAnswer {ErrorKind::StorageCorrupt, "storage-corrupt", 503, Outcome::Unknown},
    ErrorAnswer {ErrorKind::Internal, "internal", 500, Outcome::Unknown},
};

constexpr bool coversEveryKindInOrder()
{
    for (std::size_t i = 0; i < answers.size(); ++i) {
        if (static_cast<std::size_t>(answers[i].kind) != i) {
            return false;
        }
    }
    return answers.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1;
}

static_assert(coversEveryKindInOrder());

} // namespace

const ErrorAnswer &answerFor(ErrorKind kind)
{
    return answers[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    for (const auto &answer : answers) {
        if (answer.name == name) {
            return answer.kind;
        }
    }
    return std::nullopt;
}

} // namespace cardamompost
