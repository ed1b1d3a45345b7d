#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "bramleypath/base/Ids.h"
#include "bramleypath/base/TimePoint.h"
#include "bramleypath/membership/Types.h"

namespace bramleypath::routing {

// Identifies a call accepted by this entry host. The adapter chooses it and
// never uses one twice in a process.
using CallId = std::uint64_t;
// Identifies an attempt. The adapter binds it to one use of a connection, so
// that an answer is matched by both request id and generation.
using Generation = std::uint64_t;
// Identifies one grant request to the owner of an idempotency key.
using Nonce = std::uint64_t;

enum class Outcome : std::uint8_t { Completed, NotRun, OutcomeUnknown };

// Why a call ended as it did. The reasons from NoTarget to KeyReused go with
// Outcome::NotRun.
enum class Reason : std::uint8_t {
  Answered,
  // The key's owner had stored an answer, which the adapter holds.
  StoredAnswer,
  NoTarget,            // no live target of the service anywhere
  NoCapacity,          // no slot became free before the deadline
  DeadlineTooShort,    // refused early, since the deadline can't be met
  QueueFull,           // queue limit of the client account and class
  ClientAccountLimit,  // in-flight limit of the client account
  TooManyCalls,        // call or flow limit of the entry host
  Stopping,            // this entry host is draining
  RetryBudget,         // not run, and the retry budget is used up
  TargetRefused,       // not run, and the deadline is too near to retry
  ConnectFailed,       // not run, and the deadline is too near to retry
  OwnerUnreachable,    // no answer from the key's owner
  GrantExpired,        // the grant expired before a byte was sent
  KeyReused,           // the key was used with another body
  CallerGone,          // the caller closed its connection
  ConnectionLost,      // after the first byte was sent
  TruncatedAnswer,
  MismatchedAnswer,   // the connection carried another request's answer
  DeadlinePassed,     // after the first byte was sent
  StopDeadline,       // interrupted by the end of a planned stop
  KeyOutcomeUnknown,  // the owner can't tell how the key's request ended
  Count
};

const char* ToText(Outcome aOutcome);
const char* ToText(Reason aReason);
// True for the reasons that the adapter answers with status 429 instead of 503.
bool IsLimit(Reason aReason);

// Events for Step.

struct CallAccepted {
  CallId call = 0;
  RequestId requestId;
  ClientAccountId clientAccount;
  ClassId callClass;
  ServiceId service;
  TimePoint deadline;
  bool idempotent = false;
  // The call has an idempotency key; it needs a grant of the key's owner before
  // any byte is sent.
  bool keyed = false;
  // The call came from another data centre and is not forwarded again. The
  // forwarding host holds the grant of a keyed call.
  bool forwarded = false;
};
// The caller closed its connection.
struct CallerGone {
  CallId call = 0;
};

// The next three events tell how an attempt at a target or a remote data centre
// ended.

// The adapter is certain that no byte of the request was sent.
struct NothingSent {
  Generation generation = 0;
};
// The connection was lost and bytes may have been sent.
struct ConnectionLost {
  Generation generation = 0;
};
struct AnswerReceived {
  Generation generation = 0;
  // As echoed by the target. If it isn't the call's, the answer is mismatched.
  RequestId requestId;
  // The target refused the request (503 with Bramleypath-Outcome: not_run), or
  // a remote entry host reported not_run.
  bool refused = false;
  // A remote entry host reported outcome_unknown.
  bool unknown = false;
  // The body has the announced length.
  bool complete = true;
  // HTTP status of a completed call; 500 and above count against the target.
  std::uint32_t status = 200;
};

struct GrantReceived {
  CallId call = 0;
  Nonce nonce = 0;
  // No byte may be sent from this time on.
  TimePoint validUntil;
};
enum class GrantRefusal : std::uint8_t {
  StoredAnswer,
  OutcomeUnknown,
  KeyReused,
  OwnerUnreachable
};
struct GrantRefused {
  CallId call = 0;
  Nonce nonce = 0;
  GrantRefusal refusal = GrantRefusal::OwnerUnreachable;
};
// Another request with the same key is running; the reply to RequestGrant
// follows when that request has ended. Until then this call can't end as
// NotRun.
struct GrantWaiting {
  CallId call = 0;
  Nonce nonce = 0;
};
struct GrantTimeout {
  CallId call = 0;
  Nonce nonce = 0;
};

// Events from membership.

struct TargetUp {
  membership::TargetRecord record;
};
struct TargetLeaving {
  TargetId target;
  membership::Incarnation incarnation = 0;
};
struct TargetGone {
  TargetId target;
  membership::Incarnation incarnation = 0;
};
struct LocalHostsChanged {
  std::vector<HostId> hosts;
};
struct PeerLoads {
  HostId host;
  std::vector<membership::TargetLoad> loads;
};
struct SummaryChanged {
  membership::DataCentreSummary summary;
};

// Events from the configuration.

struct ClientAccountPolicy {
  ClientAccountId clientAccount;
  // Relative share of the slots while client accounts compete for them.
  double weight = 1.0;
  // Limit of unanswered attempts at this entry host; 0: no limit.
  std::uint32_t maxInFlight = 0;
  // Limit of waiting calls per service and class.
  std::uint32_t maxQueued = 256;
};
// Replaces all policies. A client account that is not listed gets the default
// ClientAccountPolicy.
struct PoliciesChanged {
  std::vector<ClientAccountPolicy> policies;
};

// Begins a planned stop; the adapter already reports the host as not ready.
// Calls are accepted until closeAt, when the listener closes; calls still open
// at drainDeadline are interrupted. A second StopRequested interrupts all open
// calls at once.
struct StopRequested {
  TimePoint closeAt;
  TimePoint drainDeadline;
};

struct Tick {};

using Event =
    std::variant<CallAccepted, CallerGone, NothingSent, ConnectionLost,
                 AnswerReceived, GrantReceived, GrantRefused, GrantWaiting,
                 GrantTimeout, TargetUp, TargetLeaving, TargetGone,
                 LocalHostsChanged, PeerLoads, SummaryChanged, PoliciesChanged,
                 StopRequested, Tick>;

// Actions returned by Step, to be carried out in order.

// Send the request to the target. Report NothingSent if the connection isn't
// ready by connectBy.
struct SendRequest {
  CallId call = 0;
  Generation generation = 0;
  TargetId target;
  std::string address;
  TimePoint connectBy;
  TimePoint deadline;
};
// Send the call to an entry host of another data centre, with the remaining
// time and marked as forwarded.
struct ForwardCall {
  CallId call = 0;
  Generation generation = 0;
  DataCentreId dataCentre;
  HostId host;
  Duration remaining;
};
// The call has ended without this attempt. The adapter keeps the connection
// until the answer arrives or abandonAt has passed, and then reports
// AnswerReceived or ConnectionLost.
struct AbandonAttempt {
  Generation generation = 0;
  TimePoint abandonAt;
};
// Answer the caller. For Answered, send it the answer received for the
// generation.
struct FinishCall {
  CallId call = 0;
  Outcome outcome = Outcome::NotRun;
  Reason reason = Reason::Answered;
  Generation generation = 0;
};

struct RequestGrant {
  CallId call = 0;
  Nonce nonce = 0;
  TimePoint deadline;
};
// Release the grant: the request did not run under it and will not.
struct ReleaseGrant {
  CallId call = 0;
  Nonce nonce = 0;
};
// Report to the key's owner how the granted call ended. For Completed the
// adapter adds the answer received for the generation.
struct ReportAnswer {
  CallId call = 0;
  Nonce nonce = 0;
  Outcome outcome = Outcome::OutcomeUnknown;
  Generation generation = 0;
};

// The planned stop is complete: no call is open.
struct Drained {
  std::uint32_t interrupted = 0;
};

// TargetEjected and TargetReadmitted are for the event log only.
struct TargetEjected {
  TargetId target;
  TimePoint until;
};
struct TargetReadmitted {
  TargetId target;
};

using Action =
    std::variant<SendRequest, ForwardCall, AbandonAttempt, FinishCall,
                 RequestGrant, ReleaseGrant, ReportAnswer, Drained,
                 TargetEjected, TargetReadmitted>;
using Actions = std::vector<Action>;

}  // namespace bramleypath::routing
