@0xb1c4d7e25a9f3c61;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cardamompost::schema");

# Messages between Cardamompost's own processes, and what its logs hold.

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  payload @3 :Data;
}

struct RaftMessage {
  type @0 :UInt8;
  from @1 :Text;
  to @2 :Text;
  term @3 :UInt64;
  index @4 :UInt64;
  indexTerm @5 :UInt64;
  commit @6 :UInt64;
  granted @7 :Bool;
  round @8 :UInt64;
  entries @9 :List(Entry);
  snapshotIndex @10 :UInt64;
  snapshotTerm @11 :UInt64;
  snapshotMembership @12 :Text;
  snapshotState @13 :Data;
  offset @14 :UInt64;
  isLastPiece @15 :Bool;
  isBlank @16 :Bool;
  writeMs @17 :UInt32;
  isTransfer @18 :Bool;
}

struct SealRequest {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  owner @2 :Text;
}

struct SealReply {
  accepted @0 :Bool;
  promised @1 :UInt64;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
}

struct JournalAppend {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  owner @2 :Text;
  previousIndex @3 :UInt64;
  previousTerm @4 :UInt64;
  entries @5 :List(Entry);
  commit @6 :UInt64;
}

struct JournalAppendReply {
  accepted @0 :Bool;
  promised @1 :UInt64;
  index @2 :UInt64;
}

struct JournalRead {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  from @2 :UInt64;
  to @3 :UInt64;
  maxBytes @4 :UInt32;
}

struct JournalReadReply {
  accepted @0 :Bool;
  promised @1 :UInt64;
  previousIndex @2 :UInt64;
  previousTerm @3 :UInt64;
  entries @4 :List(Entry);
  isComplete @5 :Bool;
}

struct JournalForget {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  owner @2 :Text;
  indexes @3 :List(UInt64);
}

struct Vm {
  name @0 :Text;
  bootId @1 :UInt64;
  httpHost @2 :Text;
  httpPort @3 :UInt16;
  peerHost @4 :Text;
  peerPort @5 :UInt16;
  failureDomain @6 :Text;
  isKeeper @7 :Bool;
  state @8 :UInt8;
}

struct LeaseRequest {
  vm @0 :Vm;
  appliedIndex @1 :UInt64;
  configurationVersion @2 :UInt64;
  programs @3 :UInt32;
  isConfirmed @4 :Bool;
}

struct LeaseReply {
  granted @0 :Bool;
  leader @1 :Text;
  durationMs @2 :UInt32;
  minIndex @3 :UInt64;
  configurationVersion @4 :UInt64;
}

struct ProposeReply {
  accepted @0 :Bool;
  leader @1 :Text;
  index @2 :UInt64;
  resultKind @3 :UInt8;
  resultVersion @4 :UInt64;
}

struct PullRequest {
  afterIndex @0 :UInt64;
  waitMs @1 :UInt32;
}

struct PullReply {
  entries @0 :List(Entry);
  snapshotIndex @1 :UInt64;
  snapshot @2 :Data;
}

struct VmReport {
  name @0 :Text;
  sinceContactMs @1 :UInt32;
  appliedIndex @2 :UInt64;
  configurationVersion @3 :UInt64;
  programs @4 :UInt32;
}

struct StatusReply {
  leader @0 :Text;
  isLeader @1 :Bool;
  term @2 :UInt64;
  commitIndex @3 :UInt64;
  reports @4 :List(VmReport);
}

struct ProbeReply {
  isFormed @0 :Bool;
  term @1 :UInt64;
}

struct ApiRequest {
  operation @0 :UInt8;
  caller @1 :Text;
  program @2 :Text;
  sequence @3 :UInt32;
  idempotencyKey @4 :Text;
  lastEventId @5 :UInt64;
  isStream @6 :Bool;
  body @7 :Data;
  form @8 :UInt8;
  workClass @9 :Text;
  refusalKind @10 :Text;
  refusalMessage @11 :Text;
  refusalRetryMs @12 :UInt32;
  isKeyGenerated @13 :Bool;
}

struct LimitRequest {
  caller @0 :Text;
  wanted @1 :UInt32;
}

struct LimitReply {
  granted @0 :UInt32;
  retryAfterMs @1 :UInt32;
}

struct ApiChunk {
  status @0 :UInt16;
  outcome @1 :UInt8;
  hasOutcome @2 :Bool;
  eventId @3 :UInt64;
  body @4 :Data;
  isLast @5 :Bool;
}

struct Failure {
  kind @0 :Text;
  message @1 :Text;
  outcome @2 :UInt8;
  hasOutcome @3 :Bool;
  retryAfterMs @4 :UInt32;
}

# Messages of the turn ledger: its members, the entries that use it, and what they tell each other.

struct JoinRequest {
  vm @0 :Text;
  peer @1 :Text;
  holdsUpTo @2 :UInt64;
  failureDomain @3 :Text;
  hasTerm @4 :Bool;
}

struct JoinReply {
  isConfirmed @0 :Bool;
  leader @1 :Text;
  term @2 :UInt64;
  documentVersion @3 :UInt64;
  members @4 :List(Text);
}

struct GroupSighting {
  leader @0 :Text;
  term @1 :UInt64;
  documentVersion @2 :UInt64;
  members @3 :List(Text);
}

struct TurnBegin {
  turn @0 :Text;
  program @1 :Text;
  previous @2 :Text;
  tokensAtMost @3 :Int64;
  budget @4 :Int64;
  retentionMs @5 :UInt32;
  wish @6 :PlacementWish;
  account @7 :Text;
  streamRetentionMs @8 :UInt32;
  version @9 :ServerVersion;
  isRetained @10 :Bool;
  admission @11 :Text;
}

struct ServerVersion {
  service @0 :Text;
  softwareVersion @1 :Text;
}

struct StreamVersion {
  stream @0 :Text;
  version @1 :ServerVersion;
  attempt @2 :UInt32;
  retentionMs @3 :UInt32;
}

struct StreamVersionRequest {
  record @0 :StreamVersion;
  isQuery @1 :Bool;
}

struct StreamVersionReply {
  status @0 :UInt8;
  version @1 :ServerVersion;
}

struct BackendEnd {
  request @0 :UInt64;
  backend @1 :Text;
  incarnation @2 :UInt64;
  softwareVersion @3 :Text;
}

struct SuspectClearance {
  request @0 :UInt64;
  softwareVersion @1 :Text;
}

struct SuspectRequest {
  action @0 :UInt8;
  run @1 :UInt64;
  requestId @2 :Text;
  end @3 :BackendEnd;
  timeLeftMs @4 :UInt32;
}

struct SuspectReply {
  status @0 :UInt8;
  ends @1 :UInt32;
}

struct SuspectChanges {
  since @0 :UInt64;
  version @1 :UInt64;
  added @2 :List(UInt64);
  removed @3 :List(UInt64);
}

struct PlacementWish {
  service @0 :Text;
  failureDomain @1 :Text;
  rank @2 :UInt32;
  programTimeLeftMs @3 :Int64;
  patienceMs @4 :UInt32;
  unreachable @5 :List(Text);
  softwareVersion @6 :Text;
  promptTokens @7 :UInt32;
  outputTokens @8 :UInt32;
}

struct TurnBeginReply {
  status @0 :UInt8;
  leader @1 :Text;
  history @2 :Data;
  backend @3 :Text;
  retryAfterMs @4 :UInt32;
  version @5 :ServerVersion;
  promptSource @6 :Text;
}

struct AdmitRequest {
  account @0 :Text;
  request @1 :Text;
  admission @2 :Text;
}

struct AdmitReply {
  status @0 :UInt8;
  retryAfterMs @1 :UInt32;
}

struct TurnFinish {
  turn @0 :Text;
  program @1 :Text;
  previous @2 :Text;
  ending @3 :UInt8;
  tokens @4 :Int64;
  retentionMs @5 :UInt32;
  isKept @6 :Bool;
  input @7 :Data;
  output @8 :Data;
  backend @9 :Text;
  promptTokens @10 :UInt32;
  firstEventMs @11 :UInt32;
  streamMs @12 :UInt32;
  streamTokens @13 :UInt32;
  turnsAtBackend @14 :UInt32;
  service @15 :Text;
  born @16 :UInt64;
}

struct TurnFinishReply {
  isDurable @0 :Bool;
  leader @1 :Text;
}

struct BackendServer {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  slots @4 :UInt32;
  isLeaving @5 :Bool;
  born @6 :UInt64;
  softwareVersion @7 :Text;
}

struct ServerBucket {
  servers @0 :List(BackendServer);
}

struct RouteShare {
  service @0 :Text;
  weight @1 :UInt32;
}

# What routes have in common but for their names and prefixes.
struct RouteRules {
  host @0 :Text;
  kind @1 :UInt8;
  timeoutMs @2 :Int64;
  targetLatencyMs @3 :Int64;
  rank @4 :UInt32;
  shares @5 :List(RouteShare);
  maxAttempts @6 :UInt32;
  keepsHistory @7 :Bool;
  retentionMs @8 :Int64;
  isSticky @9 :Bool;
  isResumable @10 :Bool;
  allowsAnonymous @11 :Bool;
}

struct Route {
  name @0 :Text;
  prefix @1 :Text;
  # Index in the bucket's rules.
  rules @2 :UInt32;
}

struct RoutedService {
  name @0 :Text;
  maxConnections @1 :UInt32;
  isEngine @2 :Bool;
  slots @3 :UInt32;
  cacheTokens @4 :UInt64;
  tokensPerEvent @5 :UInt32;
  canFetchPrompts @6 :Bool;
}

struct CallerBounds {
  headerBytes @0 :UInt32;
  bodyBytes @1 :UInt64;
  headerTimeoutMs @2 :Int64;
  idleTimeoutMs @3 :Int64;
}

struct DocumentBucket {
  rules @0 :List(RouteRules);
  routes @1 :List(Route);
  services @2 :List(RoutedService);
  bounds @3 :CallerBounds;
  hasAccounts @4 :Bool;
  accounts @5 :List(Account);
}

struct Account {
  name @0 :Text;
  # SHA-256 of each.
  keys @1 :List(Data);
  # Below 0 for none.
  rank @2 :Int64;
  perSecond @3 :Float64;
  burst @4 :Float64;
}

struct ContentDelta {
  buckets @0 :List(Bucket);
  rest @1 :UInt32;
  checksum @2 :UInt64;
  struct Bucket {
    number @0 :UInt32;
    # A ServerBucket or a DocumentBucket, packed.
    bytes @1 :Data;
  }
}

# Servers that differ between two versions of the list.
struct BackendChanges {
  changed @0 :List(BackendServer);
  removed @1 :List(Text);
  checksum @2 :UInt64;
}

struct LedgerPeer {
  peer @0 :Text;
  failureDomain @1 :Text;
}

struct NewsRequest {
  documentVersion @0 :UInt64;
  listTerm @1 :UInt64;
  listSequence @2 :UInt64;
  waitMs @3 :UInt32;
  wantsContent @4 :Bool;
  listDigests @5 :List(UInt32);
  documentDigests @6 :List(UInt32);
  behindMs @7 :UInt32;
  peersDigest @8 :UInt64;
  knownTerm @9 :UInt64;
  suspectsVersion @10 :UInt64;
}

struct NewsReply {
  isLeader @0 :Bool;
  leader @1 :Text;
  # Left out if the request's digest matches.
  peers @2 :List(LedgerPeer);
  documentVersion @3 :UInt64;
  listTerm @4 :UInt64;
  listSequence @5 :UInt64;
  listAgeMs @6 :UInt32;
  term @7 :UInt64;
  document @8 :ContentDelta;
  list @9 :ContentDelta;
  peersDigest @10 :UInt64;
  listChanges @11 :BackendChanges;
  mustResyncList @12 :Bool;
  ageMs @13 :UInt32;
  suspects @14 :SuspectChanges;
}

struct Presence {
  vm @0 :Text;
  address @1 :Text;
  failureDomain @2 :Text;
  isReady @3 :Bool;
  isDirectory @4 :Bool;
  loadPermille @5 :UInt16;
  isAccepting @6 :Bool;
}

struct TurnText {
  index @0 :UInt64;
  text @1 :Data;
}

# One frame on a connection between two processes.
struct Frame {
  id @0 :UInt64;
  kind @1 :UInt8;
  deadlineMs @2 :UInt32;
  body :union {
    none @3 :Void;
    raft @4 :RaftMessage;
    seal @5 :SealRequest;
    sealReply @6 :SealReply;
    append @7 :JournalAppend;
    appendReply @8 :JournalAppendReply;
    read @9 :JournalRead;
    readReply @10 :JournalReadReply;
    forget @11 :JournalForget;
    lease @12 :LeaseRequest;
    leaseReply @13 :LeaseReply;
    propose @14 :Data;
    proposeReply @15 :ProposeReply;
    pull @16 :PullRequest;
    pullReply @17 :PullReply;
    status @18 :Void;
    statusReply @19 :StatusReply;
    api @20 :ApiRequest;
    apiChunk @21 :ApiChunk;
    failure @22 :Failure;
    probe @23 :Void;
    probeReply @24 :ProbeReply;
    limit @25 :LimitRequest;
    limitReply @26 :LimitReply;
    join @27 :JoinRequest;
    joinReply @28 :JoinReply;
    turnBegin @29 :TurnBegin;
    turnBeginReply @30 :TurnBeginReply;
    turnFinish @31 :TurnFinish;
    turnFinishReply @32 :TurnFinishReply;
    news @33 :NewsRequest;
    newsReply @34 :NewsReply;
    presence @35 :Presence;
    turnTexts @36 :List(UInt64);
    turnTextsReply @37 :List(TurnText);
    leaderNotice @38 :GroupSighting;
    admit @39 :AdmitRequest;
    admitReply @40 :AdmitReply;
    streamVersion @41 :StreamVersionRequest;
    streamVersionReply @42 :StreamVersionReply;
    suspect @43 :SuspectRequest;
    suspectReply @44 :SuspectReply;
  }
}

# Commands of the control log.

struct SectionChange {
  header @0 :Text;
  after @1 :Text;
  text @2 :Text;
}

struct ConfigurationChange {
  requestId @0 :Text;
  baseVersion @1 :UInt64;
  author @2 :Text;
  upserts @3 :List(SectionChange);
  removals @4 :List(Text);
  documentHash @5 :UInt64;
}

struct PartitionMove {
  partition @0 :UInt32;
  expectedEpoch @1 :UInt64;
  owner @2 :Text;
  keepers @3 :List(Text);
}

struct ControlCommand {
  union {
    configuration @0 :ConfigurationChange;
    vm @1 :Vm;
    partitions @2 :List(PartitionMove);
  }
}

struct ControlSnapshot {
  configurationVersion @0 :UInt64;
  sections @1 :List(SectionChange);
  requests @2 :List(RequestRecord);
  vms @3 :List(Vm);
  partitions @4 :List(PartitionRecord);
  struct RequestRecord {
    id @0 :Text;
    version @1 :UInt64;
    hash @2 :UInt64;
  }
  struct PartitionRecord {
    epoch @0 :UInt64;
    owner @1 :Text;
    keepers @2 :List(Text);
  }
}

# Records of a partition's journal. The requests and answers of calls are JSON, as callers sent and get them.

struct ProgramCreated {
  caller @0 :Text;
  deployment @1 :Text;
  workClass @2 :Text;
  budgetTokens @3 :Int64;
  deadlineMs @4 :Int64;
  idempotencyKey @5 :Text;
  bodyHash @6 :UInt64;
  isSingleCall @7 :Bool;
  parent @8 :Text;
}

struct CallAccepted {
  sequence @0 :UInt32;
  idempotencyKey @1 :Text;
  bodyHash @2 :UInt64;
  kind @3 :UInt8;
  isIdempotent @4 :Bool;
  reservedTokens @5 :Int64;
  request @6 :Data;
}

struct CallIntent {
  sequence @0 :UInt32;
  attempt @1 :UInt32;
  backend @2 :Text;
  deadlineMs @3 :Int64;
  rootAttempt @4 :UInt32;
  keptTokens @5 :UInt64;
  keptText @6 :Data;
}

struct CallResult {
  sequence @0 :UInt32;
  outcome @1 :UInt8;
  errorKind @2 :Text;
  errorMessage @3 :Text;
  status @4 :UInt16;
  answer @5 :Data;
  promptTokens @6 :Int64;
  completionTokens @7 :Int64;
  cachedTokens @8 :Int64;
  attempt @9 :UInt32;
  rootAttempt @10 :UInt32;
  isCutOff @11 :Bool;
}

struct JournalRecord {
  program @0 :Text;
  wallMs @1 :Int64;
  union {
    created @2 :ProgramCreated;
    accepted @3 :CallAccepted;
    intent @4 :CallIntent;
    result @5 :CallResult;
    refused @6 :Refused;
    ended @7 :Text;
    released @8 :Text;
  }
  struct Refused {
    idempotencyKey @0 :Text;
    errorKind @1 :Text;
    errorMessage @2 :Text;
  }
}

# Commands of the turn ledger and its snapshot.

struct RouteDocumentPut {
  version @0 :UInt64;
  bytes @1 :Data;
}

struct LedgerVm {
  vm @0 :Text;
  peer @1 :Text;
  isRetiring @2 :Bool;
  failureDomain @3 :Text;
}

struct LedgerCommand {
  nowMs @0 :Int64;
  union {
    document @1 :RouteDocumentPut;
    reserve @2 :TurnBegin;
    finish @3 :TurnFinish;
    vm @4 :LedgerVm;
    usage @5 :List(AccountUsage);
    stream @6 :StreamVersion;
    backendEnd @7 :BackendEnd;
    suspectClearance @8 :SuspectClearance;
  }
}

struct AccountUsage {
  account @0 :Text;
  requests @1 :UInt32;
}

# What a ledger VM keeps on its disk of the way to the group.
struct StoredPeerBook {
  writtenAtMs @0 :Int64;
  last @1 :GroupSighting;
  peers @2 :List(Text);
}

struct LedgerSnapshot {
  nowMs @0 :Int64;
  documentVersion @1 :UInt64;
  document @2 :Data;
  vms @3 :List(LedgerVm);
  programs @4 :List(ProgramAccount);
  turns @5 :List(KeptTurn);
  usage @6 :List(Usage);
  streams @7 :List(KeptStream);
  suspects @8 :List(Suspect);
  suspectsVersion @9 :UInt64;
  struct Suspect {
    request @0 :UInt64;
    ends @1 :List(BackendEnd);
    lastEndMs @2 :Int64;
  }
  struct Usage {
    account @0 :Text;
    atMs @1 :Int64;
    requests @2 :UInt32;
  }
  struct KeptStream {
    stream @0 :Text;
    version @1 :ServerVersion;
    attempt @2 :UInt32;
    expiresMs @3 :Int64;
  }
  struct ProgramAccount {
    program @0 :Text;
    spent @1 :Int64;
    expiresMs @2 :Int64;
    reservations @3 :List(Reservation);
  }
  struct Reservation {
    turn @0 :Text;
    tokens @1 :Int64;
    admission @2 :Text;
  }
  struct KeptTurn {
    turn @0 :Text;
    previous @1 :Text;
    expiresMs @2 :Int64;
    # Of the entry that ended the turn; each member holds the texts by it.
    index @3 :UInt64;
    bytes @4 :UInt32;
  }
}
