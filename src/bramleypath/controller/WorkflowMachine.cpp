#include "bramleypath/controller/WorkflowMachine.h"

#include "bramleypath/eventlog/EventLog.h"
#include "bramleypath/net/Clock.h"

namespace bramleypath::controller {

consensus::Bytes WorkflowMachine::Apply(
    const group::CommittedCommand& aCommand) {
  std::string reason;
  const auto command = workflow::Decode(aCommand.payload, reason);
  auto result = workflow::ApplyResult::Unknown;
  if (command) {
    result = workflow::Apply(this->state, *command);
    workflow::OnApplied(this->leaseEnds, this->state, *command, net::Now());
  } else {
    // Every replica skips a command that can't be decoded, so their states stay
    // equal.
    eventlog::Write(
        "command_unreadable",
        {{"index", std::to_string(aCommand.index)}, {"reason", reason}});
  }
  return {static_cast<std::uint8_t>(result)};
}

void WorkflowMachine::OnTermBegan(consensus::Term /*aTerm*/) {
  workflow::OnTermBegan(this->leaseEnds);
}

consensus::Bytes WorkflowMachine::TakeSnapshot() {
  return workflow::EncodeState(this->state);
}

bool WorkflowMachine::Restore(consensus::LogIndex /*aIndex*/,
                              gsl::span<const std::uint8_t> aState,
                              std::string& aReason) {
  workflow::OnRestored(this->leaseEnds);
  const std::vector<std::uint8_t> bytes(aState.begin(), aState.end());
  return workflow::DecodeState(bytes, this->state, aReason);
}

}  // namespace bramleypath::controller
