#include "bramleypath/routing/Types.h"

namespace bramleypath::routing {

const char* ToText(Outcome aOutcome) {
  switch (aOutcome) {
    case Outcome::Completed:
      return "completed";
    case Outcome::NotRun:
      return "not_run";
    case Outcome::OutcomeUnknown:
      return "outcome_unknown";
  }
  return "";
}

const char* ToText(Reason aReason) {
  switch (aReason) {
    case Reason::Answered:
      return "answered";
    case Reason::StoredAnswer:
      return "stored_answer";
    case Reason::NoTarget:
      return "no_target";
    case Reason::NoCapacity:
      return "no_capacity";
    case Reason::DeadlineTooShort:
      return "deadline_too_short";
    case Reason::QueueFull:
      return "queue_full";
    case Reason::ClientAccountLimit:
      return "member_limit";
    case Reason::TooManyCalls:
      return "too_many_calls";
    case Reason::Stopping:
      return "stopping";
    case Reason::RetryBudget:
      return "retry_budget";
    case Reason::TargetRefused:
      return "target_refused";
    case Reason::ConnectFailed:
      return "connect_failed";
    case Reason::OwnerUnreachable:
      return "owner_unreachable";
    case Reason::GrantExpired:
      return "grant_expired";
    case Reason::KeyReused:
      return "key_reused";
    case Reason::CallerGone:
      return "caller_gone";
    case Reason::ConnectionLost:
      return "connection_lost";
    case Reason::TruncatedAnswer:
      return "truncated_answer";
    case Reason::MismatchedAnswer:
      return "mismatched_answer";
    case Reason::DeadlinePassed:
      return "deadline_passed";
    case Reason::StopDeadline:
      return "stop_deadline";
    case Reason::KeyOutcomeUnknown:
      return "key_outcome_unknown";
    case Reason::Count:
      break;
  }
  return "";
}

bool IsLimit(Reason aReason) {
  return aReason == Reason::QueueFull ||
         aReason == Reason::ClientAccountLimit ||
         aReason == Reason::TooManyCalls;
}

}  // namespace bramleypath::routing
