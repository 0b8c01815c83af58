#ifndef CARDAMOMPOST_CP_LEDGER_STATE_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_STATE_HPP_INCLUDED

#include <cardamompost/ledger/cp_ledger_command.hpp>
#include <cardamompost/ledger/cp_turn_texts.hpp>

#include <map>
#include <unordered_map>

namespace cardamompost
{

//! Replicated state machine of the ledger: program budgets, turn histories, the route document, VMs, account usage and
//! the quarantine.
//!
//! Members that apply the same commands in the same order hold the same state. Expiry depends only on the times in the
//! commands, never on a member's clock.
//! Thread-safety: none.
class LedgerState
{
public:
    //! Bounds the traversal of a history.
    static constexpr std::size_t maxHistoryTurns = 10'000;
    //! Added to retention times, since the caller may receive the answer after the turn's finish was committed, and
    //! steady clocks drift.
    static constexpr std::int64_t expiryMarginMs = 15'000;

    //! \param index  log index of the command, which identifies the text of a turn that it finishes
    //! \returns the outcome of a TurnBegin; Granted for all other commands
    TurnBeginStatus apply(const LedgerCommand &command, LogIndex index);

    //! Returns the outcome that apply() would have for a TurnBegin, without applying it.
    //! \param pendingTokens  sum of the program's reservations that are proposed but not applied yet
    [[nodiscard]] TurnBeginStatus check(const TurnBegin &begin, std::int64_t pendingTokens) const;
    [[nodiscard]] bool isReserved(const std::string &program, const std::string &turn) const;
    //! True if the turn's reservation was made by this arrival of the request.
    [[nodiscard]] bool isAdmitted(const TurnBegin &begin) const;

    //! The version of the servers that run a stream; null if none is recorded.
    [[nodiscard]] const ServerVersion *streamVersion(const std::string &stream) const;
    [[nodiscard]] std::size_t streamCount() const
    {
        return streams_.size();
    }
    [[nodiscard]] bool hasTurn(const std::string &turn) const
    {
        return turns_.contains(turn);
    }
    //! Ledger time until which a turn and all its predecessors are retained; 0 for an unknown turn.
    [[nodiscard]] std::int64_t retainedUntilMs(const std::string &turn) const;
    //! Indexes of the texts of a turn and all its predecessors, oldest first; nothing if one of them is unknown or
    //! there are more than maxHistoryTurns.
    [[nodiscard]] std::optional<std::vector<LogIndex>> history(const std::string &turn) const;
    //! Size of the texts of a turn and all its predecessors.
    [[nodiscard]] std::size_t historyBytes(const std::string &turn) const;
    [[nodiscard]] TurnTexts &texts()
    {
        return texts_;
    }
    [[nodiscard]] const TurnTexts &texts() const
    {
        return texts_;
    }
    //! Takes over the texts of the state that this one replaces and removes those of unknown turns.
    void adoptTexts(TurnTexts &&texts);
    //! Tokens that the program's finished turns were charged.
    [[nodiscard]] std::int64_t spent(const std::string &program) const;
    //! Sum of the reservations of the program's running turns, in tokens.
    [[nodiscard]] std::int64_t reserved(const std::string &program) const;

    //! Requests under which backend servers have ended.
    [[nodiscard]] const Quarantine &quarantine() const
    {
        return quarantine_;
    }
    //! Recent usage of accounts with a limit.
    [[nodiscard]] const UsageLog &usage() const
    {
        return usage_;
    }
    //! Highest LedgerClock time of the applied commands.
    [[nodiscard]] std::int64_t nowMs() const
    {
        return nowMs_;
    }
    [[nodiscard]] std::uint64_t documentVersion() const
    {
        return document_.version;
    }
    //! Unmodified bytes from the operator; empty if there is no document yet.
    [[nodiscard]] const std::string &document() const
    {
        return document_.bytes;
    }
    [[nodiscard]] const std::map<VmName, LedgerVm> &vms() const
    {
        return vms_;
    }
    [[nodiscard]] std::size_t turnCount() const
    {
        return turns_.size();
    }
    [[nodiscard]] std::size_t programCount() const
    {
        return programs_.size();
    }
    //! Total size of all retained texts, in memory, on disk or missing.
    [[nodiscard]] std::size_t turnBytes() const
    {
        return turnBytes_;
    }

    //! Encodes a snapshot, which contains everything except the texts.
    [[nodiscard]] std::string encode() const;
    //! Errors: StorageCorrupt.
    [[nodiscard]] static Result<LedgerState> decode(const std::string &bytes);

private:
    friend class LedgerSnapshotCodec;

    struct Program {
        std::int64_t spent = 0;
        std::int64_t expiresMs = 0;
        struct Reservation {
            std::int64_t tokens = 0;
            std::string admission;
        };
        std::map<std::string, Reservation> reservations;
    };
    struct Turn {
        std::string previous;
        std::int64_t expiresMs = 0;
        LogIndex index = 0;
        std::uint32_t bytes = 0;
    };

    struct Stream {
        ServerVersion version;
        std::uint32_t attempt = 0;
        std::int64_t expiresMs = 0;
    };

    void advanceTime(std::int64_t nowMs, LogIndex index);
    void applyDocument(const RouteDocumentPut &put);
    TurnBeginStatus applyBegin(const TurnBegin &begin);
    void applyFinish(const TurnFinish &finish, LogIndex index);
    void applyVm(const LedgerVm &vm);
    void applyStreamVersion(const StreamVersion &record);
    void retainTurn(const TurnFinish &finish, LogIndex index);
    void extendHistoryRetention(const std::string &last, std::int64_t expiresMs);
    void extendProgramRetention(Program &program, std::uint32_t retentionMs);
    void expire(LogIndex index);

    std::int64_t nowMs_ = 0;
    RouteDocumentPut document_;
    std::map<VmName, LedgerVm> vms_;
    std::unordered_map<std::string, Program> programs_;
    std::unordered_map<std::string, Turn> turns_;
    //! By the id of the request that begins the stream.
    std::unordered_map<std::string, Stream> streams_;
    std::size_t turnBytes_ = 0;
    TurnTexts texts_;
    UsageLog usage_;
    Quarantine quarantine_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_STATE_HPP_INCLUDED
