#ifndef CARDAMOMPOST_CP_LEDGER_MESSAGE_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_MESSAGE_HPP_INCLUDED

#include <cardamompost/core/cp_ids.hpp>
#include <cardamompost/routing/cp_backend_buckets.hpp>
#include <cardamompost/routing/cp_document_buckets.hpp>

#include <optional>
#include <vector>

namespace cardamompost
{

//! Asks the ledger's leader for the term to start with, and to be taken in as a member.
struct JoinRequest {
    VmName vm;
    //! The member's address, which is its name in the ledger's group.
    std::string peer;
    //! All that the log up to here says is on its disk or in its memory, turns' texts too; 0 while any is missing.
    LogIndex completeUpTo = 0;
    std::string failureDomain;
};

//! Where the ledger's group is, as one of its VMs sees it.
struct GroupView {
    //! Empty while none is known.
    VmName leader;
    //! Of that leader; one with a higher term was elected later.
    Term term = 0;
    std::uint64_t documentVersion = 0;
    //! Addresses of the group's members.
    std::vector<VmName> members;

    friend bool operator==(const GroupView &, const GroupView &) = default;
};

struct JoinReply {
    //! The leader has confirmed with its quorum that it leads; only then does the term count.
    bool isConfirmed = false;
    GroupView group;
};

//! A leader tells a VM that has not asked for it where it is. It is not confirmed: whoever gets it asks there.
struct LeaderNotice {
    GroupView group;
};

//! What decides at which engine a turn gets a place, and when. Not part of what is kept.
struct PlacementRequest {
    //! Empty when the entry chooses by itself.
    std::string service;
    std::string failureDomain;
    std::uint32_t rank = 0;
    //! Until its program should be finished; below 0 when it is late.
    std::int64_t programTimeLeftMs = 0;
    std::uint32_t timeLeftMs = 0;
    //! Servers that this entry could not reach a moment ago.
    std::vector<std::string> unreachable;
};

//! Reserves the most that a turn may cost, and asks for the history that it continues.
struct TurnBegin {
    //! The request's id, new for each attempt of a caller.
    std::string turn;
    std::string program;
    //! Empty for the first turn of a history.
    std::string previous;
    std::int64_t tokensAtMost = 0;
    //! Tokens that all turns of the program may generate; negative for a program without a budget.
    std::int64_t budget = -1;
    std::uint32_t retentionMs = 0;
    PlacementRequest placement {};
    //! Client account whose limit the turn counts towards; empty for none. Not part of what is kept.
    std::string account {};
};

//! What became of a turn's begin.
enum class TurnBeginStatus : std::uint8_t {
    //! This member does not lead, or can't tell; ask the leader.
    NotLeader,
    //! The reservation is on its way to a quorum: send the turn, but hand nothing out before Granted.
    Tentative,
    Granted,
    //! The budget does not hold the turn.
    BudgetExhausted,
    //! No such turn to continue, as a quorum knows.
    NoSuchTurn,
    //! The engines' places are taken; Tentative follows once there is one.
    Queued,
    //! The account is over its limit; the turn is not run.
    Limited,
    //! The ledger has more to write than it can; the turn is not run.
    Overloaded,
};

struct TurnBeginReply {
    TurnBeginStatus status = TurnBeginStatus::NotLeader;
    VmName leader;
    //! Inputs and outputs of the turns that are continued, oldest first; only with Tentative.
    std::string history;
    //! Id of the backend server with a place for it; empty when the entry has to choose. Only with Tentative.
    std::string backend;
    //! Only with Limited and Overloaded.
    std::uint32_t retryAfterMs = 0;
};

//! Asks whether a request that is no turn is within its account's limit.
struct AdmitRequest {
    std::string account;
    //! The request's id; one that asks again counts once.
    std::string request;
};

enum class AdmitStatus : std::uint8_t {
    //! Ask the leader.
    NotLeader,
    Admitted,
    //! The account is over its limit.
    Limited,
};

struct AdmitReply {
    AdmitStatus status = AdmitStatus::NotLeader;
    //! Only with Limited.
    std::uint32_t retryAfterMs = 0;
};

//! How a turn ended at the entry.
enum class TurnEnding : std::uint8_t {
    //! The caller gets the whole answer once this is durable.
    Complete,
    //! It did not run and never will; its reservation is given back.
    NotRun,
    //! It broke off; what was handed out is spent.
    Broken,
};

struct TurnFinish {
    std::string turn;
    std::string program;
    std::string previous;
    TurnEnding ending = TurnEnding::Broken;
    //! Tokens handed to the caller.
    std::int64_t tokens = 0;
    std::uint32_t retentionMs = 0;
    //! Later turns may continue this one.
    bool isKept = false;
    std::string input;
    std::string output;
    //! Id of the backend server that ran it; empty when none did, or none is known.
    std::string backend;
};

struct TurnFinishReply {
    bool isDurable = false;
    VmName leader;
};

//! Asks the leader for what has changed since the versions known.
struct UpdateRequest {
    //! Of the document in force.
    std::uint64_t documentVersion = 0;
    BackendListVersion list;
    //! Of what is held, also of a newer document or list of which only a part has come so far.
    DocumentBuckets::Digests documentDigests;
    BackendBuckets::Digests listDigests;
    //! For how long the entry has known that it lacks something; 0 when it knows of nothing.
    std::uint32_t staleMs = 0;
    //! How long the leader may wait for a change before it answers.
    std::uint32_t waitMs = 0;
    //! False for a question that is only after who leads.
    bool wantsContent = true;
};

struct UpdateReply {
    bool isLeader = false;
    VmName leader;
    //! Of the leader that answers; one with a lower term than another's was deposed by that.
    Term term = 0;
    //! Addresses of all ledger VMs, whether they are members now or not.
    std::vector<VmName> members;
    //! Of them, those that may come to lead; only from a leader.
    std::vector<VmName> voters;
    std::uint64_t documentVersion = 0;
    BackendListVersion list;
    //! What the digests in the request lack; nothing when nothing newer may be sent.
    std::optional<ContentDelta> documentDelta;
    std::optional<ContentDelta> listDelta;
    //! Time since the list was read, in milliseconds.
    std::uint32_t listAgeMs = 0;
};

//! Asks another member for what turns said, by the indexes of the entries that ended them.
struct TurnTextsRequest {
    std::vector<LogIndex> indexes;
};

struct TurnText {
    LogIndex index = 0;
    std::string text;
};

struct TurnTextsReply {
    //! Those that the member has, as many as fit into one message.
    std::vector<TurnText> texts;
};

//! Where callers reach an entry that takes requests.
struct EntryPlace {
    std::string address;
    std::string failureDomain;
};

//! Tells a directory that an entry takes requests, or another directory answers; counts for a few seconds.
struct Presence {
    VmName vm;
    std::string address;
    std::string failureDomain;
    //! An entry takes requests.
    bool isReady = false;
    //! It is a directory and not an entry.
    bool isDirectory = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_MESSAGE_HPP_INCLUDED
