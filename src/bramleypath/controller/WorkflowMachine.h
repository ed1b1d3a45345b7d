#pragma once

#include <string>

#include "bramleypath/group/StateMachine.h"
#include "bramleypath/workflow/LeaseEnds.h"
#include "bramleypath/workflow/State.h"

namespace bramleypath::controller {

// Replicated state machine of a cell's jobs, workers and configuration. The
// result of a command is one byte, its workflow::ApplyResult.
class WorkflowMachine : public group::StateMachine {
 public:
  consensus::Bytes Apply(const group::CommittedCommand& aCommand) override;
  consensus::Bytes TakeSnapshot() override;
  bool Restore(consensus::LogIndex aIndex, gsl::span<const std::uint8_t> aState,
               std::string& aReason) override;

  // See LeaseEnds::longestLease.
  void SetLongestLease(Duration aLongest) {
    this->leaseEnds.longestLease = aLongest;
  }
  void OnTermBegan(consensus::Term aTerm) override;

  const workflow::State& Current() const { return this->state; }
  // What this replica knows of the workers' leases.
  const workflow::LeaseEnds& KnownLeaseEnds() const { return this->leaseEnds; }

 private:
  workflow::State state;
  workflow::LeaseEnds leaseEnds;
};

}  // namespace bramleypath::controller
