// PeerService: messages between the system's own processes, as Thrift over HTTP POST to /peer. A
// message may be lost, repeated, delayed or reordered. Times are sent as durations because no
// process trusts the clock of another.
namespace cpp sequoiapier.api

struct HybridTimestamp {
  1: i64 wallMicroseconds
  2: i32 counter
}

// Sender of a message and its hybrid logical time, by which `timeline` orders events.
struct PeerSender {
  1: string name
  2: i64 incarnation
  3: HybridTimestamp time
}

struct WithdrawalMessage {
  1: string digest
  2: i64 remainingMicroseconds
}

struct PollMessage {
  1: i64 token
  2: i64 incarnation
  3: i64 version
}

struct ReportMessage {
  1: i64 token
  2: i64 incarnation
  3: string sender
  4: i64 senderIncarnation
  5: i64 version
  6: i64 seenVersion
  7: optional i64 confirmedAgeMicroseconds
  8: bool canVouch
  9: string document
  10: list<WithdrawalMessage> notices
}

struct PollAnswer {
  1: PeerSender sender
  2: ReportMessage report
}

struct LoanReportMessage {
  1: string resource
  2: string borrower
  3: i64 incarnation
  4: i64 sequence
  5: i64 epoch
  6: i64 held
  7: i64 inUse
  8: i64 wanted
  9: i32 weight
  10: i64 accepted
  11: i64 servedMicroseconds
}

struct LoanGrantMessage {
  1: string resource
  2: i64 sequence
  3: i64 epoch
  4: i64 amount
  5: i64 termMilliseconds
  6: i32 code
  7: string borrower  // sender of the report that this grant answers
  8: bool isContended
}

struct LendAnswer {
  1: PeerSender sender
  2: list<LoanGrantMessage> grants
}

service PeerService {
  // Serves as a heartbeat and asks for the peer's state of the configuration.
  PollAnswer poll(1: PeerSender sender, 2: PollMessage poll)
  // Delivers a committed configuration; returns the highest version that the receiver has seen.
  i64 push(1: PeerSender sender, 2: i64 version, 3: string document)
  // Announces keys that are about to be withdrawn.
  bool notice(1: PeerSender sender, 2: list<WithdrawalMessage> notices)
  // Records a non-idempotent request at one of its homes; returns a DuplicateVerdict.
  i32 record(1: PeerSender sender, 2: i64 low, 3: i64 high, 4: i64 ageMicroseconds)
  // Removes the record of a request that certainly did not run.
  bool forget(1: PeerSender sender, 2: i64 low, 3: i64 high)
  // Sends a borrower's reports to a lender, one per resource.
  LendAnswer lend(1: PeerSender sender, 2: list<LoanReportMessage> reports)
}
