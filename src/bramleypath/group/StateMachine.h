#pragma once

#include <cstdint>
#include <gsl/span>
#include <string>

#include "bramleypath/consensus/Types.h"

namespace bramleypath::group {

// A committed command, as passed to the state machine.
struct CommittedCommand {
  consensus::LogIndex index = 0;
  // The term of the leader that appended the command. The current term may be a
  // later one.
  consensus::Term term = 0;
  gsl::span<const std::uint8_t> payload;
};

// The state that a group replicates. All calls come from the thread of the
// io_context. The result of Apply must depend only on its argument and on the
// commands applied before, so that all replicas reach the same state.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  // Applies a command. The returned bytes become the result in the
  // ProposeOutcome of its proposer.
  virtual consensus::Bytes Apply(const CommittedCommand& aCommand) = 0;
  // The first entry of a leader was applied: no earlier leader acts any more.
  // Called on each replica, also when it applies its log again after a restart.
  virtual void OnTermBegan(consensus::Term /*aTerm*/) {}
  // Serialises the whole state, as it is after the last applied command.
  virtual consensus::Bytes TakeSnapshot() = 0;
  // Replaces the whole state. Returns false and sets aReason when the bytes
  // can't be decoded. The replica then stops, because it would miss all
  // commands that the snapshot covers.
  virtual bool Restore(consensus::LogIndex aIndex,
                       gsl::span<const std::uint8_t> aState,
                       std::string& aReason) = 0;
};

}  // namespace bramleypath::group
