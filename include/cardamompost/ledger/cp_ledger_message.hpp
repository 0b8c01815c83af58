#ifndef CARDAMOMPOST_CP_LEDGER_MESSAGE_HPP_INCLUDED
#define CARDAMOMPOST_CP_LEDGER_MESSAGE_HPP_INCLUDED

#include <cardamompost/ledger/cp_ledger_peers.hpp>
#include <cardamompost/quarantine/cp_quarantine.hpp>
#include <cardamompost/routing/cp_backend_buckets.hpp>
#include <cardamompost/routing/cp_backend_catalog.hpp>
#include <cardamompost/routing/cp_document_buckets.hpp>

#include <optional>
#include <vector>

namespace cardamompost
{

//! Registers a VM with the leader as a candidate for membership, and asks for the current group and term.
struct JoinRequest {
    VmName vm;
    //! Address of the VM, which is also its name in the consensus group.
    std::string peer;
    //! Log index up to which the VM holds all state, including turn texts; 0 while any is missing.
    LogIndex completeUpTo = 0;
    std::string failureDomain;
    //! The VM has a term. One without needs a term that a quorum has confirmed for this request.
    bool hasTerm = false;
};

//! Leader and members of the consensus group as known to one VM.
struct GroupView {
    //! Empty if unknown.
    VmName leader;
    //! Term of that leader.
    Term term = 0;
    std::uint64_t documentVersion = 0;
    //! Addresses of the voters; without a known leader, of VMs that may know it.
    std::vector<VmName> members;

    friend bool operator==(const GroupView &, const GroupView &) = default;
};

struct JoinReply {
    //! The leader has confirmed its leadership with a quorum; only then is the term valid.
    bool isConfirmed = false;
    GroupView group;
};

//! Unsolicited notice of the current leader. It is unconfirmed; the receiver verifies it with a JoinRequest.
struct LeaderNotice {
    GroupView group;
};

//! Input for choosing the backend server and queue position of a turn. Not replicated.
struct PlacementRequest {
    //! Empty if the entry chooses the backend server itself.
    std::string service;
    std::string failureDomain;
    std::uint32_t rank = 0;
    //! Time until the program's deadline; negative if it has passed.
    std::int64_t programTimeLeftMs = 0;
    //! Time until the turn's deadline.
    std::uint32_t timeLeftMs = 0;
    //! Ids of backend servers that the entry failed to reach recently.
    std::vector<std::string> unreachable {};
    //! The only software version that may run the turn; empty for any.
    std::string softwareVersion {};
    //! Tokens of the whole prompt, history included; 0 if unknown.
    std::uint32_t promptTokens = 0;
    //! Expected number of generated tokens; 0 if unknown.
    std::uint32_t outputTokens = 0;
};

//! Version of the servers that run a stream. Only servers of this version may resume it.
struct StreamVersion {
    //! Id of the request that begins the stream.
    std::string stream;
    ServerVersion version;
    //! Number of the attempt to begin the stream; a higher one replaces the version of a lower one.
    std::uint32_t attempt = 0;
    //! How long the caller may resume the stream.
    std::uint32_t retentionMs = 0;
};

//! Records the version of a stream before its caller receives the first event, or asks for it.
struct StreamVersionRequest {
    StreamVersion record;
    //! Asks for the version of the stream; the record has no other fields.
    bool isQuery = false;
};

enum class StreamVersionStatus : std::uint8_t {
    //! This member is not the leader or cannot confirm that it is.
    NotLeader,
    //! The version is durable.
    Recorded,
    //! A quorum confirms that the stream has no recorded version.
    Unknown,
};

struct StreamVersionReply {
    StreamVersionStatus status = StreamVersionStatus::NotLeader;
    //! Only with Recorded.
    ServerVersion version;
};

//! Reserves the maximum cost of a turn and requests the history that it continues.
struct TurnBegin {
    //! Request id, unique for each attempt of a caller.
    std::string turn;
    std::string program;
    //! Empty for the first turn of a history.
    std::string previous;
    std::int64_t maxTokens = 0;
    //! Tokens that all turns of the program may generate together; negative for no budget.
    std::int64_t budget = -1;
    std::uint32_t retentionMs = 0;
    PlacementRequest placement {};
    //! Client account whose limit the turn counts towards; empty for none. Not replicated.
    std::string account {};
    //! How long the caller may resume the turn's stream; 0 if it can't be resumed.
    std::uint32_t streamRetentionMs = 0;
    //! The caller gets its answer only once the end of the turn is committed too. Not replicated.
    bool isRetained = false;
    //! As AdmitRequest::admission.
    std::string admission {};
    //! Version of the servers that run the turn, as far as the leader has placed it. Set by the leader.
    ServerVersion version {};
};

enum class TurnBeginStatus : std::uint8_t {
    //! This member is not the leader or cannot confirm that it is.
    NotLeader,
    //! The reservation is being replicated: the turn may be sent, but no output may be returned before Granted.
    Tentative,
    Granted,
    //! The turn's maximum cost exceeds the remaining budget.
    BudgetExhausted,
    //! The turn to continue does not exist, confirmed by a quorum.
    NoSuchTurn,
    //! No backend server has a free slot; Tentative follows once one has.
    Queued,
    //! The account is over its limit; the turn is not run.
    Limited,
    //! The ledger cannot keep up with its writes; the turn is not run.
    Overloaded,
    //! No backend server has the software version that the turn requires; the turn is not run.
    NoSuchVersion,
    //! The program can't be served in time beside those that are in progress; its first turn is not run.
    NotAdmitted,
    //! A turn of the history to continue is lost; the turn is not run.
    IncompleteHistory,
};

struct TurnBeginReply {
    TurnBeginStatus status = TurnBeginStatus::NotLeader;
    VmName leader;
    //! Concatenated inputs and outputs of the previous turns, oldest first; only with Tentative.
    std::string history;
    //! Id of the backend server with a slot for the turn; empty if the entry has to choose. Only with Tentative.
    std::string backend;
    //! Only with Limited, Overloaded, NotAdmitted and IncompleteHistory.
    std::uint32_t retryAfterMs = 0;
    //! Recorded version of the turn's stream, if there is one; only with Granted.
    ServerVersion version {};
    //! Id of another engine that is expected to have the program's prompt in its cache; empty if there is none. Only
    //! with Tentative.
    std::string promptSource {};
};

//! Asks whether a request other than a turn is within its account's limit.
struct AdmitRequest {
    std::string account;
    //! Request id.
    std::string request;
    //! Id that the entry gives to the arrival of the request; its own retries have the same id and count once. The
    //! request id is not suitable, since a caller may send many requests with one.
    std::string admission;
};

enum class AdmitStatus : std::uint8_t {
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

//! What an entry does with a request under which servers have ended.
enum class SuspectAction : std::uint8_t {
    //! Asks whether it may be sent to a server.
    Start,
    //! It was not sent, or its run says nothing about it.
    Release,
    //! The server ended while it ran the request.
    End,
    //! The server answered it.
    Success,
};

struct SuspectRequest {
    SuspectAction action = SuspectAction::Start;
    //! Identifies the run, which the entry starts and later ends by another action; 0 if it was not started.
    std::uint64_t run = 0;
    //! Id of the caller's request.
    std::string requestId;
    //! The request and the server.
    BackendEnd end;
    std::uint32_t timeLeftMs = 0;
};

enum class SuspectStatus : std::uint8_t {
    //! This member is not the leader or cannot confirm that it is.
    NotLeader,
    Allowed,
    //! Other suspects have to end first.
    Busy,
    //! The request is sent to no more servers of the software version.
    Quarantined,
    //! The end of the run is recorded.
    Recorded,
};

struct SuspectReply {
    SuspectStatus status = SuspectStatus::NotLeader;
    //! Servers that have ended under the request.
    std::uint32_t ends = 0;
};

//! How a turn ended at the entry.
enum class TurnEnding : std::uint8_t {
    //! The caller receives the complete answer once this is durable.
    Complete,
    //! The turn never ran; its reservation is released.
    NotRun,
    //! The turn failed midway; tokens returned to the caller are charged.
    Interrupted,
};

//! How long a turn took at its engine, as observed by the entry. 0 stands for unknown.
struct TurnTiming {
    //! Tokens of the whole prompt, history included.
    std::uint32_t promptTokens = 0;
    //! From sending the request to the first event.
    std::uint32_t firstEventMs = 0;
    //! From the first event to the last one.
    std::uint32_t streamMs = 0;
    //! Tokens generated in that time.
    std::uint32_t streamTokens = 0;
    //! Turns that ran at the engine when this one ended, itself included; filled in by the leader.
    std::uint32_t turnsAtBackend = 0;
    //! Service and incarnation of the engine.
    std::string service {};
    std::uint64_t incarnation = 0;

    friend bool operator==(const TurnTiming &, const TurnTiming &) = default;
};

struct TurnFinish {
    std::string turn;
    std::string program;
    std::string previous;
    TurnEnding ending = TurnEnding::Interrupted;
    //! Tokens returned to the caller.
    std::int64_t tokens = 0;
    std::uint32_t retentionMs = 0;
    //! The turn's contents are retained so that later turns can continue it.
    bool isRetained = false;
    std::string input;
    std::string output;
    //! Id of the backend server that ran the turn; empty if none or unknown.
    std::string backend;
    //! Only of a complete turn. Replicated, so that a new leader knows the servers' rates.
    TurnTiming timing {};
};

struct TurnFinishReply {
    bool isDurable = false;
    VmName leader;
};

//! Long poll of an entry to a relay, or of a relay to the leader, for changes since the versions that the sender holds.
struct UpdateRequest {
    //! Version of the complete document that the entry uses.
    std::uint64_t documentVersion = 0;
    BackendListVersion list;
    //! Digests of the document held, including parts of a newer version received so far.
    DocumentBuckets::Digests documentDigests;
    //! The same for the list, while it is compared bucket by bucket; else empty.
    BackendBuckets::Digests listDigests;
    //! Digest of the ledger VMs that the sender knows.
    std::uint64_t peersDigest = 0;
    //! Term of the latest leader that the sender knows.
    Term knownTerm = 0;
    //! Version of the suspect list held.
    std::uint64_t suspectsVersion = 0;
    //! Time since the sender learned that its content is stale; 0 if it is not known to be.
    std::uint32_t staleMs = 0;
    //! How long the receiver may wait for newer content or a later leader before it answers.
    std::uint32_t waitMs = 0;
    //! False to ask only for the leader and the ledger VMs.
    bool wantsContent = true;
};

struct UpdateReply {
    //! The sender is the leader.
    bool isLeader = false;
    //! The leader that the sender has heard from last; empty if there was none.
    VmName leader;
    //! Term of that leader; replies from a lower term are outdated.
    Term term = 0;
    //! Time since the sender has heard from the leader.
    std::uint32_t ageMs = 0;
    //! All ledger VMs, members or not; empty if the request has their digest.
    std::vector<LedgerPeer> peers;
    std::uint64_t peersDigest = 0;
    //! Newest version that the sender knows; of the document in documentDelta if there is one.
    std::uint64_t documentVersion = 0;
    BackendListVersion list;
    //! Content that the request's digests lack; empty if there is nothing newer to send.
    std::optional<ContentDelta> documentDelta;
    std::optional<BackendChanges> listChanges;
    //! Sent in place of listChanges to a request with digests, and to one without a list.
    std::optional<ContentDelta> listDelta;
    //! The changes don't lead from the requester's version: it has to send the digests of its list.
    bool mustResyncList = false;
    std::optional<SuspectChanges> suspects;
    //! Time since the backend list was read.
    std::uint32_t listAgeMs = 0;
};

//! Asks another member for turn texts, by the log indexes of the entries that finished the turns.
struct TurnTextsRequest {
    std::vector<LogIndex> indexes;
};

//! Input and output of a turn, concatenated.
struct TurnText {
    LogIndex index = 0;
    std::string text;
};

struct TurnTextsReply {
    //! The requested texts that the member holds, as many as fit into one message.
    std::vector<TurnText> texts;
};

//! Announces an entry or a directory to a directory; expires after a few seconds unless renewed.
struct Presence {
    VmName vm;
    std::string address;
    std::string failureDomain;
    //! The entry accepts requests.
    bool isReady = false;
    //! The sender is a directory, not an entry.
    bool isDirectory = false;
    //! Share of the entry's processor share in use, in permille; 0 if unknown.
    std::uint16_t loadPermille = 0;
    //! The entry still accepts requests although it is stopping; then it isn't ready.
    bool isAccepting = false;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_LEDGER_MESSAGE_HPP_INCLUDED
