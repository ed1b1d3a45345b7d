#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "bramleypath/consensus/Types.h"

namespace bramleypath::group {

enum class ProposeError {
  None,
  // Not appended anywhere; the hint names the leader when it is known.
  NotLeader,
  // Appended, but leadership was lost before the commit was known: the command
  // may or may not be committed later.
  OutcomeUnknown,
  // Appended and not committed within the time allowed; as OutcomeUnknown.
  TimedOut,
  // The disk of this replica is full; not appended.
  StorageFull,
  // Too many proposals wait for their commit; not appended.
  Overloaded,
  // The payload exceeds the limit of the settings; not appended.
  TooLarge,
  // Another membership change is not committed yet, or the leader has not
  // committed an entry of its term; not appended.
  ChangeInProgress,
  // Not a change that the group can make in one step; not appended.
  InvalidMembership,
  // The learner to be promoted lacks committed entries; not appended.
  NotCaughtUp,
  // The replica is stopping or has failed; not appended.
  Stopped,
};

std::string_view ToText(ProposeError aError);

// True when the command certainly was not and will not be committed.
bool IsNotAppended(ProposeError aError);

struct ProposeOutcome {
  ProposeError error = ProposeError::None;
  consensus::ReplicaId leaderHint;  // NotLeader only; empty when unknown
  // Set without an error.
  consensus::LogIndex index = 0;
  consensus::Bytes result;

  bool Ok() const { return this->error == ProposeError::None; }
};

using ProposeCallback = std::function<void(const ProposeOutcome&)>;

}  // namespace bramleypath::group
