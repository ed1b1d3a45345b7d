#pragma once

#include <cstdint>
#include <gsl/span>
#include <string>

#include "bramleypath/consensus/Types.h"

namespace bramleypath::group {

// One committed command as it is handed to the state machine.
struct CommittedCommand {
  consensus::LogIndex index = 0;
  // The term of the leader that appended it; not that of the current leader.
  consensus::Term term = 0;
  gsl::span<const std::uint8_t> payload;
};

// What a group replicates. All calls come from the thread of the io_context.
// Apply must depend on nothing but the earlier commands and its argument, so
// that all replicas reach the same state.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  // Applies one command; the returned bytes are the answer to its proposer.
  virtual consensus::Bytes Apply(const CommittedCommand& aCommand) = 0;
  // The whole state after the last applied command.
  virtual consensus::Bytes TakeSnapshot() = 0;
  // Replaces the whole state. False with a text when the bytes can't be read;
  // the replica then stops, because it can't continue with a gap.
  virtual bool Restore(consensus::LogIndex aIndex,
                       gsl::span<const std::uint8_t> aState,
                       std::string& aReason) = 0;
};

}  // namespace bramleypath::group
