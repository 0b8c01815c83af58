#ifndef CARDAMOMPOST_CP_LEDGER_STATE_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_STATE_HPP_INCLUDED

#include <cardamompost/ledger/cp_ledger_command.hpp>
#include <cardamompost/ledger/cp_turn_texts.hpp>

#include <map>
#include <unordered_map>

namespace cardamompost
{

//! What all programs have spent and said, the route document in force, and the VMs that can hold the ledger.
//!
//! A deterministic state machine: members that apply the same commands in the same order hold the same state.
//! Expiry goes by the commands' own times, with a margin, so that a member's clock decides nothing.
//! Thread-safety: none.
class LedgerState
{
public:
    //! What a command answers to the one who asked for it.
    //! \param index  of the log's entry that holds the command; kept texts go by it
    TurnBeginStatus apply(const LedgerCommand &command, LogIndex index);

    //! What a reservation would answer now.
    //! \param pendingTokens  reservations of the same program that are proposed and not applied yet
    [[nodiscard]] TurnBeginStatus check(const TurnBegin &begin, std::int64_t pendingTokens) const;
    [[nodiscard]] bool isReserved(const std::string &program, const std::string &turn) const;

    [[nodiscard]] bool hasTurn(const std::string &turn) const
    {
        return turns_.contains(turn);
    }
    //! A turn and all before it, oldest first, by the indexes of their texts.
    [[nodiscard]] std::vector<LogIndex> history(const std::string &turn) const;
    //! What turns said; each text is its turn's input and output.
    [[nodiscard]] TurnTexts &texts()
    {
        return texts_;
    }
    [[nodiscard]] const TurnTexts &texts() const
    {
        return texts_;
    }
    //! Takes the texts of the state that this one replaces; those of turns that this one does not know are forgotten.
    void takeTexts(TurnTexts &&texts);
    [[nodiscard]] std::int64_t spent(const std::string &program) const;
    //! What its turns under way may cost at their most.
    [[nodiscard]] std::int64_t reserved(const std::string &program) const;

    //! What accounts with a limit have used lately.
    [[nodiscard]] const UsageLog &usage() const
    {
        return usage_;
    }
    //! Time of the last command.
    [[nodiscard]] std::int64_t nowMs() const
    {
        return nowMs_;
    }
    [[nodiscard]] std::uint64_t documentVersion() const
    {
        return document_.version;
    }
    //! As the operator sent it; empty when there is none yet.
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
    //! Bytes of all kept texts, wherever they are.
    [[nodiscard]] std::size_t turnBytes() const
    {
        return turnBytes_;
    }

    //! All but the texts.
    [[nodiscard]] std::string encode() const;
    //! Errors: StorageCorrupt.
    [[nodiscard]] static Result<LedgerState> decode(const std::string &bytes);

private:
    //! Writes and reads the parts of a snapshot.
    friend class LedgerSnapshotCodec;

    struct Program {
        std::int64_t spent = 0;
        std::int64_t expiresMs = 0;
        std::map<std::string, std::int64_t> reservations;
    };
    struct Turn {
        std::string previous;
        std::int64_t expiresMs = 0;
        LogIndex index = 0;
        std::uint32_t bytes = 0;
    };

    void advanceTime(std::int64_t nowMs);
    void applyDocument(const RouteDocumentPut &put);
    TurnBeginStatus applyBegin(const TurnBegin &begin);
    void applyFinish(const TurnFinish &finish, LogIndex index);
    void applyVm(const LedgerVm &vm);
    void keepTurn(const TurnFinish &finish, LogIndex index);
    void extendHistory(const std::string &last, std::int64_t expiresMs);
    void touchProgram(Program &program, std::uint32_t retentionMs);
    void expire();

    std::int64_t nowMs_ = 0;
    RouteDocumentPut document_;
    std::map<VmName, LedgerVm> vms_;
    std::unordered_map<std::string, Program> programs_;
    std::unordered_map<std::string, Turn> turns_;
    std::size_t turnBytes_ = 0;
    TurnTexts texts_;
    UsageLog usage_;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_STATE_HPP_INCLUDED
