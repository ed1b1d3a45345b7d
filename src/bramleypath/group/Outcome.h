#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "bramleypath/consensus/Types.h"

namespace bramleypath::group {

enum class ProposeError {
  None,
  // This replica is not the leader; not appended. leaderHint names the leader
  // if it is known.
  NotLeader,
  // Appended, but leadership was lost before the commit: the command may or may
  // not be committed later.
  OutcomeUnknown,
  // Not committed within the timeout. As with OutcomeUnknown, the command may
  // or may not be committed later.
  TimedOut,
  // Free disk space of this replica is below the reserve; not appended.
  StorageFull,
  // Too many proposals are not yet committed; not appended.
  Overloaded,
  // The command exceeds ReplicaSettings::maxCommandBytes; not appended.
  TooLarge,
  // Another membership change is not yet committed, or the leader has not yet
  // committed an entry of its own term; not appended.
  ChangeInProgress,
  // The new membership differs by more than one voter, has no voter, or lists a
  // replica twice or without a name; not appended.
  InvalidMembership,
  // A learner that would become a voter has not acknowledged every committed
  // entry; not appended.
  NotCaughtUp,
  // The replica is stopping or has failed; not appended.
  Stopped,
};

std::string_view ToText(ProposeError aError);

// True when the command was not appended, and so will never be committed.
bool IsNotAppended(ProposeError aError);

struct ProposeOutcome {
  ProposeError error = ProposeError::None;
  consensus::ReplicaId leaderHint;  // set for NotLeader; empty when unknown
  // Set only without an error.
  consensus::LogIndex index = 0;
  consensus::Bytes result;

  bool Ok() const { return this->error == ProposeError::None; }
};

using ProposeCallback = std::function<void(const ProposeOutcome&)>;

}  // namespace bramleypath::group
