#ifndef CARDAMOMPOST_CP_JOURNAL_RECORD_HPP_INCLUDED
#define CARDAMOMPOST_CP_JOURNAL_RECORD_HPP_INCLUDED

#include <cardamompost/core/cp_error.hpp>
#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/core/cp_name_table.hpp>

#include <variant>

namespace cardamompost
{

//! What a call is sent to.
enum class CallKind : std::uint8_t {
    Model,
    Service,
};

inline constexpr std::array callKindNames {
    Named {CallKind::Model, "model"},
    Named {CallKind::Service, "service"},
};

struct ProgramCreated {
    std::string caller;
    std::string deployment;
    std::string workClass;
    std::int64_t budgetTokens = 0;
    //! Wall-clock time by which the whole program has to end, in ms since 1970; 0 for none.
    std::int64_t deadlineMs = 0;
    std::string idempotencyKey;
    std::uint64_t bodyHash = 0;
    //! It ends with its first call.
    bool isSingleCall = false;
    //! The program that this one works for, in the same partition; empty for none.
    ProgramId parent;
};

struct CallAccepted {
    std::uint32_t sequence = 0;
    std::string idempotencyKey;
    std::uint64_t bodyHash = 0;
    CallKind kind = CallKind::Model;
    //! It may be executed again when nobody knows whether it was.
    bool isIdempotent = true;
    std::int64_t reservedTokens = 0;
    //! JSON as the caller sent it.
    std::string request;
};

//! Durable before the call is sent to a backend server.
struct CallIntent {
    std::uint32_t sequence = 0;
    std::uint32_t attempt = 0;
    //! Name of the replica, or address of the service.
    std::string backend;
    //! Wall-clock time after which the backend server does not work on the attempt any more, in ms since 1970.
    std::int64_t deadlineMs = 0;
    //! The attempt that began the answer which this one continues; itself for one that begins anew.
    std::uint32_t rootAttempt = 0;
    //! What earlier attempts had generated, and this one goes on from.
    std::uint64_t keptTokens = 0;
    std::string keptText;
};

//! How a call ended.
struct CallResult {
    std::uint32_t sequence = 0;
    std::uint32_t attempt = 0;
    Outcome outcome = Outcome::Ran;
    //! Empty for an answer.
    std::string errorKind;
    std::string errorMessage;
    //! Of a service's answer.
    std::uint16_t status = 0;
    //! Text of a model, or body of a service.
    std::string answer;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    std::int64_t cachedTokens = 0;
    std::uint32_t rootAttempt = 0;
    //! A model's answer ended at the most tokens that the call was allowed.
    bool isCutOff = false;
};

//! A request with an idempotency key that was refused; the refusal stands for the key.
struct CallRefused {
    std::string idempotencyKey;
    std::string errorKind;
    std::string errorMessage;
};

struct ProgramEnded {
    std::string reason;
};

//! A replica has confirmed that it holds nothing of an ended program.
struct BackendReleased {
    std::string backend;
};

//! One entry of a partition's journal.
struct JournalRecord {
    ProgramId program;
    //! Wall-clock time when it was written, in ms since 1970.
    std::int64_t wallMs = 0;
    std::variant<ProgramCreated, CallAccepted, CallIntent, CallResult, CallRefused, ProgramEnded, BackendReleased> body;
};

[[nodiscard]] std::string encodeRecord(const JournalRecord &record);

//! Errors: StorageCorrupt for bytes that encodeRecord() did not make.
[[nodiscard]] Result<JournalRecord> decodeRecord(std::string_view bytes);

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_JOURNAL_RECORD_HPP_INCLUDED
