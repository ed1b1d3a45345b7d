#include "bramleypath/group/Outcome.h"

namespace bramleypath::group {

std::string_view ToText(ProposeError aError) {
  switch (aError) {
    case ProposeError::None:
      return "committed";
    case ProposeError::NotLeader:
      return "not leader";
    case ProposeError::OutcomeUnknown:
      return "leadership lost; outcome unknown";
    case ProposeError::TimedOut:
      return "timed out; outcome unknown";
    case ProposeError::StorageFull:
      return "storage full";
    case ProposeError::Overloaded:
      return "too many proposals pending";
    case ProposeError::TooLarge:
      return "command too large";
    case ProposeError::ChangeInProgress:
      return "membership change in progress";
    case ProposeError::InvalidMembership:
      return "invalid membership";
    case ProposeError::NotCaughtUp:
      return "learner not caught up";
    case ProposeError::Stopped:
      return "replica stopped";
  }
  return "unknown error";
}

bool IsNotAppended(ProposeError aError) {
  switch (aError) {
    case ProposeError::None:
    case ProposeError::OutcomeUnknown:
    case ProposeError::TimedOut:
      return false;
    default:
      return true;
  }
}

}  // namespace bramleypath::group
