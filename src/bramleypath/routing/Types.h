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

// Numbers the calls that this entry host accepted; chosen by the adapter and
// never used twice in one process.
using CallId = std::uint64_t;
// Numbers the attempts. The adapter ties it to the use of one connection, so
// that an answer is matched by request id and generation.
using Generation = std::uint64_t;
// Identifies one request for a grant to the owner of a key.
using Nonce = std::uint64_t;

enum class Outcome : std::uint8_t { Completed, NotRun, OutcomeUnknown };

// Why a call ended as it did. Reasons between NoTarget and KeyReused go with
// NotRun.
enum class Reason : std::uint8_t {
  Answered,
  // A stored answer of the key's owner, which the adapter holds.
  StoredAnswer,
  NoTarget,            // no live target of the service anywhere
  NoCapacity,          // no slot became free before the deadline
  DeadlineTooShort,    // refused early: it could not be met
  QueueFull,           // a limit of the member and class
  ClientAccountLimit,  // the member's calls in flight
  TooManyCalls,        // the limit of the whole entry host
  Stopping,            // this entry host is draining
  RetryBudget,         // not run, and the retry budget is used up
  TargetRefused,       // not run, and the deadline is too near to retry
  ConnectFailed,       // likewise
  OwnerUnreachable,    // no answer from the key's owner
  GrantExpired,        // the grant ended before a byte was sent
  KeyReused,           // the key was used with another body
  CallerGone,          // the caller closed its connection
  ConnectionLost,      // after the first byte
  TruncatedAnswer,
  MismatchedAnswer,   // the connection carried another request's answer
  DeadlinePassed,     // after the first byte
  StopDeadline,       // interrupted by the end of a planned stop
  KeyOutcomeUnknown,  // the owner does not know how the key's request ended
  Count
};

const char* ToText(Outcome aOutcome);
const char* ToText(Reason aReason);
// True for limits, which the adapter answers with 429 rather than 503.
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
  // Needs a grant of the key's owner before any byte is sent.
  bool keyed = false;
  // Came from another data centre: never forwarded again. The forwarding host
  // holds the grant of a keyed call.
  bool forwarded = false;
};
// The caller closed its connection.
struct CallerGone {
  CallId call = 0;
};

// How an attempt at a target or a remote data centre ended.

// No byte of the request was sent, for certain.
struct NothingSent {
  Generation generation = 0;
};
// The connection was lost and bytes may have been sent.
struct ConnectionLost {
  Generation generation = 0;
};
struct AnswerReceived {
  Generation generation = 0;
  // As echoed by the target; must be that of the call.
  RequestId requestId;
  // The target's own refusal (503 with Bramleypath-Outcome: not_run), or a
  // remote entry host's not_run.
  bool refused = false;
  // A remote entry host's outcome_unknown.
  bool unknown = false;
  // The body has the announced length.
  bool complete = true;
  // HTTP status of a completed call; 500 and above count against the target.
  std::uint32_t status = 200;
};

struct GrantReceived {
  CallId call = 0;
  Nonce nonce = 0;
  // No byte may be sent after this.
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
// Another request with the same key is running; the answer to RequestGrant
// follows when it has ended. Until then this call can't end as not run.
struct GrantWaiting {
  CallId call = 0;
  Nonce nonce = 0;
};
struct GrantTimeout {
  CallId call = 0;
  Nonce nonce = 0;
};

// From membership.

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

// From the configuration.

struct ClientAccountPolicy {
  ClientAccountId clientAccount;
  // Relative share of the slots while members compete.
  double weight = 1.0;
  // Calls sent and not answered, at this entry host; 0: no limit.
  std::uint32_t maxInFlight = 0;
  // Calls waiting, per service and class.
  std::uint32_t maxQueued = 256;
};
// Replaces all policies; other members get a ClientAccountPolicy of their own
// with the defaults.
struct PoliciesChanged {
  std::vector<ClientAccountPolicy> policies;
};

// Readiness is off. Calls are accepted until closeAt, when the listener
// closes; what is in flight at drainDeadline is interrupted. A second one
// interrupts at once.
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

// Actions from Step, to be carried out in their order.

// Send the request to the target; answer with NothingSent when the connection
// isn't ready by connectBy.
struct SendRequest {
  CallId call = 0;
  Generation generation = 0;
  TargetId target;
  std::string address;
  TimePoint connectBy;
  TimePoint deadline;
};
// Send the call to an entry host of another data centre, with the remaining
// time and the mark that it was forwarded.
struct ForwardCall {
  CallId call = 0;
  Generation generation = 0;
  DataCentreId dataCentre;
  HostId host;
  Duration remaining;
};
// The caller no longer waits. The adapter keeps the connection until the answer
// has come or abandonAt has passed, and then reports ConnectionLost.
struct AbandonAttempt {
  Generation generation = 0;
  TimePoint abandonAt;
};
// Tell the caller. For Answered the adapter holds the answer of the generation.
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
// The request did not run under the grant and will not.
struct ReleaseGrant {
  CallId call = 0;
  Nonce nonce = 0;
};
// How the granted call ended; for Completed the adapter adds the answer of the
// generation.
struct ReportAnswer {
  CallId call = 0;
  Nonce nonce = 0;
  Outcome outcome = Outcome::OutcomeUnknown;
  Generation generation = 0;
};

// The planned stop is over.
struct Drained {
  std::uint32_t interrupted = 0;
};

// For the event log.
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
